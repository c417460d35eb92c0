package pick

import (
	"hash/fnv"

	"github.com/boragelead/boragelead/internal/port"
)

// affinityWeight is the weight of shared tokens in the bonus of the preferred
// endpoint. The bonus covers the time to process them, and the cost of processing
// again what another endpoint holds in its KV cache.
const affinityWeight = 1.0

// SharedParts returns the prompt parts that other requests may have in common with
// this one: all but the last, which is specific to the request.
func SharedParts(prefix []port.PromptPart) []port.PromptPart { return prefix[:max(len(prefix)-1, 0)] }

// preferredIndex returns the index of the endpoint that all entries prefer for the
// shared prompt parts, by rendezvous hashing, or -1 if there are no parts. Entries
// agree on it without communication, and when an endpoint is removed, only the
// parts for which it was preferred get another one.
func preferredIndex(parts []port.PromptPart, views []View) int {
	if len(parts) == 0 {
		return -1
	}
	part := parts[len(parts)-1].ID
	preferred, highest := -1, uint64(0)
	for i := range views {
		if weight := mix64(part ^ views[i].idHash); preferred < 0 || weight > highest {
			preferred, highest = i, weight
		}
	}
	return preferred
}

// affinityTokens returns the bonus of the preferred endpoint, in tokens.
func affinityTokens(parts []port.PromptPart) int {
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return int(affinityWeight * float64(tokens))
}

// hashID returns the hash of an endpoint's ID.
func hashID(endpoint string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(endpoint))
	return h.Sum64()
}

// mix64 is the finalizer of splitmix64: each input bit changes about half of the
// output bits.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
