package pick

import "github.com/boragelead/boragelead/internal/port"

// maxParts bounds the prompt parts that are remembered for an endpoint.
const maxParts = 2000

// residence remembers the prompt parts that this entry sent to an endpoint,
// the least recently used leaving first. It is a guess: the endpoint may have
// dropped a part, or got it from another entry.
type residence struct {
	parts map[uint64]uint64
	clock uint64
}

func newResidence() *residence { return &residence{parts: make(map[uint64]uint64)} }

// cached returns the tokens of the leading parts that are resident.
func (r *residence) cached(prefix []port.PromptPart) int {
	tokens := 0
	for _, part := range prefix {
		if _, ok := r.parts[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

func (r *residence) note(prefix []port.PromptPart) {
	for _, part := range prefix {
		r.clock++
		r.parts[part.ID] = r.clock
	}
	if len(r.parts) <= maxParts {
		return
	}
	// Half of the parts leave at once, so that the search is rare.
	limit := r.clock - maxParts/2
	for id, used := range r.parts {
		if used < limit {
			delete(r.parts, id)
		}
	}
}
