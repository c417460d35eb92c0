package pick

import (
	"hash/fnv"

	"github.com/boragelead/boragelead/internal/port"
)

// homeWeight of the shared tokens counts for their home: the time to read them,
// and the price of reading again what another endpoint holds.
const homeWeight = 1.0

// shared returns the prompt parts that other requests may have as well: the
// last one is that of the request itself.
func shared(prefix []port.PromptPart) []port.PromptPart { return prefix[:max(len(prefix)-1, 0)] }

// homeOf returns the index of the endpoint that all entries prefer for the
// shared prompt parts, by rendezvous hashing, or -1 without any parts. Entries
// agree on it without a message, and one that leaves moves only its own parts.
func homeOf(parts []port.PromptPart, views []View) int {
	if len(parts) == 0 {
		return -1
	}
	part := parts[len(parts)-1].ID
	home, highest := -1, uint64(0)
	for i := range views {
		if weight := mix(part ^ views[i].seed); home < 0 || weight > highest {
			home, highest = i, weight
		}
	}
	return home
}

// homeBonus returns the tokens by which the home counts as nearer.
func homeBonus(parts []port.PromptPart) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return int(homeWeight * float64(tokens))
}

// seedOf returns the part of an endpoint in the weights of its prompt parts.
func seedOf(endpoint string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(endpoint))
	return h.Sum64()
}

// mix is the finalizer of splitmix64: every input bit changes half of the output bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
