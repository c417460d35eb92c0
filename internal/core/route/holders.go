package route

import (
	"math/bits"
	"sync/atomic"
)

const (
	// maxSlots bounds the endpoint incarnations that the prefix index tells apart.
	maxSlots  = 4096
	slotWords = maxSlots / 64
	// sparseHolders is the number of holders up to which a list is smaller than a bit set.
	sparseHolders = 16
)

// holders is the set of slots that hold one block: a list while small, a bit set after.
type holders struct {
	list []uint16
	set  []uint64
	// used is the second-chance mark of the eviction.
	used atomic.Bool
}

func (h *holders) add(slot int) {
	if h.set != nil {
		h.grow(slot)
		h.set[slot/64] |= 1 << (slot % 64)
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
		h.set[s/64] |= 1 << (s % 64)
	}
	h.grow(slot)
	h.set[slot/64] |= 1 << (slot % 64)
	h.list = nil
}

func (h *holders) grow(slot int) {
	for len(h.set) <= slot/64 {
		h.set = append(h.set, 0)
	}
}

func (h *holders) remove(slot int) {
	if h.set != nil {
		if slot/64 < len(h.set) {
			h.set[slot/64] &^= 1 << (slot % 64)
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
	kept := h.list[:0]
	for _, s := range h.list {
		if slots[s/64]&(1<<(s%64)) == 0 {
			kept = append(kept, s)
		}
	}
	h.list = kept
	for i := range h.set {
		h.set[i] &^= slots[i]
	}
}

func (h *holders) empty() bool {
	for _, w := range h.set {
		if w != 0 {
			return false
		}
	}
	return len(h.list) == 0
}

// meet removes from alive the slots that do not hold the block and notes for
// each removed slot how many blocks matched before. It reports whether any is left.
func (h *holders) meet(alive *[slotWords]uint64, words, matched int, depth []uint16) bool {
	var keep [slotWords]uint64
	if h != nil {
		copy(keep[:], h.set)
		for _, s := range h.list {
			keep[s/64] |= 1 << (s % 64)
		}
	}
	left := uint64(0)
	for i := range words {
		gone := alive[i] &^ keep[i]
		for gone != 0 {
			bit := bits.TrailingZeros64(gone)
			depth[i*64+bit] = uint16(matched)
			gone &= gone - 1
		}
		alive[i] &= keep[i]
		left |= alive[i]
	}
	return left != 0
}
