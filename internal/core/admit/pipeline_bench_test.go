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

// benchmarkDecision measures all that one request costs: admission, routing
// with a prompt of 16 blocks of which endpoints hold different parts, the
// notes of its flight and the end of its ticket.
func benchmarkDecision(b *testing.B, endpoints, domains int) {
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
	snapshot := r.Snapshot(list)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		req := &route.Request{Model: "m", PromptTokens: 1100, OutputTokens: 150, FailureDomain: "d0", PrefixHashes: hashes}
		for pb.Next() {
			ticket, _, err := a.Offer(admit.Request{Workspace: "w", Caller: "c", Tokens: 1250}, now)
			if err != nil {
				b.Fatal(err)
			}
			decision, err := r.Route(req, snapshot, now, route.SharedRandom)
			if err != nil {
				b.Fatal(err)
			}
			flight := decision.Start(now)
			flight.Tokens(1, now)
			flight.Done(now)
			a.Done(ticket, 1200, now)
		}
	})
}

func BenchmarkDecision192(b *testing.B)  { benchmarkDecision(b, 192, 1) }
func BenchmarkDecision2300(b *testing.B) { benchmarkDecision(b, 2300, 12) }
