package engine

import (
	"container/list"

	"github.com/boragelead/boragelead/api/endpoint"
)

// blockTokens is the number of tokens in a block of the prefix cache.
const blockTokens = endpoint.PrefixBlockBytes / endpoint.BytesPerToken

// prefixCache is an LRU set of prompt blocks. The caller serialises access.
type prefixCache struct {
	blocks map[uint64]*list.Element
	// order holds block hashes, the most recently used first.
	order *list.List
	// changed is called for each block added or removed.
	changed func(kind endpoint.CacheEventKind, block uint64)
}

func newPrefixCache(changed func(endpoint.CacheEventKind, uint64)) *prefixCache {
	return &prefixCache{blocks: make(map[uint64]*list.Element), order: list.New(), changed: changed}
}

// match returns the number of leading blocks in the cache and marks them used.
func (c *prefixCache) match(hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.blocks[hashes[n]] != nil {
		n++
	}
	// The last block is touched first, so that a block never outlives its prefix.
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.blocks[hashes[i]])
	}
	return n
}

// insert adds blocks and evicts the least recently used beyond the capacity.
func (c *prefixCache) insert(hashes []uint64, capacity int) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if element := c.blocks[hashes[i]]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[hashes[i]] = c.order.PushFront(hashes[i])
		c.changed(endpoint.CacheAdd, hashes[i])
	}
	c.trim(capacity)
}

func (c *prefixCache) trim(capacity int) {
	for c.order.Len() > max(capacity, 0) {
		last := c.order.Back()
		block := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		c.changed(endpoint.CacheRemove, block)
	}
}

// all returns the cached blocks.
func (c *prefixCache) all() []uint64 {
	blocks := make([]uint64, 0, len(c.blocks))
	for element := c.order.Front(); element != nil; element = element.Next() {
		blocks = append(blocks, element.Value.(uint64))
	}
	return blocks
}
