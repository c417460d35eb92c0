package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

var epoch = time.Unix(1000, 0)

func testDocument() *conf.Document {
	return &conf.Document{
		Ranks: []conf.Rank{
			{Name: "urgent", FirstTokenMS: 900, PerTokenMS: 40, Worth: 8},
			{Name: "batch", FirstTokenMS: 20000, PerTokenMS: 200, Worth: 1},
		},
		Routing: conf.Routing{PriceWeight: 0.15, CrossDomainPenaltyMS: 20, ProbeShare: 0.02},
		Fleet: conf.Fleet{
			Classes: []conf.MachineClass{
				{Name: "fast", DecodeTokensPerS: 2400, PrefillTokensPerS: 12000, Slots: 32},
				{Name: "slow", DecodeTokensPerS: 700, PrefillTokensPerS: 4000, Slots: 12},
			},
			Domains: []conf.DomainFleet{
				{FailureDomain: "d0", Classes: []conf.ClassPrice{{Class: "fast", OnDemand: 3.6, Reclaimable: 1.2}, {Class: "slow", OnDemand: 0.9, Reclaimable: 0.3}}},
			},
		},
	}
}

func testCandidate(i, domains int) *Candidate {
	c := &Candidate{
		ID: fmt.Sprintf("e%04d", i), FailureDomain: fmt.Sprintf("d%d", i%domains), Class: "fast", Slots: 32,
		State: endpoint.StateReady, Models: []endpoint.LoadedModel{{Name: "m", Version: "1", Adapters: []string{"a"}}},
		LoadAt: epoch, Load: endpoint.Load{Running: i % 7},
	}
	if i%3 == 0 {
		c.Class, c.Slots = "slow", 12
	}
	return c
}

func testCandidates(n, domains int) []*Candidate {
	list := make([]*Candidate, n)
	for i := range list {
		list[i] = testCandidate(i, domains)
	}
	return list
}

func testRouter(options ...Option) *Router {
	r := New(options...)
	r.Configure(testDocument())
	return r
}

func testRequest() *Request {
	return &Request{Model: "m", Version: "1", PromptTokens: 600, OutputTokens: 150, FailureDomain: "d0"}
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
