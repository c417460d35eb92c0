package pick

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

var start = time.Unix(1000, 0)

func newBoard(endpoints ...registry.Endpoint) *Board {
	b := NewBoard(func() float64 { return 0 })
	b.Update(endpoints)
	return b
}

func newEngine(id, domain string) registry.Endpoint {
	return registry.Endpoint{ID: id, Service: "pool", Address: id + ":1", Domain: domain, Slots: 8, State: registry.Ready, Born: 1}
}

func newRequest(now time.Time) *Request { return &Request{Service: "pool", Domain: "a", Now: now} }

func choose(g *WithT, b *Board, r *Request) *Choice {
	c, err := b.Choose(r)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// Guards against an attempt that is given up for an endpoint that rejects the request.
func TestReplacementNeedsAFreeSlot(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("full", "a"))
	choose(g, b, newRequest(start)).RecordAnswer(&port.EndpointLoad{Running: 8, Slots: 8}, start)
	r := newRequest(start.Add(time.Millisecond))
	r.WithRoom = true
	_, err := b.Choose(r)
	g.Expect(err).To(MatchError(ContainSubstring("room")))
	r.Now = start.Add(2 * loadReportTTL)
	choose(g, b, r)
}

// Guards against sending a request to an endpoint that drains, was tried before,
// failed recently or has no free connection.
func TestFilters(t *testing.T) {
	g := NewWithT(t)
	leaving := newEngine("leaving", "a")
	leaving.State = registry.Draining
	b := newBoard(leaving, newEngine("one", "a"))
	c := choose(g, b, newRequest(start))
	g.Expect(c.Endpoint.ID).To(Equal("one"))
	r := newRequest(start)
	r.Avoid = []string{"one"}
	var noEndpoint *NoEndpointError
	_, err := b.Choose(r)
	g.Expect(err).To(BeAssignableToTypeOf(noEndpoint))
	c.RecordFailure(start)
	c.RecordFailure(start)
	_, err = b.Choose(newRequest(start.Add(minPause / 2)))
	g.Expect(err).To(MatchError(ContainSubstring("paused")))
	choose(g, b, newRequest(start.Add(2*minPause)))
	r = newRequest(start.Add(time.Second))
	r.MaxConnections = 2
	_, err = b.Choose(r)
	g.Expect(err).To(MatchError(ContainSubstring("connections")))
}

// Guards against a pause that never grows or never ends.
func TestPauseDoublesUpToMaximum(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	now := start
	for range 10 {
		c := choose(g, b, newRequest(now))
		c.RecordFailure(now)
		c.End()
		now = now.Add(maxPause)
	}
	c := choose(g, b, newRequest(now))
	c.RecordFailure(now)
	_, err := b.Choose(newRequest(now.Add(maxPause - time.Millisecond)))
	g.Expect(err).To(HaveOccurred())
	choose(g, b, newRequest(now.Add(maxPause))).RecordSuccess(now)
	c.RecordFailure(now)
	choose(g, b, newRequest(now.Add(minPause)))
}

// Guards against endpoints that are paused because of requests that fail at every
// endpoint. When 6 % of the requests of a plain service failed that way, half of
// its endpoints were paused at any time.
func TestSingleErrorsDoNotPause(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"), newEngine("two", "a"))
	for range maxConsecutiveErrors - 1 {
		c := choose(g, b, newRequest(start))
		c.RecordError(start)
		c.End()
	}
	c := choose(g, b, newRequest(start))
	c.RecordSuccess(start)
	c.End()
	failing := b.endpoints["one"]
	for range maxConsecutiveErrors {
		(&Choice{board: b, stats: failing}).RecordError(start)
	}
	g.Expect(choose(g, b, newRequest(start)).Endpoint.ID).To(Equal("two"))
}

// Guards against a refusal if the only endpoint failed just once.
func TestOnlyEndpointIsRetriedAfterOneFailure(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	c := choose(g, b, newRequest(start))
	c.RecordFailure(start)
	choose(g, b, newRequest(start))
	c.RecordFailure(start)
	_, err := b.Choose(newRequest(start))
	g.Expect(err).To(HaveOccurred())
}

// Guards against sending requests to endpoints behind a network partition. Their
// connections stay open and silent, and requests that cannot be repeated wait there
// until their deadline.
func TestSilentEndpointIsAvoided(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("near", "a"), newEngine("far", "b"))
	choose(g, b, newRequest(start))
	now := start.Add(800 * time.Millisecond)
	g.Expect(choose(g, b, newRequest(now)).Endpoint.ID).To(Equal("far"))
}

// Guards against counting an endpoint as silent while bytes of another answer
// arrive from it.
func TestEndpointThatSendsBytesIsNotSilent(t *testing.T) {
	g := NewWithT(t)
	near, far := newEngine("near", "a"), newEngine("far", "b")
	// One of 64 slots in use costs less than an endpoint in another failure domain.
	near.Slots, far.Slots = 64, 64
	b := newBoard(near, far)
	c := choose(g, b, newRequest(start))
	now := start.Add(800 * time.Millisecond)
	c.RecordProgress(now)
	g.Expect(choose(g, b, newRequest(now)).Endpoint.ID).To(Equal("near"))
}

// Guards against sending all requests to one endpoint while others are idle, and
// against in-flight counts that do not return to 0.
func TestLoadSpreads(t *testing.T) {
	g := NewWithT(t)
	var list []registry.Endpoint
	for i := range 4 {
		list = append(list, newEngine(fmt.Sprint(i), "a"))
	}
	b := newBoard(list...)
	counts := map[string]int{}
	var choices []*Choice
	for range 32 {
		c := choose(g, b, newRequest(start))
		counts[c.Endpoint.ID]++
		choices = append(choices, c)
	}
	for id, n := range counts {
		g.Expect(n).To(BeNumerically("<=", 10), id)
	}
	for _, c := range choices {
		c.End()
	}
	g.Expect(b.Load()).To(Equal(map[string]int{"pool": 0}))
}

// Guards against ignoring the queue that an endpoint reports.
func TestReportedLoadCounts(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("near", "a"), newEngine("far", "b"))
	c := choose(g, b, newRequest(start))
	c.RecordAnswer(&port.EndpointLoad{Running: 8, Waiting: 5, Slots: 8}, start)
	c.End()
	g.Expect(choose(g, b, newRequest(start)).Endpoint.ID).To(Equal("far"))
}

// Guards against processing a prompt again although an endpoint holds it in its KV
// cache.
func TestResidentPrefixIsPreferred(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"), newEngine("two", "a"))
	r := newRequest(start)
	r.PromptTokens = 12_000
	r.Prefix = []port.PromptPart{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 7000}}
	first := choose(g, b, r)
	first.RecordAnswer(nil, start)
	first.End()
	again := choose(g, b, r)
	g.Expect(again.Endpoint.ID).To(Equal(first.Endpoint.ID))
	g.Expect(again.Cached).To(Equal(12_000))
}

// Guards against applying the statistics of an endpoint to the next one with the
// same ID and address.
func TestNewIncarnationResetsStats(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	choose(g, b, newRequest(start)).RecordFailure(start)
	next := newEngine("one", "a")
	next.Born = 2
	g.Expect(b.Update([]registry.Endpoint{next})).To(BeEmpty())
	choose(g, b, newRequest(start))
	g.Expect(b.Update(nil)).To(ConsistOf("one:1"))
}

// Guards against entries that send a long shared prompt to different endpoints, and
// against all shared prompts at one endpoint.
func TestEntriesPreferSameEndpointForSharedPrompt(t *testing.T) {
	g := NewWithT(t)
	var endpoints []registry.Endpoint
	for i := range 40 {
		endpoints = append(endpoints, registry.Endpoint{
			ID: fmt.Sprint("i-", i), Service: "llm", Address: fmt.Sprint("10.0.0.", i, ":1"), Domain: fmt.Sprint(i % 4), Slots: 64, State: registry.Ready, Born: 1,
		})
	}
	chosenCounts := map[string]int{}
	for topic := range 400 {
		prefix := []port.PromptPart{{ID: 1, Tokens: 512}, {ID: uint64(1000 + topic), Tokens: 4870}, {ID: uint64(1e6 + topic), Tokens: 6610}}
		chosen := map[string]bool{}
		for entry := range 8 {
			b := NewBoard(rand.New(rand.NewPCG(uint64(entry), uint64(topic))).Float64)
			b.Update(endpoints)
			choice, err := b.Choose(&Request{Service: "llm", Domain: fmt.Sprint(entry % 4), Prefix: prefix, PromptTokens: 12_000, Now: time.Unix(1000, 0)})
			g.Expect(err).NotTo(HaveOccurred())
			chosen[choice.Endpoint.ID] = true
		}
		g.Expect(chosen).To(HaveLen(1))
		for id := range chosen {
			chosenCounts[id]++
		}
	}
	for id, n := range chosenCounts {
		g.Expect(n).To(BeNumerically("<=", 30), id)
	}
}

// Guards against an endpoint that limits its rate and gets more requests than this
// entry's share, also as the last one left after a failure of the others.
func TestRateLimitedEndpointGetsItsShareOnly(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"), newEngine("two", "b"))
	b.SetRates(map[string]float64{"one": 2}, start)
	now := start.Add(500 * time.Millisecond)
	g.Expect(choose(g, b, newRequest(now)).Endpoint.ID).To(Equal("one"))
	c := choose(g, b, newRequest(now))
	g.Expect(c.Endpoint.ID).To(Equal("two"))
	c.RecordFailure(now)
	c.RecordFailure(now)
	var none *NoEndpointError
	_, err := b.Choose(newRequest(now))
	g.Expect(errors.As(err, &none)).To(BeTrue())
	// The pause of the other endpoint ends with its next success.
	g.Expect(none.AvailableAt).To(BeZero())
	r := newRequest(now)
	r.Avoid = []string{"two"}
	_, err = b.Choose(r)
	g.Expect(errors.As(err, &none)).To(BeTrue())
	g.Expect(none.AvailableAt).To(Equal(start.Add(time.Second)))
	b.SetRates(nil, now)
	g.Expect(choose(g, b, newRequest(now)).Endpoint.ID).To(Equal("one"))
}

// Guards against an endpoint that is taken for another one since it was not listed for a while,
// and against one that is taken for the former one after it has started again.
func TestRelistedIncarnationIsNotDoubtful(t *testing.T) {
	g := NewWithT(t)
	endpoint := newEngine("one", "a")
	b := newBoard(endpoint)
	c := choose(g, b, newRequest(start))
	g.Expect(c.VersionIsDoubtful(start)).To(BeFalse())
	b.Update(nil)
	g.Expect(c.VersionIsDoubtful(start)).To(BeTrue())
	endpoint.Seq++
	b.Update([]registry.Endpoint{endpoint})
	g.Expect(c.VersionIsDoubtful(start)).To(BeFalse())
	b.Update(nil)
	endpoint.Born++
	b.Update([]registry.Endpoint{endpoint})
	g.Expect(c.VersionIsDoubtful(start)).To(BeTrue())
}

// Guards against a refused connection that is forgotten since the endpoint was not listed at that
// moment: a late announcement of the process that ended lists it again.
func TestRefusalOfAnUnlistedEndpointCounts(t *testing.T) {
	g := NewWithT(t)
	endpoint := newEngine("one", "a")
	b := newBoard(endpoint)
	c := choose(g, b, newRequest(start))
	b.Update(nil)
	b.RecordRefused("one", endpoint.Born, start, start)
	b.Update([]registry.Endpoint{endpoint})
	g.Expect(c.VersionIsDoubtful(start)).To(BeTrue())
}

// Guards against a stream that joins two software versions, since a connection was refused before
// its own was made, however late that became known; and against one that is given up since
// another connection was refused later.
func TestRefusalCountsIfItPrecedesTheConnection(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, c := range map[string]struct {
		refusals []int
		doubtful bool
	}{
		"before":           {refusals: []int{5}, doubtful: true},
		"after":            {refusals: []int{15}},
		"before and after": {refusals: []int{5, 15}, doubtful: true},
		"after and before": {refusals: []int{15, 5}, doubtful: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := newBoard(newEngine("one", "a"))
			choice := choose(g, b, newRequest(start))
			choice.RecordConnected(at(10))
			for _, began := range c.refusals {
				b.RecordRefused("one", 1, at(began), at(20))
			}
			g.Expect(choice.VersionIsDoubtful(at(30))).To(Equal(c.doubtful))
		})
	}
}

// Guards against runs that return to an endpoint beyond its limit, because their attempts
// start without a permit. The bound is that of the users: in 4 s one and a half times the
// limit and 5 more.
func TestReturnsCountAgainstTheRateLimit(t *testing.T) {
	const perS, returns, step = 3.0, 12, 20 * time.Millisecond
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	kept := choose(g, b, newRequest(start))
	b.SetRates(map[string]float64{"one": perS}, start)
	returned, chosen := 0, 0
	from := start.Add(4 * time.Second)
	for now := from; now.Before(from.Add(4 * time.Second)); now = now.Add(step) {
		if returned < returns {
			kept.Again(now)
			returned++
		}
		if choice, err := b.Choose(newRequest(now)); err == nil {
			choice.End()
			chosen++
		}
	}
	g.Expect(returned + chosen).To(BeNumerically("<=", 1.5*perS*4+5))
	g.Expect(chosen).To(BeNumerically(">", 0))
}
