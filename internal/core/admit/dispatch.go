package admit

import (
	"math"
	"time"
)

// meanRunningHalfLife is the half-life of the mean number of running requests.
// The mean decides whether a rank may use the fraction of a slot in its floor.
const meanRunningHalfLife = 5 * time.Second

// dispatch starts queued tickets while slots are free and returns the Ready
// calls to make. It returns no call for the ticket offered, which is nil or the
// ticket that Offer is processing: Offer reads the state of that ticket.
func (a *Admitter) dispatch(now time.Time, offered *Ticket) []readyCall {
	var calls []readyCall
	a.rate.update(now)
	defer func() { a.rate.saturated = a.waiting.Load() > 0 && a.capacity.Load() > 0 }()
	for a.waiting.Load() > 0 && a.acquire() {
		r := a.nextRank(now)
		t := a.nextTicket(r)
		if !t.req.Resumed && now.After(t.deadline) {
			a.running.Add(-1)
			calls = append(calls, a.expire(t, now))
			continue
		}
		a.start(r, t, now)
		if t != offered {
			calls = append(calls, readyCall{ready: t.req.Ready})
		}
	}
	return calls
}

// start starts a ticket in the slot that dispatch has acquired.
func (a *Admitter) start(r *rank, t *Ticket, now time.Time) {
	// Charge before dequeuing, since a flow that leaves the ring keeps its debt.
	t.flow.charge(t.cost, now)
	t.flow.workspace.charge(t.cost, now)
	a.dequeue(t, now)
	t.state.Store(stateRunning)
	r.updateMeanRunning(now)
	r.running.Add(1)
}

// nextRank returns the rank whose ticket starts next. A rank below its floor at
// this entry comes first, then a rank below its floor in the failure domain,
// then the most urgent rank. Only ranks with queued tickets are considered, so
// other ranks may use an unused floor.
func (a *Admitter) nextRank(now time.Time) *rank {
	var mostUrgent, belowDomainFloor *rank
	for _, r := range a.ranks {
		if r.waiting == 0 {
			continue
		}
		r.updateMeanRunning(now)
		if r.belowFloor(a.capacity.Load()) {
			return r
		}
		if belowDomainFloor == nil && r.peerRunning+int(r.running.Load())+1 <= int(r.floor*float64(a.domainSlots)) {
			belowDomainFloor = r
		}
		if mostUrgent == nil {
			mostUrgent = r
		}
	}
	if belowDomainFloor != nil {
		return belowDomainFloor
	}
	return mostUrgent
}

// belowFloor reports whether the rank may start one more request within its
// floor. If the floor includes a fraction of a slot, the rank gets a whole slot
// for that fraction of the time.
func (r *rank) belowFloor(capacity int64) bool {
	slots := r.floor * float64(capacity)
	if float64(r.running.Load()+1) <= slots {
		return true
	}
	return float64(r.running.Load()) < math.Ceil(slots) && r.meanRunning < slots
}

// updateMeanRunning updates the mean number of running requests to now.
func (r *rank) updateMeanRunning(now time.Time) {
	elapsed := now.Sub(r.meanRunningAt)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(meanRunningHalfLife))
	r.meanRunning = r.meanRunning*decay + float64(r.running.Load())*(1-decay)
	r.meanRunningAt = now
}

func (a *Admitter) nextTicket(r *rank) *Ticket {
	if r.resumed.head != nil {
		return r.resumed.head
	}
	w := r.ring.pick(a.quantum())
	return w.ring.pick(a.quantum()).queue.head
}
