package route

import (
	"sync"
	"sync/atomic"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// readLocks is the number of locks that readers are spread over, see PrefixIndex.
	readLocks = 16
	// maxDepth bounds the blocks of a prompt that are looked up.
	maxDepth = 1024
	// incompleteHitShare is the share of a cache hit that counts after events of
	// an endpoint were lost, since they may have removed blocks.
	incompleteHitShare = 0.5
	// tokensPerBlock is the size of a prefix block in estimated tokens.
	tokensPerBlock = endpoint.PrefixBlockBytes / endpoint.BytesPerToken
	// maxRetiredSlots is the number of retired slots at which the index removes
	// their entries and reuses the slots.
	maxRetiredSlots = 256
)

// PrefixIndex records which endpoints hold which prompt blocks, from their cache
// events. The number of blocks is bounded by second-chance (CLOCK) eviction. The
// index is safe for concurrent use: a reader takes one of the read locks and a
// writer takes all of them, so that concurrent readers do not write to the same
// cache line.
type PrefixIndex struct {
	locks         [readLocks]paddedLock
	blocks        map[uint64]*holders
	evictionOrder []uint64
	clockHand     int
	capacity      int

	sources      map[string]*cacheSource
	freeSlots    []int
	retiredSlots [slotWords]uint64
	retiredCount int
	usedWords    atomic.Int32
	// incomplete has one bit per slot, which is set after events were lost.
	incomplete [slotWords]atomic.Uint64
}

// paddedLock is padded so that two locks do not share a cache line.
type paddedLock struct {
	sync.RWMutex
	_ [64]byte
}

type cacheSource struct {
	incarnation uint64
	seq         uint64
	slot        int
	incomplete  bool
	// announced is the newest sequence number in the last announcement.
	announced uint64
}

// NewPrefixIndex returns an index of at most maxBlocks blocks.
func NewPrefixIndex(maxBlocks int) *PrefixIndex {
	p := &PrefixIndex{
		sources: make(map[string]*cacheSource), blocks: make(map[uint64]*holders), capacity: max(maxBlocks, 1),
	}
	for i := maxSlots - 1; i >= 0; i-- {
		p.freeSlots = append(p.freeSlots, i)
	}
	return p
}

func (p *PrefixIndex) lock() {
	for i := range p.locks {
		p.locks[i].Lock()
	}
}

func (p *PrefixIndex) unlock() {
	for i := range p.locks {
		p.locks[i].Unlock()
	}
}

// Apply applies the events of one message. It reports whether events are
// missing, so that the endpoint must be asked for a complete list.
func (p *PrefixIndex) Apply(batch *endpoint.CacheEvents) (wantReset bool) {
	p.lock()
	defer p.unlock()
	src := p.source(batch.ID, batch.Incarnation)
	if src == nil {
		return false
	}
	for i := range batch.Events {
		p.apply(src, &batch.Events[i])
	}
	return src.incomplete
}

// ObserveNewest takes the newest sequence number that an endpoint announced. It
// reports whether a complete list is needed. Announced events count as lost if
// they have not arrived by the next announcement.
func (p *PrefixIndex) ObserveNewest(id string, incarnation, newest uint64) bool {
	p.lock()
	defer p.unlock()
	src := p.sources[id]
	if src == nil || src.incarnation != incarnation {
		return newest > 0
	}
	if src.announced > src.seq {
		p.setIncomplete(src, true)
	}
	src.announced = newest
	return src.incomplete
}

// Forget removes an endpoint.
func (p *PrefixIndex) Forget(id string) {
	p.lock()
	defer p.unlock()
	if src := p.sources[id]; src != nil {
		p.retireSlot(src.slot)
		delete(p.sources, id)
	}
}

// Len returns the number of blocks held.
func (p *PrefixIndex) Len() int {
	p.locks[0].RLock()
	defer p.locks[0].RUnlock()
	return len(p.blocks)
}

// source returns the record of an incarnation and creates it if needed. It
// returns nil for an outdated incarnation or if no slot is free.
func (p *PrefixIndex) source(id string, incarnation uint64) *cacheSource {
	src := p.sources[id]
	if src != nil && src.incarnation > incarnation {
		return nil
	}
	if src != nil && src.incarnation == incarnation {
		return src
	}
	if src != nil {
		p.retireSlot(src.slot)
	}
	slot := p.allocateSlot()
	if slot < 0 {
		delete(p.sources, id)
		return nil
	}
	src = &cacheSource{incarnation: incarnation, slot: slot}
	p.sources[id] = src
	return src
}

func (p *PrefixIndex) apply(src *cacheSource, e *endpoint.CacheEvent) {
	if e.Kind == endpoint.CacheReset {
		p.reset(src, e.Seq)
		return
	}
	if e.Seq <= src.seq {
		return
	}
	if e.Seq != src.seq+1 {
		p.setIncomplete(src, true)
	}
	src.seq = e.Seq
	if e.Kind == endpoint.CacheAdd {
		p.add(e.Block, src.slot)
		return
	}
	p.remove(e.Block, src.slot)
}

// reset assigns a new slot to the endpoint. Entries of the old slot are ignored
// at once and removed later by freeRetiredSlots.
func (p *PrefixIndex) reset(src *cacheSource, seq uint64) {
	if seq <= src.seq {
		return
	}
	p.setIncomplete(src, false)
	p.retireSlot(src.slot)
	if slot := p.allocateSlot(); slot >= 0 {
		src.slot = slot
	}
	src.seq = seq
}

func (p *PrefixIndex) setIncomplete(src *cacheSource, gap bool) {
	src.incomplete = gap
	word, bit := &p.incomplete[src.slot/64], uint64(1)<<(src.slot%64)
	if gap {
		word.Or(bit)
		return
	}
	word.And(^bit)
}

func (p *PrefixIndex) allocateSlot() int {
	if len(p.freeSlots) == 0 {
		p.freeRetiredSlots()
	}
	if len(p.freeSlots) == 0 {
		return -1
	}
	slot := p.freeSlots[len(p.freeSlots)-1]
	p.freeSlots = p.freeSlots[:len(p.freeSlots)-1]
	p.usedWords.Store(max(p.usedWords.Load(), int32(slot/64+1)))
	return slot
}

func (p *PrefixIndex) retireSlot(slot int) {
	p.retiredSlots[slot/64] |= 1 << (slot % 64)
	p.incomplete[slot/64].And(^(uint64(1) << (slot % 64)))
	p.retiredCount++
	if p.retiredCount >= maxRetiredSlots {
		p.freeRetiredSlots()
	}
}

// freeRetiredSlots removes the entries of retired slots and frees the slots.
func (p *PrefixIndex) freeRetiredSlots() {
	p.removeRetired()
	for slot := range maxSlots {
		if p.retiredSlots[slot/64]&(1<<(slot%64)) != 0 {
			p.freeSlots = append(p.freeSlots, slot)
		}
	}
	p.retiredSlots = [slotWords]uint64{}
	p.retiredCount = 0
}

// slotOf returns the slot of an endpoint, or -1 if this incarnation of it sent
// no events.
func (p *PrefixIndex) slotOf(id string, incarnation uint64) int32 {
	p.locks[0].RLock()
	defer p.locks[0].RUnlock()
	src := p.sources[id]
	if src == nil || src.incarnation != incarnation {
		return -1
	}
	return int32(src.slot)
}

// match fills depth with the number of leading blocks that each slot holds. The
// reader number selects the read lock.
func (p *PrefixIndex) match(hashes []uint64, depth []uint16, reader int) {
	lock := &p.locks[reader%readLocks]
	lock.RLock()
	defer lock.RUnlock()
	clear(depth)
	if len(hashes) > maxDepth {
		hashes = hashes[:maxDepth]
	}
	var matching [slotWords]uint64
	usedWords := int(p.usedWords.Load())
	for i := range usedWords {
		matching[i] = ^uint64(0)
	}
	for i, hash := range hashes {
		h := p.blocks[hash]
		if h != nil && !h.referenced.Load() {
			h.referenced.Store(true)
		}
		if !h.intersect(&matching, usedWords, i, depth) {
			return
		}
	}
	(*holders)(nil).intersect(&matching, usedWords, len(hashes), depth)
}

func (p *PrefixIndex) isIncomplete(slot int32) bool {
	return p.incomplete[slot/64].Load()&(1<<(slot%64)) != 0
}

func (p *PrefixIndex) add(block uint64, slot int) {
	h := p.blocks[block]
	if h == nil {
		h = &holders{}
		p.insert(block, h)
	}
	h.add(slot)
}

// insert adds a block. If the index is full, it evicts the next block in clock
// order that was not looked up since the clock hand last passed it.
func (p *PrefixIndex) insert(block uint64, h *holders) {
	p.blocks[block] = h
	if len(p.evictionOrder) < p.capacity {
		p.evictionOrder = append(p.evictionOrder, block)
		return
	}
	for {
		p.clockHand = (p.clockHand + 1) % len(p.evictionOrder)
		victim := p.blocks[p.evictionOrder[p.clockHand]]
		if victim == nil || !victim.referenced.CompareAndSwap(true, false) {
			break
		}
	}
	delete(p.blocks, p.evictionOrder[p.clockHand])
	p.evictionOrder[p.clockHand] = block
}

// remove removes the slot from the holders of a block. It keeps a block without
// holders, because the eviction order still refers to it.
func (p *PrefixIndex) remove(block uint64, slot int) {
	if h := p.blocks[block]; h != nil {
		h.remove(slot)
	}
}

func (p *PrefixIndex) removeRetired() {
	remaining := p.evictionOrder[:0]
	for _, block := range p.evictionOrder {
		h := p.blocks[block]
		h.removeAll(&p.retiredSlots)
		if h.empty() {
			delete(p.blocks, block)
			continue
		}
		remaining = append(remaining, block)
	}
	p.evictionOrder, p.clockHand = remaining, 0
}
