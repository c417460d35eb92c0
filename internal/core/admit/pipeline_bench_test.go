package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/admit"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/route"
)

type pipeline struct {
	admitter *admit.Admitter
	router   *route.Router
	snapshot *route.Snapshot
	hashes   []uint64
	now      time.Time
}

func newPipeline(endpoints, domains int) *pipeline {
	doc := &conf.Document{
		Ranks:   []conf.Rank{{Name: "r", FirstTokenMS: 900, Worth: 1, Floor: 0.2}},
		Routing: conf.Routing{PriceWeight: 0.15, CrossDomainPenaltyMS: 20, ProbeShare: 0.02},
	}
	a, r, now := admit.New(doc), route.New(), time.Unix(1000, 0)
	a.SetCapacity(32*endpoints, 32*endpoints, now)
	r.Configure(doc)
	hashes := endpoint.PrefixHashes("m", "", string(make([]byte, 16*endpoint.PrefixBlockBytes)))
	var list []*route.Candidate
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		list = append(list, &route.Candidate{
			ID: id, FailureDomain: fmt.Sprint("d", i%domains), Slots: 32, State: endpoint.StateReady, LoadAt: now,
			Models: []endpoint.LoadedModel{{Name: "m", Version: "1"}}, Load: endpoint.Load{Running: i % 9},
			Expires: now.Add(time.Hour),
		})
		events := &endpoint.CacheEvents{ID: id}
		for j, h := range hashes[:i%16] {
			events.Events = append(events.Events, endpoint.CacheEvent{Seq: uint64(j + 1), Kind: endpoint.CacheAdd, Block: h})
		}
		r.CacheEvents(events)
	}
	return &pipeline{admitter: a, router: r, snapshot: r.Snapshot(list), hashes: hashes, now: now}
}

// runDecision performs all decisions for one request: admission, routing of a
// prompt with 16 blocks of which endpoints hold different prefixes, the records
// of the request in flight, and the end of its ticket.
func (p *pipeline) runDecision(b *testing.B, req *route.Request) {
	ticket, _, err := p.admitter.Offer(admit.Request{Workspace: "w", Caller: "c", Tokens: 1250}, p.now)
	if err != nil {
		b.Error(err)
		return
	}
	decision, err := p.router.Route(req, p.snapshot, p.now, route.SharedRandom)
	if err != nil {
		b.Error(err)
		return
	}
	flight := decision.Start(p.now)
	flight.Tokens(1, p.now)
	flight.Done(p.now)
	p.admitter.Done(ticket, 1200, p.now)
}

func benchmarkDecision(b *testing.B, endpoints, domains int, separate bool) {
	shared := newPipeline(endpoints, domains)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		p := shared
		if separate {
			p = newPipeline(endpoints, domains)
		}
		req := &route.Request{Model: "m", PromptTokens: 1100, OutputTokens: 150, FailureDomain: "d0", PrefixHashes: p.hashes}
		for pb.Next() {
			p.runDecision(b, req)
		}
	})
}

func BenchmarkDecision192(b *testing.B)  { benchmarkDecision(b, 192, 1, false) }
func BenchmarkDecision2300(b *testing.B) { benchmarkDecision(b, 2300, 12, false) }

// BenchmarkDecision192Apart gives each goroutine its own pipeline. It shows how
// far the machine itself scales at the time of the run.
func BenchmarkDecision192Apart(b *testing.B) { benchmarkDecision(b, 192, 1, true) }

// BenchmarkQueued measures requests that are queued and cancelled, which takes
// the path under the lock.
func BenchmarkQueued(b *testing.B) {
	p := newPipeline(1, 1)
	p.admitter.SetCapacity(0, 0, p.now)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if ticket, _, err := p.admitter.Offer(admit.Request{Workspace: "w", Caller: "c", Tokens: 300}, p.now); err == nil {
				p.admitter.Cancel(ticket, p.now)
			}
		}
	})
}
