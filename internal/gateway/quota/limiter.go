package quota

import (
	"math"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/demand"
	"github.com/boragelead/boragelead/internal/gateway/rules"
)

const (
	// minCommonWait is the least time after which a request that no share can cover should
	// come again. A new leader is elected within it.
	minCommonWait = 500 * time.Millisecond
	// minEntries is the number of entries that is assumed while fewer are known, since
	// the first reports may count only those entries that were faster.
	minEntries = 16
	// leaderlessTTL is how long a majority's report that there is no leader is used.
	leaderlessTTL = time.Second
)

// Limiter enforces the limits at an entry. It is safe for concurrent use.
type Limiter struct {
	tolerance Tolerance

	mu         sync.Mutex
	workspaces map[string]*workspace
	// lease is the newest lease of the leader, and leasedAt the time of the poll to which
	// it was the answer.
	lease    *Lease
	leasedAt bootclock.Instant
	// counted is the largest number of entries that a replica reported.
	counted int
	// total is the demand of all entries, which explains decisions.
	total map[string]float64
	// commonLostUntil is set while no leader holds the common part, and handoverUntil until
	// a new leader begins to grant it.
	commonLostUntil, handoverUntil bootclock.Instant
	// leaderlessAt is when a majority of the replicas last reported that there is no leader.
	leaderlessAt bootclock.Instant
	// startedAt is when this process began, before which it granted nothing.
	startedAt time.Time
	clock     func() bootclock.Instant
}

type workspace struct {
	limits
	bucket
	demand demand.Meter
	// deniedUntil is when the common part may grant deniedCost again.
	deniedUntil time.Time
	deniedCost  float64
	// offerLost is set after an offer that the leader did not answer. Until it answers,
	// nothing more is offered, so that an unreachable leader does not drain the share.
	offerLost bool
}

// New returns a limiter without limits and without a lease.
func New(tolerance Tolerance, clock func() bootclock.Instant, now time.Time) *Limiter {
	return &Limiter{tolerance: tolerance, clock: clock, startedAt: now, workspaces: make(map[string]*workspace)}
}

// Configure sets the limits of a document.
func (l *Limiter) Configure(list []rules.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := len(l.workspaces) == 0
	configured := make(map[string]bool, len(list))
	for i := range list {
		config := &list[i]
		configured[config.Name] = true
		w := l.workspaces[config.Name]
		if w == nil {
			// An earlier run of this workspace may have spent a full share just before.
			w = &workspace{bucket: bucket{updatedAt: now}}
			if first {
				w.limits = limitsOf(config, l.tolerance)
				w.updatedAt = l.startedAt
				w.level = w.extraTokens * startTokenShare / float64(max(l.counted, minEntries))
			}
			l.workspaces[config.Name] = w
		}
		l.refill(config.Name, w, now)
		w.limits = limitsOf(config, l.tolerance)
		w.level = min(w.level, w.capacity(l.share(config.Name)))
		w.deniedUntil = time.Time{}
	}
	for name := range l.workspaces {
		if !configured[name] {
			delete(l.workspaces, name)
		}
	}
}

// SetLease sets the lease that answered a poll, unless a later poll brought one before.
func (l *Limiter) SetLease(lease *Lease, polledAt bootclock.Instant, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease != nil && polledAt < l.leasedAt {
		return
	}
	l.refillAll(now)
	l.lease, l.leasedAt = lease, polledAt
}

// LeaseState returns the ID and the even share of the newest lease; 0 without one.
func (l *Limiter) LeaseState() (id uint64, even float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease == nil {
		return 0, 0
	}
	return l.lease.ID, l.lease.Even
}

// SetTotal records the number of entries and, if it is known, the demand of all of them.
func (l *Limiter) SetTotal(total demand.Total) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counted = max(l.counted, total.Entries)
	if total.PerS != nil {
		l.total = total.PerS
	}
}

// share returns the part of the divided part of a limit that this entry may use. The caller
// must hold mu.
func (l *Limiter) share(workspace string) float64 {
	if l.lease == nil {
		// The leader keeps back an even share for an earlier run of this entry.
		return 1 / float64(max(l.counted, minEntries))
	}
	age := l.clock().Sub(l.leasedAt)
	switch share := l.lease.share(workspace); {
	case age <= LeaseTTL:
		return share
	case age <= evenTTL:
		return min(share, l.lease.Even)
	default:
		return min(share, l.lease.Even) * lateShare
	}
}

// SetLeaderless records whether the common part is lost, which is the case if a
// majority of the replicas knows no leader, so that no replica can grant it. The
// entries then divide its rate as well. An entry that merely cannot reach the
// leader must not do so, since the leader grants the common part to others; so what is
// recorded lapses unless it is repeated. SetLeaderless reports whether that changed.
func (l *Limiter) SetLeaderless(lost bool, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if changed = lost != l.isLeaderless(); changed {
		l.refillAll(now)
	}
	l.commonLostUntil = 0
	if lost {
		l.leaderlessAt = l.clock()
		l.commonLostUntil = l.leaderlessAt.Add(leaderlessTTL)
	}
	return changed
}

func (l *Limiter) isLeaderless() bool { return l.clock() < max(l.commonLostUntil, l.handoverUntil) }

// AwaitCommon records how long a new leader will not grant from the common part yet. An entry
// that divides it goes on until then.
func (l *Limiter) AwaitCommon(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock().Sub(l.leaderlessAt) > leaderlessTTL {
		return
	}
	l.refillAll(now)
	l.handoverUntil = l.clock().Add(min(d, leaderNoticeTime))
}

// Decision is the result of Take.
type Decision struct {
	Granted bool
	// AskCommon is set if the common part may cover the request. Offered was then withdrawn
	// from the share of this entry; Settle or Fail must follow.
	AskCommon bool
	Offered   float64
	// Wait is the time until the share of this entry can cover the request, or, if it never
	// can, until the common part should be asked again.
	Wait time.Duration
}

// Take spends the cost of a request from the share of this entry, if the share covers
// it.
func (l *Limiter) Take(name string, cost float64, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workspaces[name]
	if w == nil || w.rate <= 0 {
		return Decision{Granted: true}
	}
	w.demand.Add(cost, now)
	rate, capacity := l.refill(name, w, now)
	if w.level >= cost {
		w.level -= cost
		return Decision{Granted: true}
	}
	decision := Decision{Wait: max(w.deniedUntil.Sub(now), minCommonWait)}
	if cost <= capacity {
		decision.Wait = w.timeUntil(cost, rate)
	}
	if now.Before(w.deniedUntil) && cost >= w.deniedCost {
		return decision
	}
	decision.AskCommon = true
	if !w.offerLost {
		decision.Offered = max(w.level, 0)
		w.level -= decision.Offered
	}
	return decision
}

// Settle ends a request to the common part that was answered: it returns to the share what
// the common part did not take of the offer.
func (l *Limiter) Settle(name string, offered, taken float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.workspaces[name]; w != nil {
		w.level += max(offered-max(taken, 0), 0)
		w.offerLost = false
	}
}

// Fail ends a request to the common part that was not answered. The offer may have been
// taken, so it is lost. The common part is not asked again before the given time.
func (l *Limiter) Fail(name string, retryAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.workspaces[name]; w != nil {
		w.offerLost = true
		w.deniedUntil, w.deniedCost = retryAt, 0
	}
}

// refillAll adds to all shares what they gained so far, before they change.
func (l *Limiter) refillAll(now time.Time) {
	for name, w := range l.workspaces {
		l.refill(name, w, now)
	}
}

// refill adds to the share of this entry what it gained since the last request. It
// returns the rate of the share and how much of it may be spent at once.
func (l *Limiter) refill(name string, w *workspace, now time.Time) (rate, capacity float64) {
	share := l.share(name)
	rate, capacity = w.rate*share, w.capacity(share)
	if !l.isLeaderless() {
		rate *= 1 - commonPart
	}
	w.bucket.refill(rate, capacity, now)
	return rate, capacity
}

// Basis is what a decision on a request was based on.
type Basis struct {
	// RatePerS is the limit of the workspace.
	RatePerS float64
	// Share is the part of the divided limit that this entry may use, and Level how much
	// of it is left.
	Share, Level float64
	// Entries is the number of entries that divide the limit, and Age the age of the lease;
	// 0 without one.
	Entries int
	Age     time.Duration
	// DemandPerS is the demand at all entries.
	DemandPerS float64
	// Leaderless is set if the entries divide the common part as well.
	Leaderless bool
}

// Basis returns what a decision on a request of a workspace would be based on.
func (l *Limiter) Basis(name string) Basis {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.workspaces[name]
	if w == nil {
		return Basis{}
	}
	basis := Basis{RatePerS: w.namedRate, Share: l.share(name), Level: w.level, DemandPerS: l.total[name], Leaderless: l.isLeaderless()}
	if l.lease != nil {
		basis.Entries = int(math.Round(1 / l.lease.Even))
		basis.Age = l.clock().Sub(l.leasedAt)
	}
	return basis
}

// RecordDenial records that the common part cannot grant a cost before a time.
func (l *Limiter) RecordDenial(name string, cost float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.workspaces[name]; w != nil {
		w.deniedUntil, w.deniedCost = until, cost
	}
}

// Refund returns the cost of a request that was not sent to an endpoint.
func (l *Limiter) Refund(name string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w := l.workspaces[name]; w != nil {
		w.level += cost
	}
}

// Demand returns the demand of this entry by workspace, in units of the limit per
// second.
func (l *Limiter) Demand(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make(map[string]float64, len(l.workspaces))
	for name, w := range l.workspaces {
		if rate := w.demand.PerS(now); rate > 0 {
			list[name] = rate
		}
	}
	return list
}

// capacity returns how much an entry with a share of the limit may spend at once.
func (w *workspace) capacity(share float64) float64 {
	return (w.burst*(1-commonPart) + w.extraTokens*dividedTokenShare) * share
}
