package waiting

import "time"

// Estimate returns how long a new request is expected to wait; 0 if that is not known.
func (q *Queue) Estimate(r *Request, now time.Time) time.Duration {
	wait, _ := q.estimate(r, now)
	return wait
}

// refuse returns why a request cannot wait, or nil if it can.
func (q *Queue) refuse(r *Request, now time.Time) *RefusedError {
	if !r.MayHaveRun && now.Add(q.Estimate(r, now)).After(r.latestStart()) {
		return q.refusal(Unreachable, r, 0, now)
	}
	return nil
}

// Refusal describes the end of a wait without an endpoint.
func (q *Queue) Refusal(reason Reason, t *Ticket, now time.Time) *RefusedError {
	return q.refusal(reason, &t.Request, t.Waited(now), now)
}

// refusal describes the refusal of a request with the state of the queue.
func (q *Queue) refusal(reason Reason, r *Request, waited time.Duration, now time.Time) *RefusedError {
	wait, ahead := q.estimate(r, now)
	return &RefusedError{Reason: reason, Ahead: ahead, Wait: wait, Drain: q.drain(), Waited: waited}
}

// estimate returns the expected wait of a new request and the number of requests ahead of it.
// Those that can no longer meet their targets are ahead of it only if it cannot meet its own.
func (q *Queue) estimate(r *Request, now time.Time) (wait time.Duration, ahead int) {
	wait, ahead = q.waitBehind(r, func(t *Ticket) bool { return !now.After(t.Request.onTimeStart()) })
	if now.Add(wait).After(r.onTimeStart()) {
		return q.waitBehind(r, func(*Ticket) bool { return true })
	}
	return wait, ahead
}

// waitBehind returns the expected wait of a request and the number of requests ahead of it. Ahead
// are all of more urgent ranks, and those of its own rank for which a function holds, unless its
// workspace has its turn before theirs.
func (q *Queue) waitBehind(r *Request, before func(*Ticket) bool) (wait time.Duration, ahead int) {
	rank := r.rank()
	own := q.aheadInRank(r, before)
	ahead = own
	for i := range rank {
		ahead += q.rankCount[i]
	}
	rate := q.rate.perSecond()
	if rate <= 0 {
		return 0, ahead
	}
	// What arrives of more urgent ranks during the wait takes as much as it does now.
	urgent := 0.0
	for i := range rank {
		urgent += q.rankRate[i].perSecond()
	}
	seconds := float64(ahead) / rate
	if urgent > 0 {
		seconds = max(seconds, float64(own)/max(rate-urgent, rate*floorShare))
	}
	return time.Duration(seconds * float64(time.Second)), ahead
}

// aheadInRank returns how many requests of its rank for which a function holds are served before a
// new request. While one workspace waits with many requests, another one that begins to wait has
// its turns.
func (q *Queue) aheadInRank(r *Request, before func(*Ticket) bool) int {
	rank := r.rank()
	for _, f := range q.workspaces {
		f.ahead = 0
	}
	for _, t := range q.tickets {
		if t.Request.rank() == rank && before(t) {
			t.workspace.ahead++
		}
	}
	own := q.workspaces[r.Workspace]
	mine := 0
	if own != nil {
		mine = own.ahead
	}
	ahead := mine
	for _, f := range q.workspaces {
		if f != own {
			ahead += min(f.ahead, mine+maxLead)
		}
	}
	return ahead
}

// drain returns the time in which the queue drains; 0 if that is not known.
func (q *Queue) drain() time.Duration {
	rate := q.rate.perSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(len(q.tickets)) / rate * float64(time.Second))
}
