package admit

import (
	"math"
	"slices"
	"time"
)

// maxDebtQuanta is the upper limit, in quanta, of the debt that a flow keeps
// while it is idle and of the amount that one usage report of a peer can charge.
// Without a limit, a caller that used idle capacity would not be served for a
// long time once other callers have requests.
const maxDebtQuanta = 16

// flow is a participant in a deficit round robin. It is served while its deficit
// counter is positive. The cost of the last request may make the counter
// negative.
type flow struct {
	deficit, weight float64
	active          bool
	idleSince       time.Time
	// idleRound is the value of ring.round when the flow became idle.
	idleRound float64
	// usedTokens is the cumulative cost that is reported to peers, and usedAt the
	// time of its last change.
	usedTokens float64
	usedAt     time.Time
}

func (f *flow) base() *flow { return f }

func (f *flow) charge(tokens float64, now time.Time) {
	f.deficit -= tokens
	f.usedTokens += tokens
	f.usedAt = now
}

type member interface {
	comparable
	base() *flow
}

// ring is a deficit round robin over the members with queued requests. Since the
// deficit may become negative, the cost of a request need not be known before it
// is served.
type ring[T member] struct {
	list []T
	next int
	// round counts the refills.
	round float64
}

// add inserts a member at the next position of the ring. The rounds since it
// left the ring repay its debt and may give it a credit of up to one quantum, so
// that a member which uses less than its share is served as soon as a slot is
// free. The debt also decays with the time for which the member was idle.
func (r *ring[T]) add(m T, quantum float64, halfLife time.Duration, now time.Time) {
	f := m.base()
	if f.active {
		return
	}
	f.active = true
	f.deficit *= math.Exp2(-float64(now.Sub(f.idleSince)) / float64(max(halfLife, 1)))
	f.deficit = max(f.deficit, -maxDebtQuanta*quantum*f.weight)
	f.deficit = min(f.deficit+(r.round-f.idleRound)*quantum*f.weight, quantum*f.weight)
	r.next = min(r.next, len(r.list))
	r.list = slices.Insert(r.list, r.next, m)
}

// remove removes a member without queued requests from the ring. The member
// loses its credit and keeps its debt.
func (r *ring[T]) remove(m T, now time.Time) {
	i := slices.Index(r.list, m)
	if i < 0 {
		return
	}
	r.list = slices.Delete(r.list, i, i+1)
	if i < r.next {
		r.next--
	}
	f := m.base()
	f.active, f.idleSince, f.idleRound = false, now, r.round
	f.deficit = min(f.deficit, 0)
}

// pick returns the member to serve next. The ring must not be empty.
func (r *ring[T]) pick(quantum float64) T {
	for {
		for i := range r.list {
			at := (r.next + i) % len(r.list)
			if r.list[at].base().deficit > 0 {
				r.next = at
				return r.list[at]
			}
		}
		r.refill(quantum)
	}
}

// refill adds the same number of quanta to each member: the smallest number that
// makes the deficit of at least one member positive.
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
	r.next = (r.next + 1) % len(r.list)
}

// chargeExcess charges each member of the ring for the difference between the
// tokens that peers served to it and its share by weight of all tokens that peers
// served to the members of the ring. Members that are not in this ring are not
// charged.
func chargeExcess[T member](r *ring[T], used map[T]float64, quantum float64) {
	total, weights := 0.0, 0.0
	for _, m := range r.list {
		total += used[m]
		weights += m.base().weight
	}
	if total <= 0 {
		return
	}
	for _, m := range r.list {
		f := m.base()
		bound := maxDebtQuanta * quantum * f.weight
		excess := used[m] - total*f.weight/weights
		f.deficit -= min(max(excess, -bound), bound)
	}
}

// workspaceFlow is the state of a workspace in one rank.
type workspaceFlow struct {
	flow
	config       *workspaceConfig
	callers      map[string]*callerFlow
	ring         ring[*callerFlow]
	queuedTokens float64
	queued       int
}

// callerFlow is the state of a caller in one rank.
type callerFlow struct {
	flow
	name         string
	workspace    *workspaceFlow
	queue        ticketList
	queued       int
	queuedTokens float64
	// demand is the exponentially decayed sum of offered tokens. The setting
	// caller_exponent derives the weight from it.
	demand   float64
	demandAt time.Time
}

// updateDemand adds the tokens of an offered request to the demand and updates
// the weight. With exponent 0 all callers have weight 1.
func (c *callerFlow) updateDemand(tokens, exponent float64, halfLife time.Duration, now time.Time) {
	c.demand *= math.Exp2(-float64(now.Sub(c.demandAt)) / float64(max(halfLife, 1)))
	c.demand += tokens
	c.demandAt = now
	c.weight = 1
	if exponent > 0 {
		// The weight is 1 at a demand of one average request, so that a quantum
		// keeps its configured size.
		c.weight = math.Pow(max(c.demand/averageRequestTokens, 1), exponent)
	}
}

// averageRequestTokens is the demand, in tokens, at which the weight of a caller
// is 1.
const averageRequestTokens = 512

// workspaceConfig is the configuration of a workspace. The queue limits apply to
// each rank separately. With a common limit for all ranks, a caller that floods
// one rank could not use the floors of the other ranks.
type workspaceConfig struct {
	name               string
	weight             float64
	maxQueued          int
	maxQueuedPerCaller int
}
