package admit

import (
	"math"
	"slices"
	"time"
)

// maxDebtQuanta bounds, in quanta, the debt that a flow keeps while it is idle
// and what one report of a peer can charge. Without a bound, use of free
// capacity would keep a caller out for long once others come.
const maxDebtQuanta = 16

// flow is a participant of a deficit round robin. It is served while its
// deficit is positive and may overdraw it by the request that it started.
type flow struct {
	deficit, weight float64
	active          bool
	idleSince       time.Time
	// leftAt is the round of the ring in which the flow became idle.
	leftAt float64
	// used is the cumulative cost, for peers, and usedAt the time of its last change.
	used   float64
	usedAt time.Time
}

func (f *flow) base() *flow { return f }

func (f *flow) charge(tokens float64, now time.Time) {
	f.deficit -= tokens
	f.used += tokens
	f.usedAt = now
}

type member interface {
	comparable
	base() *flow
}

// ring is a deficit round robin over the members with queued work. Since the
// deficit may become negative, the cost need not be known before the service.
type ring[T member] struct {
	list []T
	at   int
	// round counts the refills.
	round float64
}

// add makes a member take part, next in turn. The rounds that it missed repay
// its debt and may give it one quantum: a member that uses less than its share
// is therefore served as soon as a slot is free. Without any round, old debt
// decays with time.
func (r *ring[T]) add(m T, quantum float64, halfLife time.Duration, now time.Time) {
	f := m.base()
	if f.active {
		return
	}
	f.active = true
	f.deficit *= math.Exp2(-float64(now.Sub(f.idleSince)) / float64(max(halfLife, 1)))
	f.deficit = max(f.deficit, -maxDebtQuanta*quantum*f.weight)
	f.deficit = min(f.deficit+(r.round-f.leftAt)*quantum*f.weight, quantum*f.weight)
	r.at = min(r.at, len(r.list))
	r.list = slices.Insert(r.list, r.at, m)
}

// remove ends the part of a member without queued work. It saves no credit.
func (r *ring[T]) remove(m T, now time.Time) {
	i := slices.Index(r.list, m)
	if i < 0 {
		return
	}
	r.list = slices.Delete(r.list, i, i+1)
	if i < r.at {
		r.at--
	}
	f := m.base()
	f.active, f.idleSince, f.leftAt = false, now, r.round
	f.deficit = min(f.deficit, 0)
}

// pick returns the member to serve next. The ring must not be empty.
func (r *ring[T]) pick(quantum float64) T {
	for {
		for i := range r.list {
			at := (r.at + i) % len(r.list)
			if r.list[at].base().deficit > 0 {
				r.at = at
				return r.list[at]
			}
		}
		r.refill(quantum)
	}
}

// refill gives each member as many quanta as the first to become positive needs.
func (r *ring[T]) refill(quantum float64) {
	rounds := math.Inf(1)
	for _, m := range r.list {
		f := m.base()
		rounds = min(rounds, math.Floor(-f.deficit/(quantum*f.weight))+1)
	}
	for _, m := range r.list {
		m.base().deficit += rounds * quantum * m.base().weight
	}
	r.round += rounds
	r.at = (r.at + 1) % len(r.list)
}

// settle charges what peers served to the members here, relative to the part
// that each was due of it. Members that are absent here keep theirs.
func settle[T member](r *ring[T], served map[T]float64, quantum float64) {
	total, weights := 0.0, 0.0
	for _, m := range r.list {
		total += served[m]
		weights += m.base().weight
	}
	if total <= 0 {
		return
	}
	for _, m := range r.list {
		f := m.base()
		bound := maxDebtQuanta * quantum * f.weight
		over := served[m] - total*f.weight/weights
		f.deficit -= min(max(over, -bound), bound)
	}
}

// workspaceFlow is the part of a workspace in one rank.
type workspaceFlow struct {
	flow
	tenant  *tenant
	callers map[string]*callerFlow
	ring    ring[*callerFlow]
	tokens  float64
	queued  int
}

// callerFlow is the part of a caller in one rank.
type callerFlow struct {
	flow
	name      string
	workspace *workspaceFlow
	queue     ticketList
	queued    int
	tokens    float64
	// demand is the decayed sum of offered tokens, for caller_exponent.
	demand   float64
	demandAt time.Time
}

// offer updates demand and weight. Exponent 0 makes all callers equal.
func (c *callerFlow) offer(tokens, exponent float64, halfLife time.Duration, now time.Time) {
	c.demand *= math.Exp2(-float64(now.Sub(c.demandAt)) / float64(max(halfLife, 1)))
	c.demand += tokens
	c.demandAt = now
	c.weight = 1
	if exponent > 0 {
		// A caller of one average request has weight 1, so that quanta keep their meaning.
		c.weight = math.Pow(max(c.demand/averageTokens, 1), exponent)
	}
}

// averageTokens scales demand to weight.
const averageTokens = 512

// tenant is the configuration of a workspace. The bounds hold in each rank:
// with one bound over all ranks, a flood of one rank would keep the caller's
// other requests out of the floors of theirs.
type tenant struct {
	name      string
	weight    float64
	maxQueued int
	maxCaller int
}
