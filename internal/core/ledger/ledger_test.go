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

// machine applies commands at increasing indexes.
type machine struct {
	*ledger.State
	index uint64
}

func newMachine() *machine { return &machine{State: ledger.New()} }

func (m *machine) do(c ledger.Command) ledger.Outcome {
	data, err := c.Encode()
	Expect(err).NotTo(HaveOccurred())
	m.index++
	return m.Apply(m.index, data)
}

func (m *machine) tick(elapsed, retention time.Duration) {
	m.do(ledger.Command{Tick: &ledger.Tick{Elapsed: elapsed, Retention: retention}})
}

func (m *machine) claim(key, attempt string, incarnation uint64) ledger.Outcome {
	return m.do(ledger.Command{Claim: &port.ClaimRequest{
		Key: key, Attempt: attempt, Owner: "o", Incarnation: incarnation, BodyHash: "h",
	}})
}

func (m *machine) complete(key, attempt string, result port.CallResult) ledger.Outcome {
	return m.do(ledger.Command{Complete: &port.CompleteRequest{Key: key, Attempt: attempt, Result: result}})
}

func (m *machine) lease(holder string, ttl, elapsed time.Duration) *port.LeaseGrant {
	return m.do(ledger.Command{Lease: &ledger.LeaseRequest{
		Name: "c", Holder: holder, TTL: ttl, Elapsed: elapsed,
	}}).Lease
}

// reload passes the state through a snapshot.
func (m *machine) reload() {
	data := m.Snapshot()
	m.State = ledger.New()
	Expect(m.Restore(data)).To(Succeed())
	Expect(bytes.Equal(m.Snapshot(), data)).To(BeTrue())
}

var _ = Describe("State", func() {
	// Guards against a resend that promotes twice after a restart from a snapshot.
	It("answers a resent promotion with the first outcome", func() {
		m := newMachine()
		req := &port.PromoteRequest{OperationID: "a", Document: []byte("one"), Operator: "x"}
		first := m.do(ledger.Command{Promote: req})
		late := &port.PromoteRequest{OperationID: "b", Document: []byte("two")}
		lost := m.do(ledger.Command{Promote: late})
		m.do(ledger.Command{Promote: &port.PromoteRequest{OperationID: "c", Expect: 1, Document: []byte("three")}})
		m.reload()
		Expect(m.do(ledger.Command{Promote: req})).To(Equal(first))
		Expect(m.do(ledger.Command{Promote: late})).To(Equal(lost))
		Expect(lost.Err()).To(Equal(&port.ConflictError{Current: 1, Operator: "x"}))
		other := &port.PromoteRequest{OperationID: "a", Document: []byte("other")}
		Expect(m.do(ledger.Command{Promote: other}).Err()).To(Equal(&port.OperationReusedError{OperationID: "a"}))
		Expect(m.Current().Number).To(BeEquivalentTo(2))
	})

	// Guards against a history that grows without bound or loses its newest generations.
	It("bounds the history", func() {
		m := newMachine()
		for i := range 100 {
			m.do(ledger.Command{Promote: &port.PromoteRequest{OperationID: fmt.Sprint(i), Expect: uint64(i)}})
		}
		history := m.History(0)
		Expect(history).To(HaveLen(64))
		Expect(history[0].Number).To(BeEquivalentTo(100))
		Expect(m.History(2)[1].Number).To(BeEquivalentTo(99))
	})

	// Guards against a second run while a resend can arrive, and against claims that are kept for ever.
	It("keeps ended claims for the retention and running ones without limit", func() {
		m := newMachine()
		m.claim("k", "a", 1)
		m.claim("running", "r", 1)
		m.tick(time.Hour, time.Minute)
		m.complete("k", "a", port.CallResult{Status: 201, Body: []byte("b")})
		m.tick(time.Minute, time.Minute)
		m.reload()
		Expect(m.claim("k", "b", 1).Claim.Result.Status).To(Equal(201))
		m.tick(time.Nanosecond, time.Minute)
		Expect(m.ClaimCount()).To(Equal(1))
		Expect(m.claim("running", "x", 1).Claim.State).To(Equal(port.ClaimRunning))
	})

	// Guards against a call that runs although its owner gave the claim up before it was granted.
	It("does not grant an attempt that was released first", func() {
		m := newMachine()
		m.complete("k", "a", port.CallResult{Released: true})
		m.reload()
		Expect(m.claim("k", "a", 1).Err()).To(Equal(&port.AttemptError{Attempt: "a"}))
		Expect(m.claim("k", "b", 1).Claim.State).To(Equal(port.ClaimGranted))
	})

	// Guards against callers that wait for a dead owner, and against claims of dead incarnations.
	It("makes the claims of a dead incarnation unknown", func() {
		m := newMachine()
		m.claim("k1", "a", 1)
		m.claim("k2", "b", 1)
		m.do(ledger.Command{Gone: &ledger.OwnerGone{Owner: "o", Incarnation: 1}})
		m.reload()
		Expect(m.claim("k3", "c", 1).Err()).To(Equal(&port.StaleOwnerError{Owner: "o", Incarnation: 1}))
		Expect(m.claim("k1", "d", 2).Claim.State).To(Equal(port.ClaimUnknown))
		m.complete("k2", "b", port.CallResult{Status: 200})
		Expect(m.claim("k2", "e", 2).Claim.State).To(Equal(port.ClaimDone))
	})

	// Guards against two holders at once: the next holder waits for the time to live, the
	// clock-rate bound and a restarted timer, and gets a larger fencing number.
	It("gives a lease on only after its full time", func() {
		m := newMachine()
		first := m.lease("a", 10*time.Second, time.Hour)
		Expect(first.Granted).To(BeTrue())
		Expect(m.lease("b", time.Second, 10*time.Second).Granted).To(BeFalse())
		m.do(ledger.Command{Open: &ledger.OpenTerm{Term: 2}})
		m.reload()
		Expect(m.lease("b", time.Second, 10100*time.Millisecond).Granted).To(BeFalse())
		second := m.lease("b", time.Second, time.Millisecond)
		Expect(second.Granted).To(BeTrue())
		Expect(second.FencingNumber).To(BeNumerically(">", first.FencingNumber))
		renew := &ledger.LeaseRequest{Name: "c", Holder: "b", TTL: time.Second, Fencing: second.FencingNumber}
		Expect(m.do(ledger.Command{Lease: renew}).Lease.FencingNumber).To(Equal(second.FencingNumber))
		third := m.lease("b", time.Second, 0)
		Expect(third.FencingNumber).To(BeNumerically(">", second.FencingNumber))
		// A late copy of the release of the second grant leaves the third alone.
		release := &ledger.LeaseRequest{Name: "c", Holder: "b", Release: true, Fencing: second.FencingNumber}
		m.do(ledger.Command{Lease: release})
		Expect(m.lease("a", time.Second, 0).Granted).To(BeFalse())
	})

	// Guards against holders that alternate: one whose lease was taken over gets
	// it back only after its own time, also when the state was reloaded meanwhile.
	It("lets a lease be taken over, but not taken back at once", func() {
		m := newMachine()
		takeOver := func(holder string, elapsed time.Duration) *port.LeaseGrant {
			return m.do(ledger.Command{Lease: &ledger.LeaseRequest{
				Name: "c", Holder: holder, TTL: 10 * time.Second, Elapsed: elapsed, TakeOver: true,
			}}).Lease
		}
		first := takeOver("a", time.Hour)
		second := takeOver("b", time.Second)
		Expect(second.Granted).To(BeTrue())
		Expect(second.FencingNumber).To(BeNumerically(">", first.FencingNumber))
		Expect(m.lease("a", 10*time.Second, 0).Granted).To(BeFalse())
		Expect(takeOver("a", 10*time.Second).Granted).To(BeFalse())
		m.reload()
		Expect(takeOver("a", 100*time.Millisecond).Granted).To(BeFalse())
		third := takeOver("c", 0)
		Expect(third.Granted).To(BeTrue())
		again := takeOver("a", time.Millisecond)
		Expect(again.Granted).To(BeTrue())
		Expect(again.FencingNumber).To(BeNumerically(">", third.FencingNumber))
		Expect(takeOver("c", 0).Granted).To(BeFalse())
	})

	// Guards against a snapshot that changes after it was taken.
	It("freezes a view that later commands do not touch", func() {
		m := newMachine()
		m.claim("k", "a", 1)
		frozen := m.Freeze()
		before := frozen.Encode()
		m.complete("k", "a", port.CallResult{Status: 200})
		m.claim("k2", "a2", 1)
		m.lease("h", time.Second, 0)
		m.tick(time.Hour, time.Minute)
		Expect(frozen.Encode()).To(Equal(before))
	})
})

// FuzzDecodeCommand guards against a command that stops a replica or changes state although it does not decode.
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
			t.Fatal("an invalid command changed the time")
		}
	})
}

// FuzzRestore guards against a damaged snapshot that panics or loads in part.
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
