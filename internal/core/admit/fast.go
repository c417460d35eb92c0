package admit

import "sync/atomic"

// counters are used both by the lock-free path and under the lock. The order of
// updates matters: a request that is queued increments waiting before it looks
// for a free slot, and a request that ends frees its slot before it reads
// waiting. At least one of the two therefore sees the other's update, and no
// ticket stays queued while a slot is free.
type counters struct {
	capacity, running, waiting atomic.Int64
	publishedRanks             atomic.Pointer[[]*rank]
}

// acquire takes a free slot and reports whether there was one.
func (c *counters) acquire() bool {
	for {
		n := c.running.Load()
		if n >= c.capacity.Load() {
			return false
		}
		if c.running.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// startFast starts a ticket without the lock if no request is queued and a slot
// is free. The ticket is not charged to a flow at its start, since without
// contention its use takes capacity from no other flow.
func (a *Admitter) startFast(t *Ticket, r *rank) bool {
	if a.waiting.Load() > 0 || !a.acquire() {
		return false
	}
	r.running.Add(1)
	t.state.Store(stateRunning)
	return true
}

// endFast ends a ticket that startFast started, unless requests are queued by
// now. In that case the caller must end the ticket under the lock, which charges
// its full cost. endFast reports whether it ended the ticket and whether the
// caller must dispatch.
func (a *Admitter) endFast(t *Ticket) (ended, dispatch bool) {
	if t.flow != nil || a.waiting.Load() > 0 {
		return false, false
	}
	(*a.publishedRanks.Load())[t.req.Rank].running.Add(-1)
	a.running.Add(-1)
	return true, a.waiting.Load() > 0
}
