package waiting

import "time"

// next returns the request that gets the next place, among those that were not turned away in
// this round; nil if there is none.
func (q *Queue) next(now time.Time, selectiveOnly bool) *Ticket {
	offered := func(t *Ticket) bool {
		return t.passedInRound != q.round && (!selectiveOnly || t.Request.Selective)
	}
	rank := q.nextRank(offered)
	if rank < 0 {
		return nil
	}
	leastWorkspace := q.leastOffered(rank, offered, func(t *Ticket) *flow { return t.workspace })
	best := q.first(rank, now, func(t *Ticket) bool { return offered(t) && t.workspace.served <= leastWorkspace+maxLead })
	return q.leastServedCaller(best, rank, now, offered)
}

// first returns the request of a rank that goes before all others for which a function holds; nil
// if there is none.
func (q *Queue) first(rank int, now time.Time, eligible func(*Ticket) bool) *Ticket {
	var first *Ticket
	for _, t := range q.tickets {
		if t.Request.rank() != rank || !eligible(t) {
			continue
		}
		if first == nil || t.before(first, now) {
			first = t
		}
	}
	return first
}

// leastServedCaller returns a request of another caller of the same workspace, if the caller
// of the given request is too far ahead of it.
func (q *Queue) leastServedCaller(best *Ticket, rank int, now time.Time, offered func(*Ticket) bool) *Ticket {
	if best == nil {
		return nil
	}
	sameWorkspace := func(t *Ticket) bool { return offered(t) && t.workspace == best.workspace }
	least := q.leastOffered(rank, sameWorkspace, func(t *Ticket) *flow { return t.caller })
	if best.caller.served <= least+maxLead {
		return best
	}
	return q.first(rank, now, func(t *Ticket) bool { return sameWorkspace(t) && t.caller.served <= least+maxLead })
}

// nextRank returns the rank that gets the next place: one whose floor is due, or else the most
// urgent; -1 if no request is offered.
func (q *Queue) nextRank(offered func(*Ticket) bool) int {
	var present [maxRank + 1]bool
	urgent := -1
	for _, t := range q.tickets {
		if !offered(t) {
			continue
		}
		rank := t.Request.rank()
		present[rank] = true
		if urgent < 0 || rank < urgent {
			urgent = rank
		}
	}
	for rank := range present {
		if present[rank] && q.credit[rank] >= 1 {
			return rank
		}
	}
	return urgent
}

// leastOffered returns the smallest number of served requests of the flows with offered requests.
func (q *Queue) leastOffered(rank int, offered func(*Ticket) bool, of func(*Ticket) *flow) int {
	least, found := 0, false
	for _, t := range q.tickets {
		if t.Request.rank() != rank || !offered(t) {
			continue
		}
		if f := of(t); !found || f.served < least {
			least, found = f.served, true
		}
	}
	return least
}

// before reports whether a request of the same rank goes first. Requests that can meet their
// target go before those that can no longer meet it: a queue in the order of targets alone
// makes each request late once one is. Late ones follow in the order of their deadlines.
func (t *Ticket) before(other *Ticket, now time.Time) bool {
	onTime, otherOnTime := !now.After(t.Request.onTimeStart()), !now.After(other.Request.onTimeStart())
	if onTime != otherOnTime {
		return onTime
	}
	x, y := t.Request.onTimeStart(), other.Request.onTimeStart()
	if !onTime {
		x, y = t.Request.latestStart(), other.Request.latestStart()
	}
	if !x.Equal(y) {
		return x.Before(y)
	}
	return t.sequence < other.sequence
}

// leastUrgent returns the request that loses its place to one of a rank, or nil if none does:
// of the least urgent rank and the workspace that waits most there, the newest.
func (q *Queue) leastUrgent(rank int) *Ticket {
	var worst *Ticket
	for _, t := range q.tickets {
		if t.Request.MayHaveRun || t.Request.rank() <= rank {
			continue
		}
		if worst == nil || t.yieldsBefore(worst) {
			worst = t
		}
	}
	return worst
}

// yieldsBefore reports whether a request loses its place before another one does.
func (t *Ticket) yieldsBefore(other *Ticket) bool {
	if x, y := t.Request.rank(), other.Request.rank(); x != y {
		return x > y
	}
	if x, y := t.workspace.waiting, other.workspace.waiting; x != y {
		return x > y
	}
	return t.sequence > other.sequence
}
