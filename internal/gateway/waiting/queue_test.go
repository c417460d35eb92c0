package waiting

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var unlimited = Limits{Requests: 1000, Bytes: 1 << 30}

func newRequest(workspace string, rank int, targetIn time.Duration) Request {
	return Request{Workspace: workspace, Rank: rank, Target: simStart.Add(targetIn), Deadline: simStart.Add(10 * time.Second)}
}

func add(g *WithT, q *Queue, r Request, owner any) *Ticket {
	t, _, err := q.Add(r, owner, simStart)
	g.Expect(err).NotTo(HaveOccurred())
	return t
}

// serve gives a number of places to the queue and returns the owners of the requests that got them.
func serve(q *Queue, places int, now time.Time) (owners []any) {
	for _, t := range q.Dispatch(now, func(*Ticket) bool { places--; return places >= 0 }) {
		owners = append(owners, t.Owner)
	}
	return owners
}

// Guards against an order that serves a less urgent rank first, or a request that can no longer
// meet its target before one that can.
func TestOrder(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(unlimited)
	add(g, q, newRequest("w", 1, 100*time.Millisecond), "less urgent")
	add(g, q, newRequest("w", 0, -time.Millisecond), "late")
	add(g, q, newRequest("w", 0, 500*time.Millisecond), "loose")
	add(g, q, newRequest("w", 0, 100*time.Millisecond), "tight")
	g.Expect(serve(q, 4, simStart)).To(Equal([]any{"tight", "loose", "late", "less urgent"}))
}

// Guards against a rank that gets nothing while more urgent requests wait without end.
func TestFloors(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(unlimited)
	for range 100 {
		add(g, q, newRequest("w", 0, time.Second), 0)
		add(g, q, newRequest("w", 1, time.Second), 1)
		add(g, q, newRequest("w", 2, time.Second), 2)
	}
	var served [3]int
	for _, rank := range serve(q, 100, simStart) {
		served[rank.(int)]++
	}
	g.Expect(served[1]).To(BeNumerically("~", 10, 1))
	g.Expect(served[2]).To(BeNumerically("~", 10, 1))
}

// Guards against a workspace, or a caller of one, that gets more places because it sends more.
func TestFairness(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(unlimited)
	for range 90 {
		r := newRequest("flood", 0, 100*time.Millisecond)
		r.Caller = "many"
		add(g, q, r, "many")
	}
	for range 10 {
		r := newRequest("flood", 0, time.Second)
		r.Caller = "few"
		add(g, q, r, "few")
		add(g, q, newRequest("other", 0, time.Second), "other")
	}
	served := map[any]int{}
	for _, owner := range serve(q, 24, simStart) {
		served[owner]++
	}
	g.Expect(served["other"]).To(BeNumerically(">=", 10))
	g.Expect(served["few"]).To(BeNumerically(">=", 5))
}

// Guards against a place that stays free because the first request cannot use it.
func TestSelectiveRequestsDoNotBlock(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(unlimited)
	picky := newRequest("w", 0, 100*time.Millisecond)
	picky.Selective = true
	add(g, q, picky, "picky")
	add(g, q, newRequest("w", 0, 200*time.Millisecond), "any")
	started := q.Dispatch(simStart, func(t *Ticket) bool { return t.Owner == "any" })
	g.Expect(started).To(HaveLen(1))
	offers := 0
	add(g, q, newRequest("w", 0, 200*time.Millisecond), "any")
	add(g, q, newRequest("w", 0, 200*time.Millisecond), "any")
	q.Dispatch(simStart, func(*Ticket) bool { offers++; return false })
	g.Expect(offers).To(Equal(2), "one request that any endpoint can take, and the selective one")
}

// Guards against a queue beyond its bounds, and against one that refuses the more urgent request or
// displaces one that may have run.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Limits{Requests: 2, Bytes: 100})
	ran := newRequest("w", 2, time.Second)
	ran.MayHaveRun = true
	add(g, q, ran, "ran")
	add(g, q, newRequest("w", 2, time.Second), "displaced")
	_, displaced, err := q.Add(newRequest("w", 1, time.Second), "urgent", simStart)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(displaced).To(HaveLen(1))
	g.Expect(displaced[0].Owner).To(Equal("displaced"))
	_, _, err = q.Add(newRequest("w", 1, time.Second), "refused", simStart)
	var refused *RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Reason).To(Equal(QueueFull))
	large := newRequest("w", 0, time.Second)
	large.Bytes = 101
	_, _, err = q.Add(large, "large", simStart)
	g.Expect(err).To(HaveOccurred())
	g.Expect(q.Bytes()).To(BeNumerically("<=", 100))
}

// Guards against a request that waits although it cannot be served by its deadline, and against a
// refusal of one that can, or that may have run.
func TestRefusalAtOnce(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(unlimited)
	now := simStart
	for i := range 60 {
		add(g, q, newRequest("w", 0, time.Second), i)
	}
	// Ten places a second.
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		serve(q, 1, now)
	}
	g.Expect(q.Estimate(&Request{Workspace: "w"}, now)).To(BeNumerically("~", 4*time.Second, 300*time.Millisecond))
	r := Request{Workspace: "w", Target: now.Add(-time.Millisecond), Deadline: now.Add(3 * time.Second)}
	_, _, err := q.Add(r, nil, now)
	var refused *RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue())
	g.Expect(refused.Reason).To(Equal(Unreachable))
	g.Expect(refused.Ahead).To(Equal(40))
	r.MayHaveRun = true
	_, _, err = q.Add(r, nil, now)
	g.Expect(err).NotTo(HaveOccurred())
	r.MayHaveRun, r.Deadline = false, now.Add(5*time.Second)
	_, _, err = q.Add(r, nil, now)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against callers that return together, or after the time that they accept.
func TestReturnsAreSpread(t *testing.T) {
	g := NewWithT(t)
	counts := map[int]int{}
	for range 1000 {
		after := ReturnAfter(8*time.Second, 1200*time.Millisecond, rand.Float64())
		g.Expect(after).To(BeNumerically("<=", 1200*time.Millisecond))
		counts[int(after/(100*time.Millisecond))]++
	}
	for tenth := 3; tenth < 12; tenth++ {
		g.Expect(counts[tenth]).To(BeNumerically("<", 170), fmt.Sprint(tenth))
		g.Expect(counts[tenth]).To(BeNumerically(">", 60), fmt.Sprint(tenth))
	}
}

// Guards against a caller that leaves and keeps its place, and against waits beyond their end.
func TestWaitsEnd(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(unlimited)
	left := add(g, q, newRequest("w", 0, time.Second), "left")
	r := newRequest("w", 0, time.Second)
	r.GiveUp = simStart.Add(36 * time.Millisecond)
	add(g, q, r, "short")
	g.Expect(q.Remove(left)).To(BeTrue())
	g.Expect(q.Remove(left)).To(BeFalse())
	ended := q.Expire(simStart.Add(36 * time.Millisecond))
	g.Expect(ended).To(HaveLen(1))
	g.Expect(ended[0].Owner).To(Equal("short"))
}

// Guards against sums that are used although they are old, and against an entry that sends nothing
// while it knows no sums.
func TestGateFollowsRecentSumsOnly(t *testing.T) {
	g := NewWithT(t)
	gate := &Gate{}
	gate.SetSlots(36)
	isOpen := gate.Open
	g.Expect(isOpen(simStart)).To(BeTrue())
	gate.SetSums(Sums{Running: 200, Share: 0.1}, simStart)
	started := 0
	for isOpen(simStart) && started < 100 {
		gate.Start(simStart)
		started++
	}
	g.Expect(started).To(BeNumerically("~", 6, 1))
	g.Expect(isOpen(simStart.Add(2 * sumsTTL))).To(BeTrue())
}

// Guards against a gate that stays closed after rejections, or that does not limit what is sent to
// full endpoints without sums.
func TestGateAfterRejections(t *testing.T) {
	g := NewWithT(t)
	gate := &Gate{}
	now := simStart
	sends := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if gate.Open(now) {
			sends++
			gate.Start(now)
			gate.End(time.Millisecond, true, 0.5, now.Add(time.Millisecond))
		}
	}
	g.Expect(sends).To(BeNumerically("<=", 8))
	g.Expect(gate.Open(now.Add(2 * maxHold))).To(BeTrue())
}

// Guards against an entry that takes more than its VM bears, or refuses urgent requests first.
func TestOverload(t *testing.T) {
	g := NewWithT(t)
	o := NewOverload(144)
	g.Expect(o.Admits(2, 200, 300*time.Millisecond)).To(BeTrue())
	g.Expect(o.Admits(2, 250, 300*time.Millisecond)).To(BeFalse())
	g.Expect(o.Admits(0, 250, 300*time.Millisecond)).To(BeTrue())
	g.Expect(o.Admits(0, 320, 300*time.Millisecond)).To(BeFalse())
	for range 200 {
		o.Observe(90 * time.Millisecond)
	}
	g.Expect(o.Admits(7, 0, 300*time.Millisecond)).To(BeTrue(), "the processor quota of a small VM delays as much under ordinary load")
	for range 200 {
		o.Observe(150 * time.Millisecond)
	}
	g.Expect(o.Admits(2, 0, 300*time.Millisecond)).To(BeFalse())
	g.Expect(o.Admits(0, 0, 300*time.Millisecond)).To(BeTrue())
}
