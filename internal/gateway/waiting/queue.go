package waiting

import (
	"slices"
	"time"
)

const (
	// floorShare is the part of the places that each rank gets while it waits, however many
	// requests of more urgent ranks there are. maxFloors bounds the sum of these parts.
	floorShare = 0.1
	maxFloors  = 0.4
	// maxCredit bounds the places that a rank is owed of its floor.
	maxCredit = 2
	// maxSelective is the number of selective requests that are tried for one free place.
	maxSelective = 16
)

// Limits bounds a queue.
type Limits struct {
	Requests int
	// Bytes bounds the sum of the bodies.
	Bytes int64
}

// Queue holds the requests of a service that wait at one entry. Its zero value is not usable.
// It is not safe for concurrent use.
type Queue struct {
	limits     Limits
	tickets    []*Ticket
	bytes      int64
	sequence   uint64
	round      uint64
	workspaces map[string]*flow
	rankCount  [maxRank + 1]int
	// credit is the number of places that each rank is owed of its floor.
	credit [maxRank + 1]float64
	rate   startRate
	// rankRate measures the starts of each rank.
	rankRate [maxRank + 1]startRate
}

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, workspaces: make(map[string]*flow)}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.tickets) }

// Bytes returns the sum of the bodies of the waiting requests.
func (q *Queue) Bytes() int64 { return q.bytes }

// Add lets a request wait. The error is a *RefusedError. If the request takes the place of a
// less urgent one, that one is returned with the reason of its refusal.
func (q *Queue) Add(r Request, owner any, now time.Time) (t *Ticket, displaced []*Ticket, err error) {
	q.advance(now)
	if refused := q.refuse(&r, now); refused != nil {
		return nil, nil, refused
	}
	for len(q.tickets) >= q.limits.Requests || q.bytes+r.Bytes > q.limits.Bytes {
		victim := q.leastUrgent(r.rank())
		if victim == nil {
			if r.MayHaveRun {
				break
			}
			return nil, displaced, q.refusal(QueueFull, &r, 0, now)
		}
		q.Remove(victim)
		displaced = append(displaced, victim)
	}
	q.sequence++
	t = &Ticket{Request: r, Owner: owner, since: now, sequence: q.sequence, index: len(q.tickets)}
	t.workspace = join(q.workspaces, r.Workspace)
	t.caller = join(t.workspace.callers, r.Caller)
	q.tickets = append(q.tickets, t)
	q.bytes += r.Bytes
	q.rankCount[r.rank()]++
	return t, displaced, nil
}

// Remove ends the wait of a request. It reports whether the request was waiting.
func (q *Queue) Remove(t *Ticket) bool {
	if t.index < 0 || t.index >= len(q.tickets) || q.tickets[t.index] != t {
		return false
	}
	last := len(q.tickets) - 1
	q.tickets[t.index] = q.tickets[last]
	q.tickets[t.index].index = t.index
	q.tickets[last] = nil
	q.tickets = q.tickets[:last]
	t.index = -1
	q.bytes -= t.Request.Bytes
	q.rankCount[t.Request.rank()]--
	t.workspace.waiting--
	t.caller.waiting--
	if len(q.tickets) == 0 {
		clear(q.workspaces)
		q.credit = [maxRank + 1]float64{}
	}
	return true
}

// Dispatch offers the waiting requests, in their order, to a function that finds an endpoint,
// until none is left that can take one. It returns the requests that left the queue. After a
// request that is not selective was turned away, only selective ones are offered, since other
// endpoints may take them.
func (q *Queue) Dispatch(now time.Time, take func(*Ticket) bool) (started []*Ticket) {
	q.advance(now)
	q.round++
	othersBlocked, selectiveTried := false, 0
	for {
		t := q.next(now, othersBlocked)
		if t == nil {
			return started
		}
		if take(t) {
			q.noteStart(t, now)
			started = append(started, t)
			continue
		}
		t.passedInRound = q.round
		if !t.Request.Selective {
			othersBlocked = true
		} else if selectiveTried++; selectiveTried >= maxSelective {
			return started
		}
	}
}

// Expire removes the requests whose wait has ended.
func (q *Queue) Expire(now time.Time) []*Ticket {
	q.advance(now)
	var ended []*Ticket
	for _, t := range slices.Clone(q.tickets) {
		if !now.Before(t.Request.end()) && q.Remove(t) {
			ended = append(ended, t)
		}
	}
	return ended
}

// Each calls a function for each waiting request.
func (q *Queue) Each(do func(*Ticket)) {
	for _, t := range q.tickets {
		do(t)
	}
}

// advance counts the time in which requests waited.
func (q *Queue) advance(now time.Time) {
	waited := len(q.tickets) > 0
	q.rate.advance(now, waited)
	for i := range q.rankRate {
		q.rankRate[i].advance(now, waited)
	}
}

// noteStart removes a request that got an endpoint, and charges its flows and ranks.
func (q *Queue) noteStart(t *Ticket, now time.Time) {
	rank := t.Request.rank()
	for i := range q.rankCount {
		if q.rankCount[i] > 0 {
			q.credit[i] = min(q.credit[i]+q.floor(), maxCredit)
		}
	}
	q.credit[rank] = max(q.credit[rank]-1, 0)
	t.workspace.served++
	t.caller.served++
	q.rate.add()
	q.rankRate[rank].add()
	q.Remove(t)
}

// floor returns the part of the places that each waiting rank gets at least.
func (q *Queue) floor() float64 {
	ranks := 0
	for _, n := range q.rankCount {
		if n > 0 {
			ranks++
		}
	}
	return min(floorShare, maxFloors/float64(max(ranks, 1)))
}
