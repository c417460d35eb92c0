package waiting

import "time"

// refuse returns why a request cannot wait, or nil if it can.
func (q *Queue) refuse(r *Request, now time.Time) *RefusedError {
	if r.MayHaveRun {
		return nil
	}
	wait := q.Estimate(r, now)
	if now.Add(wait).After(r.latestStart()) {
		return q.refusal(Unreachable, r, 0)
	}
	return nil
}

// Refusal describes the end of a wait without an endpoint.
func (q *Queue) Refusal(reason Reason, t *Ticket, now time.Time) *RefusedError {
	return q.refusal(reason, &t.Request, t.Waited(now))
}

func (q *Queue) refusal(reason Reason, r *Request, waited time.Duration) *RefusedError {
	wait, ahead := q.estimate(r)
	return &RefusedError{Reason: reason, Ahead: ahead, Wait: wait, Drain: q.drain(), Waited: waited}
}

// Estimate returns how long a new request is expected to wait; 0 if that is not known.
func (q *Queue) Estimate(r *Request, _ time.Time) time.Duration {
	wait, _ := q.estimate(r)
	return wait
}

// estimate returns the expected wait of a new request and the number of requests ahead of it.
// Those are the requests of more urgent ranks and, within its own rank, at most those that are
// served while its workspace gets its turns.
func (q *Queue) estimate(r *Request) (wait time.Duration, ahead int) {
	rank := r.rank()
	own := q.aheadInRank(r)
	for i := range rank {
		ahead += q.rankCount[i]
	}
	ahead += own
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
	if left := max(rate-urgent, rate*floorShare); urgent > 0 {
		seconds = max(seconds, float64(own)/left)
	}
	return time.Duration(seconds * float64(time.Second)), ahead
}

// aheadInRank returns how many requests of its rank are served before a new request. While one
// workspace waits with many requests, another one that begins to wait has its turns.
func (q *Queue) aheadInRank(r *Request) int {
	rank := r.rank()
	mine := 0
	waiting := make(map[*flow]int)
	for _, t := range q.tickets {
		if t.Request.rank() != rank {
			continue
		}
		if t.Request.Workspace == r.Workspace {
			mine++
		}
		waiting[t.workspace]++
	}
	ahead := mine
	for f, n := range waiting {
		if f != q.workspaces[r.Workspace] {
			ahead += min(n, mine+maxLead)
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
