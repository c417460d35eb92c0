package ledger_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/port"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

// testLedger applies commands to a State at increasing log indexes.
type testLedger struct {
	*ledger.State
	index uint64
}

func newTestLedger() *testLedger { return &testLedger{State: ledger.New()} }

func (l *testLedger) apply(c ledger.Command) ledger.Outcome {
	data, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	l.index++
	return l.Apply(l.index, data)
}

func (l *testLedger) tick(elapsed, retention time.Duration) {
	l.apply(ledger.Command{Tick: &ledger.Tick{Elapsed: elapsed, Retention: retention}})
}

func (l *testLedger) claim(key, attempt string, incarnation uint64) ledger.Outcome {
	return l.apply(ledger.Command{Claim: &port.ClaimRequest{
		Key: key, Attempt: attempt, Owner: "o", Incarnation: incarnation, BodyHash: "h",
	}})
}

func (l *testLedger) complete(key, attempt string, result port.CallResult) ledger.Outcome {
	return l.apply(ledger.Command{Complete: &port.CompleteRequest{Key: key, Attempt: attempt, Result: result}})
}

func (l *testLedger) lease(holder string, ttl, elapsed time.Duration) *port.LeaseGrant {
	return l.apply(ledger.Command{Lease: &ledger.LeaseRequest{
		Name: "c", Holder: holder, TTL: ttl, Elapsed: elapsed,
	}}).Lease
}

// restoreFromSnapshot replaces the state by one restored from its snapshot, and
// checks that both have equal snapshots.
func (l *testLedger) restoreFromSnapshot() {
	data := l.Snapshot()
	l.State = ledger.New()
	Expect(l.Restore(data)).To(Succeed())
	Expect(bytes.Equal(l.Snapshot(), data)).To(BeTrue())
}

var _ = Describe("State", func() {
	// Guards against a resent promotion that takes effect twice after a restart from a snapshot.
	It("answers a resent promotion with the first outcome", func() {
		l := newTestLedger()
		req := &port.PromoteRequest{OperationID: "a", Document: []byte("one"), Operator: "x"}
		first := l.apply(ledger.Command{Promote: req})
		losing := &port.PromoteRequest{OperationID: "b", Document: []byte("two")}
		lost := l.apply(ledger.Command{Promote: losing})
		l.apply(ledger.Command{Promote: &port.PromoteRequest{OperationID: "c", Expect: 1, Document: []byte("three")}})
		l.restoreFromSnapshot()
		Expect(l.apply(ledger.Command{Promote: req})).To(Equal(first))
		Expect(l.apply(ledger.Command{Promote: losing})).To(Equal(lost))
		Expect(lost.Err()).To(Equal(&port.ConflictError{Current: 1, Operator: "x"}))
		other := &port.PromoteRequest{OperationID: "a", Document: []byte("other")}
		Expect(l.apply(ledger.Command{Promote: other}).Err()).To(Equal(&port.OperationReusedError{OperationID: "a"}))
		Expect(l.Current().Number).To(BeEquivalentTo(2))
	})

	// Guards against a history that grows without bound or drops its newest generations.
	It("limits the history to the newest generations", func() {
		l := newTestLedger()
		for i := range 100 {
			l.apply(ledger.Command{Promote: &port.PromoteRequest{OperationID: fmt.Sprint(i), Expect: uint64(i)}})
		}
		history := l.History(0)
		Expect(history).To(HaveLen(64))
		Expect(history[0].Number).To(BeEquivalentTo(100))
		Expect(l.History(2)[1].Number).To(BeEquivalentTo(99))
	})

	// Guards against large documents that fill the memory of a replica as history.
	It("limits the history by the size of the documents", func() {
		l := newTestLedger()
		document := bytes.Repeat([]byte("x"), 3<<20)
		for i := range 10 {
			l.apply(ledger.Command{Promote: &port.PromoteRequest{OperationID: fmt.Sprint(i), Expect: uint64(i), Document: document}})
		}
		Expect(l.History(0)).To(HaveLen(2))
		Expect(l.Current().Number).To(BeEquivalentTo(10))
		Expect(len(l.Snapshot())).To(BeNumerically("<", 9<<20))
	})

	// Guards against a call that runs a second time because its claim was removed while
	// a resend can still arrive, and against ended claims that are kept forever.
	It("keeps ended claims for the retention period and running claims without a time limit", func() {
		l := newTestLedger()
		l.claim("k", "a", 1)
		l.claim("running", "r", 1)
		l.tick(time.Hour, time.Minute)
		l.complete("k", "a", port.CallResult{Status: 201, Body: []byte("b")})
		l.tick(time.Minute, time.Minute)
		l.restoreFromSnapshot()
		Expect(l.claim("k", "b", 1).Claim.Result.Status).To(Equal(201))
		l.tick(time.Nanosecond, time.Minute)
		Expect(l.ClaimCount()).To(Equal(1))
		Expect(l.claim("running", "x", 1).Claim.State).To(Equal(port.ClaimRunning))
	})

	// Guards against a claim that is granted although its owner released the attempt
	// before the proposal arrived.
	It("does not grant a claim to an attempt that was released before", func() {
		l := newTestLedger()
		l.complete("k", "a", port.CallResult{Released: true})
		l.restoreFromSnapshot()
		Expect(l.claim("k", "a", 1).Err()).To(Equal(&port.AttemptError{Attempt: "a"}))
		Expect(l.claim("k", "b", 1).Claim.State).To(Equal(port.ClaimGranted))
	})

	// Guards against callers that wait forever for an owner that is gone, and against
	// claims by an incarnation that has ended.
	It("changes the claims of an ended incarnation to the unknown state", func() {
		l := newTestLedger()
		l.claim("k1", "a", 1)
		l.claim("k2", "b", 1)
		l.apply(ledger.Command{Gone: &ledger.OwnerGone{Owner: "o", Incarnation: 1}})
		l.restoreFromSnapshot()
		Expect(l.claim("k3", "c", 1).Err()).To(Equal(&port.StaleOwnerError{Owner: "o", Incarnation: 1}))
		Expect(l.claim("k1", "d", 2).Claim.State).To(Equal(port.ClaimUnknown))
		l.complete("k2", "b", port.CallResult{Status: 200})
		Expect(l.claim("k2", "e", 2).Claim.State).To(Equal(port.ClaimDone))
	})

	// Guards against two holders of a lease at once. The next holder waits for the time
	// to live plus the clock-rate allowance, again in full after a change of leader, and
	// gets a larger fencing number.
	It("grants a lease to another holder only after its full time to live", func() {
		l := newTestLedger()
		first := l.lease("a", 10*time.Second, time.Hour)
		Expect(first.Granted).To(BeTrue())
		Expect(l.lease("b", time.Second, 10*time.Second).Granted).To(BeFalse())
		l.apply(ledger.Command{Open: &ledger.NewTerm{Term: 2}})
		l.restoreFromSnapshot()
		Expect(l.lease("b", time.Second, 10100*time.Millisecond).Granted).To(BeFalse())
		second := l.lease("b", time.Second, time.Millisecond)
		Expect(second.Granted).To(BeTrue())
		Expect(second.FencingNumber).To(BeNumerically(">", first.FencingNumber))
		renew := &ledger.LeaseRequest{Name: "c", Holder: "b", TTL: time.Second, Fencing: second.FencingNumber}
		Expect(l.apply(ledger.Command{Lease: renew}).Lease.FencingNumber).To(Equal(second.FencingNumber))
		third := l.lease("b", time.Second, 0)
		Expect(third.FencingNumber).To(BeNumerically(">", second.FencingNumber))
		// A late copy of the release of the second grant does not end the third grant.
		release := &ledger.LeaseRequest{Name: "c", Holder: "b", Release: true, Fencing: second.FencingNumber}
		l.apply(ledger.Command{Lease: release})
		Expect(l.lease("a", time.Second, 0).Granted).To(BeFalse())
	})

	// Guards against holders that take a lease from each other in turn. A displaced
	// holder can take it back only after its own grant would have expired, also when
	// the state was restored from a snapshot in between.
	It("allows a take-over of a lease but not an immediate take-back", func() {
		l := newTestLedger()
		takeOver := func(holder string, elapsed time.Duration) *port.LeaseGrant {
			return l.apply(ledger.Command{Lease: &ledger.LeaseRequest{
				Name: "c", Holder: holder, TTL: 10 * time.Second, Elapsed: elapsed, TakeOver: true,
			}}).Lease
		}
		first := takeOver("a", time.Hour)
		second := takeOver("b", time.Second)
		Expect(second.Granted).To(BeTrue())
		Expect(second.FencingNumber).To(BeNumerically(">", first.FencingNumber))
		Expect(l.lease("a", 10*time.Second, 0).Granted).To(BeFalse())
		Expect(takeOver("a", 10*time.Second).Granted).To(BeFalse())
		l.restoreFromSnapshot()
		Expect(takeOver("a", 100*time.Millisecond).Granted).To(BeFalse())
		third := takeOver("c", 0)
		Expect(third.Granted).To(BeTrue())
		again := takeOver("a", time.Millisecond)
		Expect(again.Granted).To(BeTrue())
		Expect(again.FencingNumber).To(BeNumerically(">", third.FencingNumber))
		Expect(takeOver("c", 0).Granted).To(BeFalse())
	})

	// Guards against a frozen view that changes when later commands are applied.
	It("freezes a view that later commands do not change", func() {
		l := newTestLedger()
		l.claim("k", "a", 1)
		view := l.Freeze()
		before := view.Encode()
		l.complete("k", "a", port.CallResult{Status: 200})
		l.claim("k2", "a2", 1)
		l.lease("h", time.Second, 0)
		l.tick(time.Hour, time.Minute)
		Expect(view.Encode()).To(Equal(before))
	})
})

// FuzzDecodeCommand guards against invalid commands that panic or change the state.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range []ledger.Command{
		{Promote: &port.PromoteRequest{OperationID: "a", Document: []byte("{}")}},
		{Claim: &port.ClaimRequest{Key: "k", Attempt: "a", Owner: "o"}},
		{Lease: &ledger.LeaseRequest{Name: "n", Holder: "h", TTL: 1}},
	} {
		data, _ := c.Encode()
		f.Add(data)
	}
	f.Add([]byte{0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := ledger.New()
		before := s.Now()
		if out := s.Apply(1, data); out.Invalid != nil && s.Now() != before {
			t.Fatal("an invalid command changed the time of the ledger")
		}
	})
}

// FuzzRestore guards against damaged snapshots that panic or are restored in part.
func FuzzRestore(f *testing.F) {
	s := ledger.New()
	f.Add(s.Snapshot())
	c := ledger.Command{Claim: &port.ClaimRequest{Key: "k", Attempt: "a", Owner: "o"}}
	data, _ := c.Encode()
	s.Apply(1, data)
	f.Add(s.Snapshot())
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := ledger.New()
		if s.Restore(data) != nil {
			if s.Index() != 0 {
				t.Fatal("a refused snapshot changed the state")
			}
			return
		}
		s.Snapshot()
	})
}
