package endpoint

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the size in bytes of the prompt blocks that the prefix index uses.
	PrefixBlockBytes = 256
	// BytesPerToken is the mean token length in bytes that is assumed when a
	// token count is estimated from text.
	BytesPerToken = 4
)

// PrefixHashes returns one hash for each complete block of the prompt. Each
// hash covers all text up to the end of its block, so that equal hashes mean
// equal prefixes. The chain of hashes is seeded with model and adapter, because
// a cache entry of one model or adapter is useless to another.
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

// EstimateTokens estimates the number of tokens in a text, rounded up.
func EstimateTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}
