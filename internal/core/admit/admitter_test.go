package admit

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func reasonOf(err error) Reason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

var _ = Describe("Admitter", func() {
	var a *Admitter
	BeforeEach(func() {
		a = New(testDocument())
		a.SetCapacity(1, 1, epoch)
	})
	offer := func(req Request, at time.Duration) (*Ticket, bool, error) {
		req.Workspace = "w0"
		if req.Tokens == 0 {
			req.Tokens = 100
		}
		return a.Offer(req, epoch.Add(at))
	}

	// Guards against queues that grow without limit, and against one caller that fills the queue of its workspace.
	It("bounds the queues of a caller and of a workspace", func() {
		var err error
		for range 301 {
			_, _, err = offer(Request{Caller: "a"}, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err = offer(Request{Caller: "a"}, 0)
		Expect(reasonOf(err)).To(Equal(CallerQueueFull))
		for range 100 {
			_, _, err = offer(Request{Caller: "b"}, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err = offer(Request{Caller: "c"}, 0)
		Expect(reasonOf(err)).To(Equal(WorkspaceQueueFull))
		_, _, err = offer(Request{Caller: "a", Rank: 1}, 0)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = offer(Request{Caller: "a", Resumed: true}, 0)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = a.Offer(Request{Rank: 9}, epoch)
		Expect(reasonOf(err)).To(Equal(UnknownRank))
	})

	// Guards against requests that are queued although they can't start before their deadline,
	// and against refusals while the estimate says that a request can start in time.
	It("refuses requests at once that cannot start before their deadline", func() {
		now := time.Duration(0)
		running, _, err := offer(Request{Caller: "a", Tokens: 1000}, now)
		Expect(err).NotTo(HaveOccurred())
		var next *Ticket
		for range 40 {
			t, _, err := offer(Request{Caller: "a", Tokens: 1000, Deadline: epoch.Add(time.Hour)}, now)
			Expect(err).NotTo(HaveOccurred())
			t.req.Ready = func(error) { next = t }
		}
		for range 20 { // one request of 1000 tokens each second
			now += time.Second
			a.Done(running, 1000, epoch.Add(now))
			running = next
		}
		_, _, err = offer(Request{Caller: "a", Tokens: 1000, Deadline: epoch.Add(now + 5*time.Second)}, now)
		var refused *RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(DeadlineUnreachable))
		Expect(refused.Wait).To(BeNumerically("~", 20*time.Second, 3*time.Second))
		Expect(refused.RetryAfter).To(BeNumerically("~", 15*time.Second, 3*time.Second))
		_, _, err = offer(Request{Caller: "b", Tokens: 1000, Deadline: epoch.Add(now + 5*time.Second)}, now)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against expired tickets that start, and against Ready calls for cancelled tickets.
	It("refuses queued tickets past their deadline and never calls cancelled ones", func() {
		running, _, _ := offer(Request{Caller: "a"}, 0)
		var got []error
		note := func(err error) { got = append(got, err) }
		_, _, _ = offer(Request{Caller: "a", Ready: note, Deadline: epoch.Add(time.Second)}, 0)
		cancelled, _, _ := offer(Request{Caller: "a", Ready: func(error) { Fail("cancelled ticket was called") }}, 0)
		Expect(a.Cancel(cancelled, epoch)).To(BeTrue())
		Expect(a.Cancel(cancelled, epoch)).To(BeFalse())
		Expect(a.Cancel(running, epoch)).To(BeFalse())
		a.Tick(epoch.Add(2 * time.Second))
		a.Done(running, 100, epoch.Add(2*time.Second))
		a.Done(running, 100, epoch.Add(2*time.Second))
		Expect(got).To(HaveLen(1))
		Expect(reasonOf(got[0])).To(Equal(DeadlinePassed))
		current, waiting := a.Load()
		Expect(current + waiting).To(BeZero())
	})

	// Guards against requests of a reclaimed endpoint that are queued behind new requests.
	It("starts resumed requests before the other requests of their rank", func() {
		running, _, _ := offer(Request{Caller: "a", Rank: 1}, 0)
		var order []string
		for _, name := range []string{"first", "second", "resumed"} {
			_, _, err := offer(Request{
				Caller: "a", Rank: 1, Resumed: name == "resumed",
				Ready: func(error) { order = append(order, name) },
			}, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		a.Done(running, 100, epoch)
		Expect(order).To(Equal([]string{"resumed"}))
	})

	// Guards against wrong shares after a peer has restarted or stopped reporting.
	It("drops peers that stop reporting and detects counters that were reset", func() {
		peer := New(testDocument())
		peer.SetCapacity(1, 1, epoch)
		first, _, err := peer.Offer(Request{Workspace: "w0", Caller: "a", Tokens: 500}, epoch)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = peer.Offer(Request{Workspace: "w0", Caller: "a", Tokens: 500}, epoch)
		Expect(err).NotTo(HaveOccurred())
		peer.Done(first, 0, epoch)
		data, err := peer.Usage(epoch)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("usage of one caller: %d bytes\n", len(data))
		Expect(a.MergeUsage("p", data, epoch)).To(Succeed())
		Expect(a.ranks[0].peerRunning).To(Equal(1))
		p := a.peers["p"]
		Expect(p.usedSinceLastReport([]flowReport{{0, "w0", "a", 800}})).To(HaveLen(1))
		Expect(p.usedSinceLastReport([]flowReport{{0, "w0", "a", 100}})).To(BeEmpty())
		Expect(p.usedSinceLastReport([]flowReport{{0, "w0", "a", 300}})).To(HaveLen(1))
		a.Tick(epoch.Add(2 * peerReportLifetime))
		Expect(a.ranks[0].peerRunning).To(BeZero())
		Expect(a.MergeUsage("p", []byte{0xc1}, epoch)).NotTo(Succeed())
	})

	// Guards against memory use that grows with each new caller.
	It("drops flows after a long idle time", func() {
		for i := range 100 {
			t, started, err := offer(Request{Caller: string(rune('A' + i))}, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(started).To(BeTrue())
			a.Done(t, 100, epoch)
		}
		a.Tick(epoch.Add(time.Hour))
		Expect(a.ranks[0].flows).To(BeEmpty())
	})
})

// Guards against tickets that are lost, started twice or started beyond the
// capacity, and against free slots while tickets are queued. A single FIFO queue
// with the same events must run and queue the same numbers after each event.
func TestAdmitterAgainstFIFO(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(testDocument())
		capacity := rapid.IntRange(0, 5).Draw(t, "capacity")
		a.SetCapacity(capacity, capacity, epoch)
		started := map[int]int{}
		tickets := map[int]*Ticket{}
		var active, fifoWaiting, fifoRunning int
		startFIFO := func() {
			for fifoWaiting > 0 && fifoRunning < capacity {
				fifoWaiting--
				fifoRunning++
			}
		}
		var live []int
		now := epoch
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"offer", "offer", "offer", "done", "done", "cancel", "capacity", "tick"}).Draw(t, "op") {
			case "offer":
				ticket, ok, err := a.Offer(Request{
					Workspace: rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(t, "ws"),
					Caller:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
					Rank:      rapid.IntRange(0, 2).Draw(t, "rank"), Tokens: rapid.IntRange(1, 3000).Draw(t, "tokens"),
					Resumed: rapid.Bool().Draw(t, "resumed"), Deadline: epoch.Add(1e6 * time.Hour),
					Ready: func(err error) {
						if err != nil {
							t.Fatalf("ticket %d refused: %v", i, err)
						}
						started[i]++
					},
				}, now)
				if err != nil {
					t.Fatalf("offer refused: %v", err)
				}
				tickets[i] = ticket
				live = append(live, i)
				if ok {
					started[i]++
				}
				fifoWaiting++
			case "done", "cancel":
				if len(live) == 0 {
					continue
				}
				at := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				id := live[at]
				if started[id] == 0 {
					if !a.Cancel(tickets[id], now) {
						t.Fatalf("queued ticket %d not cancelled", id)
					}
					fifoWaiting--
				} else {
					a.Done(tickets[id], rapid.IntRange(0, 3000).Draw(t, "real"), now)
					fifoRunning--
				}
				live = append(live[:at], live[at+1:]...)
			case "capacity":
				capacity = rapid.IntRange(0, 5).Draw(t, "capacity")
				a.SetCapacity(capacity, capacity, now)
			case "tick":
				a.Tick(now)
			}
			startFIFO()
			running, waiting := a.Load()
			active = 0
			for _, id := range live {
				active += started[id]
				if started[id] > 1 {
					t.Fatalf("ticket %d started %d times", id, started[id])
				}
			}
			if running != fifoRunning || waiting != fifoWaiting || active != running {
				t.Fatalf("running %d, waiting %d, active %d; FIFO runs %d, waits %d", running, waiting, active, fifoRunning, fifoWaiting)
			}
		}
	})
}

// Guards against tickets that stay queued while a slot is free, and against wrong
// counts, when requests start and end without the lock.
func TestAdmitterConcurrently(t *testing.T) {
	a := New(testDocument())
	a.SetCapacity(3, 3, epoch)
	var group sync.WaitGroup
	var active, most atomic.Int64
	for g := range 8 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := range 2000 {
				ready := make(chan error, 1)
				ticket, started, err := a.Offer(Request{
					Workspace: "w0", Caller: "a", Rank: (g + i) % 3, Tokens: 10,
					Ready: func(err error) { ready <- err },
				}, epoch)
				if err != nil {
					t.Errorf("offer refused: %v", err)
					return
				}
				if !started && <-ready != nil {
					t.Error("ticket refused")
				}
				if n := active.Add(1); n > most.Load() {
					most.Store(n)
				}
				active.Add(-1)
				a.Done(ticket, 12, epoch)
			}
		}()
	}
	group.Wait()
	if current, waiting := a.Load(); current != 0 || waiting != 0 || most.Load() > 3 {
		t.Fatalf("running %d, waiting %d, most at once %d", current, waiting, most.Load())
	}
}
