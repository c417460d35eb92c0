package admit

import (
	"math"
	"time"
)

// occupiedHalfLife is the time over which the use of a fraction of a slot is averaged.
const occupiedHalfLife = 5 * time.Second

// dispatch starts tickets while slots are free. The ticket of the caller, own,
// is not notified: its state tells.
func (a *Admitter) dispatch(now time.Time, own *Ticket) []notice {
	var notices []notice
	a.rate.advance(now)
	defer func() { a.rate.saturated = a.waiting.Load() > 0 && a.capacity.Load() > 0 }()
	for a.waiting.Load() > 0 && a.acquire() {
		r := a.nextRank(now)
		t := a.nextTicket(r)
		if !t.req.Resumed && now.After(t.deadline) {
			a.running.Add(-1)
			notices = append(notices, a.expire(t, now))
			continue
		}
		a.start(r, t, now)
		if t != own {
			notices = append(notices, notice{ready: t.req.Ready})
		}
	}
	return notices
}

// start takes over the slot that dispatch acquired.
func (a *Admitter) start(r *rank, t *Ticket, now time.Time) {
	// The charge comes first: a flow that leaves the ring keeps its debt.
	t.flow.charge(t.cost, now)
	t.flow.workspace.charge(t.cost, now)
	a.dequeue(t, now)
	t.state.Store(running)
	r.advance(now)
	r.running.Add(1)
}

// nextRank chooses the rank of the next start: first a rank below its floor
// here, then one below its floor in the failure domain, then the most urgent.
// A floor that nobody asks for is lent, since only ranks with queued work count.
func (a *Admitter) nextRank(now time.Time) *rank {
	var first, topUp *rank
	for _, r := range a.ranks {
		if r.waiting == 0 {
			continue
		}
		r.advance(now)
		if r.belowFloor(a.capacity.Load()) {
			return r
		}
		if topUp == nil && r.peerRunning+int(r.running.Load())+1 <= int(r.floor*float64(a.domain)) {
			topUp = r
		}
		if first == nil {
			first = r
		}
	}
	if topUp != nil {
		return topUp
	}
	return first
}

// belowFloor reports whether the rank may start one more on its floor. The
// fraction of a slot in the floor is granted as a share of time.
func (r *rank) belowFloor(capacity int64) bool {
	slots := r.floor * float64(capacity)
	if float64(r.running.Load()+1) <= slots {
		return true
	}
	return float64(r.running.Load()) < math.Ceil(slots) && r.occupied < slots
}

// advance brings the mean use of slots up to now.
func (r *rank) advance(now time.Time) {
	elapsed := now.Sub(r.occupiedAt)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp2(-float64(elapsed) / float64(occupiedHalfLife))
	r.occupied = r.occupied*keep + float64(r.running.Load())*(1-keep)
	r.occupiedAt = now
}

func (a *Admitter) nextTicket(r *rank) *Ticket {
	if r.resumed.head != nil {
		return r.resumed.head
	}
	w := r.ring.pick(a.quantum())
	return w.ring.pick(a.quantum()).queue.head
}
