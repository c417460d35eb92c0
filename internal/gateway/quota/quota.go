// Package quota enforces the limit of each workspace over all entries. One part
// of every limit, the divided part, is divided among the entries by leases of the
// leader; they spend it without communication. The rest, the common part, is held by one state replica,
// the leader, which grants what the share of an entry cannot cover, such as large
// requests. With such a request an entry offers the leader what is left of its share, so
// that the shares of many entries cover a request together. The two parts add up to the
// limit, and every request is covered in full before it is granted. The package does no I/O.
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
	// commonPart is the part of a limit that the leader holds.
	commonPart = 0.6
	// commonTokenShare and dividedTokenShare are the parts of Tolerance.Tokens
	// that the leader, and all entries together, may grant in addition. startTokenShare is
	// what entries have together when they start: an earlier run may have spent full shares
	// just before, but with nothing at all the first requests would be refused. steadyOvershootShare
	// is the part of Tolerance.Overshoot by which rate and burst are raised, and
	// commonOvershootShare the part of it that the common part may grant at once. The rest is
	// a margin for changes of limits, and for entries that never had a lease or have been
	// cut off for long.
	commonTokenShare     = 0.5
	dividedTokenShare    = 0.3
	startTokenShare      = 0.15
	steadyOvershootShare = 0.3
	commonOvershootShare = 0.3
	// minCommonWait is the least time after which a request that no share can cover should
	// come again. A new leader is elected within it.
	minCommonWait = 500 * time.Millisecond
	// minEntries is the number of entries that is assumed while fewer are known, since
	// the first reports may count only those entries that were faster.
	minEntries = 16
	// leaderlessTTL is how long a majority's report that there is no leader is used.
	leaderlessTTL = time.Second
	// leaderNoticeTime is how long after an election entries may still divide the common
	// part: replicas notice the leader within 0.2 s and tell the entries at once. The former
	// leader may grant for 0.1 s.
	leaderNoticeTime = 400 * time.Millisecond
)

// Tolerance is how much may be granted above a limit within any window, over all
// entries.
type Tolerance struct {
	Window time.Duration
	// Overshoot is relative to what the limit allows within the window.
	Overshoot float64
	// Tokens is added for limits that count tokens.
	Tokens float64
}

// bucket is a token bucket.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds what the rate yielded since the last update, which may lie in the future.
func (b *bucket) refill(rate, capacity float64, now time.Time) {
	if now.Before(b.updatedAt) {
		return
	}
	b.level = min(b.level+now.Sub(b.updatedAt).Seconds()*rate, capacity)
	b.updatedAt = now
}

// timeUntil returns the time until the level reaches an amount.
func (b *bucket) timeUntil(level, rate float64) time.Duration {
	return time.Duration((level - b.level) / rate * float64(time.Second))
}

// limits are the limits of one workspace.
type limits struct {
	// namedRate is the rate in the document; rate and burst are raised by what may be
	// spent above it.
	namedRate, rate, burst float64
	// extraTokens is how much may be spent above the limit; 0 for limits that count
	// requests.
	extraTokens float64
}

func limitsOf(w *rules.Workspace, t Tolerance) limits {
	raise := 1 + t.Overshoot*steadyOvershootShare
	l := limits{namedRate: w.RatePerS, rate: w.RatePerS * raise, burst: w.Burst * raise}
	if w.CountTokens {
		l.extraTokens = t.Tokens
	}
	return l
}

// Common holds the common parts of the limits. It is safe for concurrent use.
type Common struct {
	tolerance Tolerance

	mu      sync.Mutex
	buckets map[string]*bucket
	// emptyAt is the time at which new buckets are taken to be empty.
	emptyAt time.Time
}

// NewCommon returns empty buckets, since it is unknown what an earlier leader
// granted.
func NewCommon(tolerance Tolerance, now time.Time) *Common {
	return &Common{tolerance: tolerance, emptyAt: now, buckets: make(map[string]*bucket)}
}

// Spending is the answer of the common part to a request.
type Spending struct {
	Granted bool
	// Wait is the time until the cost can be spent, if it was not granted.
	Wait time.Duration
	// Taken is how much of the offer now belongs to the common part.
	Taken float64
}

// Take spends the cost of a request from the common part and from what the entry offers of
// its share. If both together do not cover it, the offer is kept for later requests, as far
// as it fits.
func (c *Common) Take(w *rules.Workspace, cost, offered float64, now time.Time) Spending {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.buckets[w.Name]
	if b == nil {
		b = &bucket{updatedAt: c.emptyAt}
		c.buckets[w.Name] = b
	}
	l := limitsOf(w, c.tolerance)
	overshoot := c.tolerance.Overshoot * commonOvershootShare * (l.namedRate*c.tolerance.Window.Seconds() + w.Burst)
	rate, capacity := l.rate*commonPart, l.burst*commonPart+overshoot+l.extraTokens*commonTokenShare
	b.refill(rate, capacity, now)
	// A request that exceeds the capacity is granted when the bucket is full, and
	// leaves a debt.
	needed := min(cost, capacity)
	if b.level+offered < needed {
		taken := min(offered, capacity-b.level)
		b.level += taken
		return Spending{Wait: b.timeUntil(needed, rate), Taken: taken}
	}
	taken := min(max(cost-b.level, 0), offered)
	b.level += taken - cost
	return Spending{Granted: true, Taken: taken}
}

// Reset empties the buckets when the replica becomes the leader, and returns when they begin
// to fill: once no entry divides the common part any more and the previous leader, whose last
// confirmation may be younger than the election, grants nothing.
func (c *Common) Reset(electedAt time.Time) (emptyAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emptyAt = electedAt.Add(leaderNoticeTime)
	clear(c.buckets)
	return c.emptyAt
}

// StartsIn returns the time until the buckets begin to fill after an election; 0 if they do.
func (c *Common) StartsIn(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.emptyAt.Sub(now), 0)
}

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
