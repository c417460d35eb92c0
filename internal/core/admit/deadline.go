package admit

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the memory of the measured service rate.
	rateHalfLife = 10 * time.Second
	// minBusy and minServed are the evidence needed before a rate refuses anything.
	minBusy   = time.Second
	minServed = 8
	// minShare bounds the estimated share of a rank from below, so that an
	// estimate stays finite.
	minShare = 0.02

	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// serviceRate measures tokens served per second of the time in which all slots
// were busy and work waited.
type serviceRate struct {
	tokens, served, busy float64
	at                   time.Time
	// saturated tells the state since at.
	saturated bool
}

// advance brings the measurement up to now.
func (s *serviceRate) advance(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed <= 0 {
		return
	}
	if s.at.IsZero() {
		s.at = now
		return
	}
	s.at = now
	if !s.saturated {
		return
	}
	keep := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	s.tokens *= keep
	s.served *= keep
	s.busy = s.busy*keep + elapsed.Seconds()
}

func (s *serviceRate) done(tokens float64, now time.Time) {
	s.advance(now)
	if s.saturated {
		s.tokens += tokens
		s.served++
	}
}

// perSecond returns the rate in tokens per second, and 0 while too little was seen.
func (s *serviceRate) perSecond() float64 {
	if s.busy < minBusy.Seconds() || s.served < minServed {
		return 0
	}
	return s.tokens / s.busy
}

// refuse returns why a ticket cannot be queued, or nil.
func (a *Admitter) refuse(t *Ticket, now time.Time) *RefusedError {
	if t.req.Resumed || (a.waiting.Load() == 0 && a.running.Load() < a.capacity.Load()) {
		return nil
	}
	workspace := t.flow.workspace
	wait := a.wait(t)
	refused := &RefusedError{Workspace: t.req.Workspace, Wait: wait}
	switch {
	case t.flow.queued >= workspace.tenant.maxCaller:
		refused.Reason = CallerQueueFull
		refused.RetryAfter = a.retryAfter(wait)
	case workspace.queued >= workspace.tenant.maxQueued:
		refused.Reason = WorkspaceQueueFull
		refused.RetryAfter = a.retryAfter(wait)
	case now.Add(wait).After(t.deadline):
		refused.Reason = DeadlineUnreachable
		refused.RetryAfter = a.retryAfter(now.Add(wait).Sub(t.deadline))
	default:
		return nil
	}
	return refused
}

func (a *Admitter) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Second)
}

// wait estimates the time in the queue: the work ahead of the ticket in its
// caller's queue at the share of the caller, or all work of the rank at the
// share of the rank, whichever is less. It is 0 while the rate is unknown.
func (a *Admitter) wait(t *Ticket) time.Duration {
	rate := a.rate.perSecond() * a.shareOf(t.req.Rank)
	if rate <= 0 {
		return 0
	}
	r, c := a.ranks[t.req.Rank], t.flow
	seconds := r.tokens / rate
	share := shareIn(r.ring.list, &c.workspace.flow) * shareIn(c.workspace.ring.list, &c.flow)
	seconds = min(seconds, c.tokens/(rate*share))
	return time.Duration(min(seconds, 1e6) * float64(time.Second))
}

// shareOf estimates the part of the capacity open to a rank: all but what
// more urgent ranks use and the floors of less urgent ranks that wait, and at
// least its own floor.
func (a *Admitter) shareOf(index int) float64 {
	share, capacity := 1.0, float64(a.capacity.Load())
	for i, r := range a.ranks {
		switch {
		case i < index && capacity > 0:
			share -= r.occupied / capacity
		case i > index && r.waiting > 0:
			share -= r.floor
		}
	}
	return max(share, a.ranks[index].floor, minShare)
}

// shareIn returns the share of a flow among the active ones, itself included.
func shareIn[T member](list []T, f *flow) float64 {
	weights := 0.0
	for _, m := range list {
		weights += m.base().weight
	}
	if !f.active {
		weights += f.weight
	}
	return f.weight / weights
}
