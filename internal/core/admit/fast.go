package admit

import "sync/atomic"

// counters are shared by the fast path and the lock. Order matters: a request
// that queues raises waiting before it looks for a free slot, and one that
// ends frees its slot before it looks at waiting. So one of the two sees the
// other, and no ticket waits next to a free slot.
type counters struct {
	capacity, running, waiting atomic.Int64
	published                  atomic.Pointer[[]*rank]
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

// startFast starts a ticket without the lock while nothing waits. Such use is
// not charged to a flow at the start: without contention nobody lost by it.
func (a *Admitter) startFast(t *Ticket, r *rank) bool {
	if a.waiting.Load() > 0 || !a.acquire() {
		return false
	}
	r.running.Add(1)
	t.state.Store(running)
	return true
}

// endFast ends a ticket that startFast started, unless work now waits: then
// the ticket is charged with its whole cost under the lock. It reports whether
// the ticket ended and whether the caller must dispatch.
func (a *Admitter) endFast(t *Ticket) (ended, dispatch bool) {
	if t.flow != nil || a.waiting.Load() > 0 {
		return false, false
	}
	(*a.published.Load())[t.req.Rank].running.Add(-1)
	a.running.Add(-1)
	return true, a.waiting.Load() > 0
}
