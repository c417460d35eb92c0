package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabularySize is the number of distinct tokens.
const vocabularySize = 4096

// Token returns the token at an index of the answer with a seed; see Seed.
func Token(seed uint64, index int) string {
	return string(AppendToken(nil, seed, index))
}

// AppendToken appends the token at an index of the answer with a seed to buf.
func AppendToken(buf []byte, seed uint64, index int) []byte {
	hash := (seed ^ uint64(index)*0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9
	return strconv.AppendUint(append(buf, " w"...), (hash>>32)%vocabularySize, 36)
}

// Seed returns the seed of the answer to a prompt.
func Seed(model, adapter, prompt string) uint64 {
	return xxhash.Sum64String(model + "\x00" + adapter + "\x00" + prompt)
}

// Answer returns the first count tokens of the answer to a prompt.
func Answer(model, adapter, prompt string, count int) string {
	seed := Seed(model, adapter, prompt)
	var text strings.Builder
	for i := range count {
		text.WriteString(Token(seed, i))
	}
	return text.String()
}
