package route

import (
	"sync"
	"sync/atomic"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// readLocks is the number of locks that readers spread over; see PrefixIndex.
	readLocks = 16
	// maxDepth bounds the blocks of a prompt that are looked up.
	maxDepth = 1024
	// doubtfulShare is the share of a hit that counts while the events of an
	// endpoint have a gap: entries may have been removed without a report.
	doubtfulShare = 0.5
	// tokensPerBlock is the size of a prefix block in estimated tokens.
	tokensPerBlock = endpoint.PrefixBlockBytes / endpoint.BytesPerToken
	// sweepRetired is the number of retired slots after which their entries are removed.
	sweepRetired = 256
)

// PrefixIndex knows which endpoints hold which prompt blocks, from cache
// events. It is bounded: the oldest block that was not looked up since its
// last chance is dropped first. It is safe for concurrent use: a reader takes
// one of the read locks, a writer all of them, so that the many readers share
// no memory that they write.
type PrefixIndex struct {
	locks  [readLocks]paddedLock
	blocks map[uint64]*holders
	order  []uint64
	hand   int
	limit  int

	sources map[string]*cacheSource
	free    []int
	retired [slotWords]uint64
	waiting int
	words   atomic.Int32
	// doubtful has a bit per slot whose events had a gap.
	doubtful [slotWords]atomic.Uint64
}

// paddedLock fills a cache line of its own.
type paddedLock struct {
	sync.RWMutex
	_ [64]byte
}

type cacheSource struct {
	incarnation uint64
	seq         uint64
	slot        int
	doubtful    bool
	// announced is the newest sequence number named by the last announcement.
	announced uint64
}

// NewPrefixIndex returns an index of at most maxBlocks blocks.
func NewPrefixIndex(maxBlocks int) *PrefixIndex {
	x := &PrefixIndex{
		sources: make(map[string]*cacheSource), blocks: make(map[uint64]*holders), limit: max(maxBlocks, 1),
	}
	for i := maxSlots - 1; i >= 0; i-- {
		x.free = append(x.free, i)
	}
	return x
}

func (x *PrefixIndex) lock() {
	for i := range x.locks {
		x.locks[i].Lock()
	}
}

func (x *PrefixIndex) unlock() {
	for i := range x.locks {
		x.locks[i].Unlock()
	}
}

// Apply takes the events of one message. It reports whether the endpoint must
// be asked for a complete list, because events are missing.
func (x *PrefixIndex) Apply(batch *endpoint.CacheEvents) (wantReset bool) {
	x.lock()
	defer x.unlock()
	src := x.source(batch.ID, batch.Incarnation)
	if src == nil {
		return false
	}
	for i := range batch.Events {
		x.apply(src, &batch.Events[i])
	}
	return src.doubtful
}

// Missed takes the newest sequence number that an endpoint announced and
// reports whether a complete list is needed. Events count as lost when they
// have not arrived by the announcement after the one that named them.
func (x *PrefixIndex) Missed(id string, incarnation, newest uint64) bool {
	x.lock()
	defer x.unlock()
	src := x.sources[id]
	if src == nil || src.incarnation != incarnation {
		return newest > 0
	}
	if src.announced > src.seq {
		x.doubt(src, true)
	}
	src.announced = newest
	return src.doubtful
}

// Forget drops an endpoint.
func (x *PrefixIndex) Forget(id string) {
	x.lock()
	defer x.unlock()
	if src := x.sources[id]; src != nil {
		x.retire(src.slot)
		delete(x.sources, id)
	}
}

// Len returns the number of blocks held.
func (x *PrefixIndex) Len() int {
	x.locks[0].RLock()
	defer x.locks[0].RUnlock()
	return len(x.blocks)
}

// source returns the record of an incarnation, nil for an old one or when no slot is free.
func (x *PrefixIndex) source(id string, incarnation uint64) *cacheSource {
	src := x.sources[id]
	if src != nil && src.incarnation > incarnation {
		return nil
	}
	if src != nil && src.incarnation == incarnation {
		return src
	}
	if src != nil {
		x.retire(src.slot)
	}
	slot := x.take()
	if slot < 0 {
		delete(x.sources, id)
		return nil
	}
	src = &cacheSource{incarnation: incarnation, slot: slot}
	x.sources[id] = src
	return src
}

func (x *PrefixIndex) apply(src *cacheSource, e *endpoint.CacheEvent) {
	if e.Kind == endpoint.CacheReset {
		x.reset(src, e.Seq)
		return
	}
	if e.Seq <= src.seq {
		return
	}
	if e.Seq != src.seq+1 {
		x.doubt(src, true)
	}
	src.seq = e.Seq
	if e.Kind == endpoint.CacheAdd {
		x.add(e.Block, src.slot)
		return
	}
	x.remove(e.Block, src.slot)
}

// reset gives the endpoint a new slot: entries under the old one are ignored
// from now on and removed later together with others.
func (x *PrefixIndex) reset(src *cacheSource, seq uint64) {
	if seq <= src.seq {
		return
	}
	x.doubt(src, false)
	x.retire(src.slot)
	if slot := x.take(); slot >= 0 {
		src.slot = slot
	}
	src.seq = seq
}

func (x *PrefixIndex) doubt(src *cacheSource, on bool) {
	src.doubtful = on
	word, bit := &x.doubtful[src.slot/64], uint64(1)<<(src.slot%64)
	if on {
		word.Or(bit)
		return
	}
	word.And(^bit)
}

func (x *PrefixIndex) take() int {
	if len(x.free) == 0 {
		x.sweep()
	}
	if len(x.free) == 0 {
		return -1
	}
	slot := x.free[len(x.free)-1]
	x.free = x.free[:len(x.free)-1]
	x.words.Store(max(x.words.Load(), int32(slot/64+1)))
	return slot
}

func (x *PrefixIndex) retire(slot int) {
	x.retired[slot/64] |= 1 << (slot % 64)
	x.doubtful[slot/64].And(^(uint64(1) << (slot % 64)))
	x.waiting++
	if x.waiting >= sweepRetired {
		x.sweep()
	}
}

// sweep removes the entries of retired slots and frees the slots.
func (x *PrefixIndex) sweep() {
	x.removeRetired()
	for slot := range maxSlots {
		if x.retired[slot/64]&(1<<(slot%64)) != 0 {
			x.free = append(x.free, slot)
		}
	}
	x.retired = [slotWords]uint64{}
	x.waiting = 0
}

// slotOf returns the slot of an endpoint that sent events, and -1 for another.
func (x *PrefixIndex) slotOf(id string, incarnation uint64) int32 {
	x.locks[0].RLock()
	defer x.locks[0].RUnlock()
	src := x.sources[id]
	if src == nil || src.incarnation != incarnation {
		return -1
	}
	return int32(src.slot)
}

// match fills depth with the number of leading blocks that each slot holds.
// Readers with different numbers do not contend.
func (x *PrefixIndex) match(hashes []uint64, depth []uint16, reader int) {
	lock := &x.locks[reader%readLocks]
	lock.RLock()
	defer lock.RUnlock()
	clear(depth)
	if len(hashes) > maxDepth {
		hashes = hashes[:maxDepth]
	}
	var alive [slotWords]uint64
	words := int(x.words.Load())
	for i := range words {
		alive[i] = ^uint64(0)
	}
	for i, hash := range hashes {
		h := x.blocks[hash]
		if h != nil && !h.used.Load() {
			h.used.Store(true)
		}
		if !h.meet(&alive, words, i, depth) {
			return
		}
	}
	(*holders)(nil).meet(&alive, words, len(hashes), depth)
}

func (x *PrefixIndex) isDoubtful(slot int32) bool {
	return x.doubtful[slot/64].Load()&(1<<(slot%64)) != 0
}

func (x *PrefixIndex) add(block uint64, slot int) {
	h := x.blocks[block]
	if h == nil {
		h = &holders{}
		x.insert(block, h)
	}
	h.add(slot)
}

// insert puts a block in the place of one that had its second chance.
func (x *PrefixIndex) insert(block uint64, h *holders) {
	x.blocks[block] = h
	if len(x.order) < x.limit {
		x.order = append(x.order, block)
		return
	}
	for {
		x.hand = (x.hand + 1) % len(x.order)
		victim := x.blocks[x.order[x.hand]]
		if victim == nil || !victim.used.CompareAndSwap(true, false) {
			break
		}
	}
	delete(x.blocks, x.order[x.hand])
	x.order[x.hand] = block
}

// remove keeps the block itself, which has its place in the eviction order.
func (x *PrefixIndex) remove(block uint64, slot int) {
	if h := x.blocks[block]; h != nil {
		h.remove(slot)
	}
}

func (x *PrefixIndex) removeRetired() {
	kept := x.order[:0]
	for _, block := range x.order {
		h := x.blocks[block]
		h.removeAll(&x.retired)
		if h.empty() {
			delete(x.blocks, block)
			continue
		}
		kept = append(kept, block)
	}
	x.order, x.hand = kept, 0
}
