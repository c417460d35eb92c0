package engine

import (
	"container/list"

	"github.com/boragelead/boragelead/api/endpoint"
)

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = endpoint.PrefixBlockBytes / endpoint.BytesPerToken

// prefixCache is a set of prompt blocks with LRU eviction. The caller must
// serialise access.
type prefixCache struct {
	blocks map[uint64]*list.Element
	// lru lists the block hashes, the most recently used first.
	lru *list.List
	// onChange is called for each block added or removed.
	onChange func(kind endpoint.CacheEventKind, block uint64)
}

func newPrefixCache(onChange func(endpoint.CacheEventKind, uint64)) *prefixCache {
	return &prefixCache{blocks: make(map[uint64]*list.Element), lru: list.New(), onChange: onChange}
}

// match returns the number of leading blocks that are in the cache, and moves
// them to the front of the LRU list.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.blocks[hashes[n]] != nil {
		n++
	}
	// The last block is moved first, so that a block is always evicted before
	// the blocks of its prefix.
	for i := n - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[hashes[i]])
	}
	return n
}

// insert adds blocks and evicts the least recently used ones while the cache
// has more than capacity blocks.
func (c *prefixCache) insert(hashes []uint64, capacity int) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if element := c.blocks[hashes[i]]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[hashes[i]] = c.lru.PushFront(hashes[i])
		c.onChange(endpoint.CacheAdd, hashes[i])
	}
	c.evict(capacity)
}

func (c *prefixCache) evict(capacity int) {
	for c.lru.Len() > max(capacity, 0) {
		last := c.lru.Back()
		block := c.lru.Remove(last).(uint64)
		delete(c.blocks, block)
		c.onChange(endpoint.CacheRemove, block)
	}
}

// blockHashes returns the hashes of the cached blocks, the most recently used first.
func (c *prefixCache) blockHashes() []uint64 {
	blocks := make([]uint64, 0, len(c.blocks))
	for element := c.lru.Front(); element != nil; element = element.Next() {
		blocks = append(blocks, element.Value.(uint64))
	}
	return blocks
}
