package admit

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the half-life of samples in the measured service rate.
	rateHalfLife = 10 * time.Second
	// minBusyTime and minServedRequests are the smallest sample from which a
	// service rate is computed. Below them the rate is unknown and no request is
	// refused because of its deadline.
	minBusyTime       = time.Second
	minServedRequests = 8
	// minRankShare is the lower limit of the estimated share of a rank. It keeps
	// wait estimates finite.
	minRankShare = 0.02

	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// serviceRate measures the tokens served per second. It counts only the time in
// which all slots were busy and requests were queued.
type serviceRate struct {
	tokens, requests, busySeconds float64
	updatedAt                     time.Time
	// saturated reports whether all slots have been busy with requests queued
	// since updatedAt.
	saturated bool
}

// update decays the samples and adds the busy time up to now.
func (s *serviceRate) update(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	if s.updatedAt.IsZero() {
		s.updatedAt = now
		return
	}
	s.updatedAt = now
	if !s.saturated {
		return
	}
	decay := math.Exp2(-float64(elapsed) / float64(rateHalfLife))
	s.tokens *= decay
	s.requests *= decay
	s.busySeconds = s.busySeconds*decay + elapsed.Seconds()
}

func (s *serviceRate) addServed(tokens float64, now time.Time) {
	s.update(now)
	if s.saturated {
		s.tokens += tokens
		s.requests++
	}
}

// perSecond returns the rate in tokens per second, or 0 while the sample is too
// small.
func (s *serviceRate) perSecond() float64 {
	if s.busySeconds < minBusyTime.Seconds() || s.requests < minServedRequests {
		return 0
	}
	return s.tokens / s.busySeconds
}

// refuse returns the reason why a ticket cannot be queued, or nil if it can.
func (a *Admitter) refuse(t *Ticket, now time.Time) *RefusedError {
	if t.req.Resumed || (a.waiting.Load() == 0 && a.running.Load() < a.capacity.Load()) {
		return nil
	}
	workspace := t.flow.workspace
	wait := a.estimateWait(t)
	refused := &RefusedError{Workspace: t.req.Workspace, Wait: wait}
	switch {
	case t.flow.queued >= workspace.config.maxQueuedPerCaller:
		refused.Reason = CallerQueueFull
		refused.RetryAfter = a.retryAfter(wait)
	case workspace.queued >= workspace.config.maxQueued:
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

// estimateWait estimates the time that a ticket spends in the queue. It is the
// smaller of two estimates: the queued tokens of the caller at the caller's
// share of the service rate, and the queued tokens of the rank at the rank's
// share. It is 0 while the service rate is unknown.
func (a *Admitter) estimateWait(t *Ticket) time.Duration {
	rate := a.rate.perSecond() * a.rankShare(t.req.Rank)
	if rate <= 0 {
		return 0
	}
	r, c := a.ranks[t.req.Rank], t.flow
	seconds := r.queuedTokens / rate
	share := flowShare(r.ring.list, &c.workspace.flow) * flowShare(c.workspace.ring.list, &c.flow)
	seconds = min(seconds, c.queuedTokens/(rate*share))
	return time.Duration(min(seconds, 1e6) * float64(time.Second))
}

// rankShare estimates the share of the capacity that is available to a rank.
// That is the whole capacity minus the mean use by more urgent ranks and minus
// the floors of less urgent ranks with queued requests, but at least the rank's
// own floor.
func (a *Admitter) rankShare(index int) float64 {
	share, capacity := 1.0, float64(a.capacity.Load())
	for i, r := range a.ranks {
		switch {
		case i < index && capacity > 0:
			share -= r.meanRunning / capacity
		case i > index && r.waiting > 0:
			share -= r.floor
		}
	}
	return max(share, a.ranks[index].floor, minRankShare)
}

// flowShare returns the share of a flow by weight among the active flows,
// itself included.
func flowShare[T member](list []T, f *flow) float64 {
	weights := 0.0
	for _, m := range list {
		weights += m.base().weight
	}
	if !f.active {
		weights += f.weight
	}
	return f.weight / weights
}
