package route

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/api/endpoint"
)

var _ = Describe("Router", func() {
	var r *Router
	BeforeEach(func() { r = testRouter() })
	route := func(req *Request, list []*Candidate) (Decision, error) {
		return r.Route(req, r.Snapshot(list), epoch, seeded(1))
	}

	// Guards against sending all requests to an endpoint that was idle at the time
	// of its last load report.
	It("adds requests sent after a load report to its queue, but not requests it already includes", func() {
		list := testCandidates(2, 1)
		list[0].Class, list[0].Slots = list[1].Class, list[1].Slots
		list[0].Load, list[1].Load = endpoint.Load{Running: 1}, endpoint.Load{Running: 1}
		snapshot := r.Snapshot(list)
		sent := map[string]int{}
		for i := range 40 {
			d, err := r.Route(testRequest(), snapshot, epoch.Add(time.Duration(i)*time.Millisecond), seeded(uint64(i)))
			Expect(err).NotTo(HaveOccurred())
			d.Start(epoch.Add(time.Duration(i+1) * time.Millisecond))
			sent[d.Endpoint.ID]++
		}
		Expect(sent[list[0].ID]).To(BeNumerically("~", 20, 6))
		later := *list[0]
		later.LoadAt, later.Load = epoch.Add(time.Second), endpoint.Load{Running: 33}
		entry := &r.Snapshot([]*Candidate{&later}).entries[0]
		var view View
		entry.view(&view, &Input{Request: testRequest(), domainNumber: -1})
		Expect(view.Queue).To(Equal(33))
	})

	// Guards against leaving the failure domain for a gain below the penalty.
	It("leaves the failure domain only if the gain exceeds the penalty", func() {
		own, other := testCandidate(1, 2), testCandidate(2, 2)
		own.FailureDomain, other.FailureDomain = "d0", "d1"
		own.Load, other.Load = endpoint.Load{}, endpoint.Load{}
		req := testRequest()
		req.FailureDomain = "d0"
		for seed := range uint64(50) {
			d, err := r.Route(req, r.Snapshot([]*Candidate{own, other}), epoch, seeded(seed))
			Expect(err).NotTo(HaveOccurred())
			Expect(d.Endpoint.ID).To(Equal(own.ID))
		}
		own.Load = endpoint.Load{Running: 32, Waiting: 30, WaitingTokens: 40000}
		d, err := route(req, []*Candidate{own, other})
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Endpoint.ID).To(Equal(other.ID))
	})

	// Guards against requests to endpoints that have an open circuit breaker, are
	// reserved for a suspect request, have lost their lease or must be avoided.
	It("drops endpoints that cannot serve, with a typed error and optional reasons", func() {
		list := testCandidates(5, 1)
		list[3].Expires = epoch
		snapshot := r.Snapshot(list)
		r.SetBlocked(list[0].ID, true)
		Expect(r.Isolate(list[1].ID)).To(BeTrue())
		Expect(r.Isolate(list[1].ID)).To(BeFalse())
		req := testRequest()
		req.Avoid, req.Explain = []string{list[2].ID}, true
		d, err := r.Route(req, snapshot, epoch, seeded(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Endpoint.ID).To(Equal(list[4].ID))
		steps := map[string]string{}
		for _, reason := range d.Reasons {
			steps[reason.Step] = reason.Endpoint
		}
		Expect(steps).To(HaveKeyWithValue("breaker", list[0].ID))
		Expect(steps).To(HaveKeyWithValue("isolation", list[1].ID))
		Expect(steps).To(HaveKeyWithValue("avoid", list[2].ID))
		Expect(steps).To(HaveKeyWithValue("lease", list[3].ID))
		req.Avoid = append(req.Avoid, list[4].ID)
		_, err = r.Route(req, snapshot, epoch, seeded(1))
		var none *NoEndpointError
		Expect(errors.As(err, &none)).To(BeTrue())
		Expect(none.Eligible).To(Equal(5))
	})

	// Guards against a suspect request that crashes an endpoint with other requests.
	It("gives a suspect request an idle endpoint, or the one with the least work to wait for", func() {
		list := testCandidates(3, 1)
		list[0].Load, list[1].Load, list[2].Load = endpoint.Load{Running: 3}, endpoint.Load{}, endpoint.Load{Running: 1}
		req := testRequest()
		req.Alone = true
		d, err := route(req, list)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Endpoint.ID).To(Equal(list[1].ID))
		Expect(d.WaitIdle).To(BeFalse())
		list[1].Load.Running = 5
		d, err = route(req, list)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Endpoint.ID).To(Equal(list[2].ID))
		Expect(d.WaitIdle).To(BeTrue())
	})

	// Guards against load of an unreachable peer that is counted forever.
	It("counts the load of peers until their lease ends and adopts their speeds", func() {
		peer := testRouter()
		list := testCandidates(1, 1)
		list[0].Load = endpoint.Load{}
		d, err := peer.Route(testRequest(), peer.Snapshot(list), epoch, seeded(1))
		Expect(err).NotTo(HaveOccurred())
		flight := d.Start(epoch)
		flight.Tokens(1, epoch.Add(time.Second))
		Expect(peer.Isolate(list[0].ID)).To(BeTrue())
		data, err := peer.Summary(epoch)
		Expect(err).NotTo(HaveOccurred())
		snapshot := r.Snapshot(list)
		Expect(r.MergeSummary("p", data, epoch)).To(Succeed())
		st := snapshot.entries[0].state
		Expect(st.peerInFlight.Load()).To(Equal(int64(1)))
		Expect(st.learner.speed().PrefillS).To(BeNumerically("~", 1.0/600, 1e-5))
		_, err = r.Route(testRequest(), snapshot, epoch, seeded(1))
		Expect(err).To(HaveOccurred())
		r.ExpirePeers(epoch.Add(peerLease * 2))
		_, err = r.Route(testRequest(), snapshot, epoch, seeded(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(st.peerInFlight.Load()).To(BeZero())
		Expect(r.MergeSummary("q", []byte{0xc1}, epoch)).NotTo(Succeed())
	})

	// Guards against summaries that exceed the network budget.
	It("keeps summaries small", func() {
		list := testCandidates(192, 1)
		snapshot := r.Snapshot(list)
		for i := range 30 { // One of 370 entries at 3,700 requests/s in total, 3 s each, has 30 in flight.
			req := testRequest()
			req.Avoid = append(req.Avoid, list[0].ID)
			d, err := r.Route(req, snapshot, epoch, seeded(uint64(i)))
			Expect(err).NotTo(HaveOccurred())
			flight := d.Start(epoch)
			flight.Tokens(1, epoch.Add(100*time.Millisecond))
		}
		first, err := r.Summary(epoch)
		Expect(err).NotTo(HaveOccurred())
		next, err := r.Summary(epoch.Add(time.Second))
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("summary of 30 in flight: %d bytes with new speeds, %d after\n", len(first), len(next))
		Expect(len(next)).To(BeNumerically("<=", 300))
	})

	// Guards against an estimate that ignores the batch size or keeps the prior of
	// the class.
	It("learns the time between tokens as a function of the batch size", func() {
		var l learner
		l.reset(classSpeed(4000, 700, 12), 12)
		for i := range 60 {
			batch := 1 + i%10
			l.observeDecode(0.04+0.002*float64(batch), batch)
		}
		Expect(l.speed().TokenInterval(2)).To(BeNumerically("~", 0.044, 0.002))
		Expect(l.speed().TokenInterval(12)).To(BeNumerically("~", 0.064, 0.003))
	})

	// Guards against allocations on the request path if no reasons are requested.
	It("allocates nothing per decision", func() {
		snapshot, random := r.Snapshot(testCandidates(192, 1)), seeded(1)
		req, sc := testRequest(), r.scratch.New().(*scratch)
		Expect(testing.AllocsPerRun(200, func() { _, _ = r.route(sc, req, snapshot, epoch, random) })).To(BeZero())
	})

	// Guards against a sample whose best endpoint is much worse than the best of a
	// large fleet.
	It("finds a score close to the best by scoring a sample of 2,300 endpoints", func() {
		list := testCandidates(2300, 12)
		snapshot := r.Snapshot(list)
		req := testRequest()
		full, sampled := 0.0, 0.0
		for seed := range uint64(40) {
			sc := r.scratch.New().(*scratch)
			sc.input = Input{Request: req, Rank: snapshot.config.rank(0), Now: epoch, nowNano: epoch.UnixNano(), domainNumber: -1, PriceWeight: 0.15}
			p := snapshot.pool(poolKey{model: "m", version: "1"})
			sc.scored = sc.scored[:0]
			r.scanRange(sc, p, 0, len(p.entries))
			full += sc.scored[lowestScore(sc.scored)].Score
			r.scan(sc, p, seeded(seed))
			sampled += sc.scored[lowestScore(sc.scored)].Score
		}
		GinkgoWriter.Printf("sampled best score %.4f of the full best\n", sampled/full)
		Expect(sampled / full).To(BeNumerically("<", 1.05))
	})
})

// Guards against choosing an endpoint that cannot serve, and against an error
// although round robin over the eligible endpoints would find one.
func TestRouteAgainstRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := testCandidates(rapid.IntRange(0, 30).Draw(t, "n"), 3)
		req := testRequest()
		for _, c := range list {
			c.State = rapid.SampledFrom([]endpoint.State{endpoint.StateReady, endpoint.StateLeaving, endpoint.StateLoading}).Draw(t, "state")
			c.Role = rapid.SampledFrom([]endpoint.Role{"", endpoint.RoleBoth, endpoint.RolePrefill}).Draw(t, "role")
			c.Models[0].Version = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
			if rapid.Bool().Draw(t, "expired") {
				c.Expires = epoch
			}
			if rapid.IntRange(0, 5).Draw(t, "avoid") == 0 {
				req.Avoid = append(req.Avoid, c.ID)
			}
		}
		fits := func(c *Candidate) bool {
			return c.State == endpoint.StateReady && c.Role != endpoint.RolePrefill && c.Models[0].Version == "1" &&
				c.Expires.IsZero() && !containsString(req.Avoid, c.ID)
		}
		eligibleCount := 0
		for _, c := range list {
			if fits(c) {
				eligibleCount++
			}
		}
		r := testRouter()
		d, err := r.Route(req, r.Snapshot(list), epoch, seeded(rapid.Uint64().Draw(t, "seed")))
		if (err == nil) != (eligibleCount > 0) {
			t.Fatalf("%d endpoints are eligible, error %v", eligibleCount, err)
		}
		if err == nil && !fits(d.Endpoint) {
			t.Fatalf("chose an ineligible endpoint: %+v", d.Endpoint)
		}
	})
}

// Guards against data races between decisions, flights, cache events, summaries
// of peers and new snapshots, if run with -race. Also checks that no attempt is
// counted as in flight at the end.
func TestRouterConcurrently(t *testing.T) {
	r, list := testRouter(), testCandidates(20, 2)
	var snapshot atomic.Pointer[Snapshot]
	snapshot.Store(r.Snapshot(list))
	var group sync.WaitGroup
	for g := range 4 {
		group.Go(func() {
			for i := range 500 {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				req := testRequest()
				req.PrefixHashes = []uint64{1, 2, 3}
				d, err := r.Route(req, snapshot.Load(), now, SharedRandom)
				if err != nil {
					t.Error(err)
					return
				}
				flight := d.Start(now)
				flight.Tokens(1, now.Add(time.Millisecond))
				flight.Tokens(decodeSample, now.Add(2*time.Millisecond))
				flight.Done(now.Add(3 * time.Millisecond))
				if i%20 == g {
					r.CacheEvents(addEvents(list[i%20].ID, uint64(i), 1, 2, 3))
					snapshot.Store(r.Snapshot(list))
					if data, err := r.Summary(now); err != nil || r.MergeSummary("p", data, now) != nil {
						t.Error("Summary or MergeSummary failed")
					}
					r.SetBlocked(list[0].ID, i%40 == g)
				}
			}
		})
	}
	group.Wait()
	for _, c := range list {
		if n := r.InFlight(c.ID); n != 0 {
			t.Fatalf("%s has %d in flight", c.ID, n)
		}
	}
}
