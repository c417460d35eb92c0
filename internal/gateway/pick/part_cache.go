package pick

import "github.com/boragelead/boragelead/internal/port"

// maxParts limits the prompt parts that are recorded for an endpoint.
const maxParts = 2000

// partCache records the prompt parts that this entry sent to an endpoint and
// evicts the least recently used ones. It only estimates the KV cache of the
// endpoint, which may have evicted a part or received it from another entry.
type partCache struct {
	parts map[uint64]uint64
	uses  uint64
}

func newPartCache() *partCache { return &partCache{parts: make(map[uint64]uint64)} }

// cached returns the number of tokens in the leading parts that are recorded.
func (c *partCache) cached(prefix []port.PromptPart) int {
	tokens := 0
	for _, part := range prefix {
		if _, ok := c.parts[part.ID]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// touch records the use of prompt parts.
func (c *partCache) touch(prefix []port.PromptPart) {
	for _, part := range prefix {
		c.uses++
		c.parts[part.ID] = c.uses
	}
	if len(c.parts) <= maxParts {
		return
	}
	// About half of the parts are evicted at once, so that the search is rare.
	limit := c.uses - maxParts/2
	for id, used := range c.parts {
		if used < limit {
			delete(c.parts, id)
		}
	}
}
