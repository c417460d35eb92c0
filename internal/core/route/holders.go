package route

import (
	"math/bits"
	"sync/atomic"
)

const (
	// maxSlots bounds the endpoint incarnations that the prefix index tracks.
	maxSlots  = 4096
	slotWords = maxSlots / 64
	// sparseHolders is the number of slots up to which a list is smaller than a bit set.
	sparseHolders = 16
)

// holders is the set of slots that hold one block. It is a list of up to
// sparseHolders slots, then a bit set.
type holders struct {
	list   []uint16
	bitset []uint64
	// referenced is the reference bit of the second-chance eviction.
	referenced atomic.Bool
}

func (h *holders) add(slot int) {
	if h.bitset != nil {
		h.grow(slot)
		h.bitset[slot/64] |= 1 << (slot % 64)
		return
	}
	for _, s := range h.list {
		if int(s) == slot {
			return
		}
	}
	if len(h.list) < sparseHolders {
		h.list = append(h.list, uint16(slot))
		return
	}
	for _, s := range h.list {
		h.grow(int(s))
		h.bitset[s/64] |= 1 << (s % 64)
	}
	h.grow(slot)
	h.bitset[slot/64] |= 1 << (slot % 64)
	h.list = nil
}

func (h *holders) grow(slot int) {
	for len(h.bitset) <= slot/64 {
		h.bitset = append(h.bitset, 0)
	}
}

func (h *holders) remove(slot int) {
	if h.bitset != nil {
		if slot/64 < len(h.bitset) {
			h.bitset[slot/64] &^= 1 << (slot % 64)
		}
		return
	}
	for i, s := range h.list {
		if int(s) == slot {
			h.list[i] = h.list[len(h.list)-1]
			h.list = h.list[:len(h.list)-1]
			return
		}
	}
}

func (h *holders) removeAll(slots *[slotWords]uint64) {
	remaining := h.list[:0]
	for _, s := range h.list {
		if slots[s/64]&(1<<(s%64)) == 0 {
			remaining = append(remaining, s)
		}
	}
	h.list = remaining
	for i := range h.bitset {
		h.bitset[i] &^= slots[i]
	}
}

func (h *holders) empty() bool {
	for _, w := range h.bitset {
		if w != 0 {
			return false
		}
	}
	return len(h.list) == 0
}

// intersect removes from matching the slots that do not hold the block, and stores
// in depth the number of blocks that matched before for each removed slot. It
// reports whether any slot remains.
func (h *holders) intersect(matching *[slotWords]uint64, words, matched int, depth []uint16) bool {
	var members [slotWords]uint64
	if h != nil {
		copy(members[:], h.bitset)
		for _, s := range h.list {
			members[s/64] |= 1 << (s % 64)
		}
	}
	remaining := uint64(0)
	for i := range words {
		removed := matching[i] &^ members[i]
		for removed != 0 {
			bit := bits.TrailingZeros64(removed)
			depth[i*64+bit] = uint16(matched)
			removed &= removed - 1
		}
		matching[i] &= members[i]
		remaining |= matching[i]
	}
	return remaining != 0
}
