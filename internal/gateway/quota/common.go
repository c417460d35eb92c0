package quota

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/rules"
)

// leaderNoticeTime is how long after an election entries may still divide the common part:
// replicas notice the leader within 0.2 s and tell the entries at once. The former leader may
// grant for 0.1 s.
const leaderNoticeTime = 400 * time.Millisecond

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
