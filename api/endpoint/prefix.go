package endpoint

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the size of a prompt block in the prefix index, in bytes of text.
	PrefixBlockBytes = 256
	// BytesPerToken is the mean length of a token used wherever a token count is estimated from text.
	BytesPerToken = 4
)

// PrefixHashes returns one hash per whole block of the prompt. Each hash
// covers all text up to the end of its block, so that equal hashes mean
// equal prefixes. Model and adapter salt the chain: caches are not shared between them.
func PrefixHashes(model, adapter, prompt string) []uint64 {
	blocks := len(prompt) / PrefixBlockBytes
	hashes := make([]uint64, 0, blocks)
	chain := xxhash.Sum64String(model + "\x00" + adapter)
	var link [8]byte
	digest := xxhash.New()
	for i := range blocks {
		digest.Reset()
		binary.LittleEndian.PutUint64(link[:], chain)
		_, _ = digest.Write(link[:])
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		chain = digest.Sum64()
		hashes = append(hashes, chain)
	}
	return hashes
}

// EstimateTokens estimates the number of tokens in a text.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
