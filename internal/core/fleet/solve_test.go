package fleet

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/boragelead/boragelead/internal/testutil/fixedseed"
)

// optimum returns the lowest price over all allocations and whether any allocation
// meets the need.
func optimum(offers []Offer, need Need) (float64, bool) {
	d := newDraft(offers, need)
	best := math.Inf(1)
	var visit func(i int, price float64)
	visit = func(i int, price float64) {
		if price >= best {
			return
		}
		if i == len(offers) {
			if d.feasible() {
				best = price
			}
			return
		}
		visit(i+1, price)
		added := 0
		for d.canAdd(i) {
			d.add(i)
			added++
			visit(i+1, price+float64(added)*offers[i].Price)
		}
		for range added {
			d.remove(i)
		}
	}
	visit(0, 0)
	return best, !math.IsInf(best, 1)
}

func drawOffers(t *rapid.T) []Offer {
	capacities := []float64{260, 700, 2400}
	domains := rapid.IntRange(2, 3).Draw(t, "domains")
	var offers []Offer
	for d := range domains {
		for c := range rapid.IntRange(1, 2).Draw(t, "classes") {
			price := rapid.Float64Range(0.3, 4).Draw(t, "price")
			pool := Pool{FailureDomain: "d" + strconv.Itoa(d), Class: strconv.Itoa(c)}
			limit := rapid.IntRange(1, 3).Draw(t, "max")
			onDemand := Offer{Pool: pool, Price: price, Capacity: capacities[c], Max: limit}
			reclaimable := onDemand
			reclaimable.Reclaimable = true
			reclaimable.Price = price * rapid.Float64Range(0.2, 0.9).Draw(t, "discount")
			offers = append(offers, onDemand, reclaimable)
		}
	}
	return offers
}

// Guards against allocations that cost more than 5% above the optimum or that do
// not meet the need after the loss of a failure domain.
func TestSolveStaysNearTheOptimum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		offers := drawOffers(t)
		need := Need{Capacity: rapid.Float64Range(100, 4000).Draw(t, "need"), MinVMs: rapid.IntRange(0, 3).Draw(t, "min")}
		need.OnDemand = need.Capacity * rapid.Float64Range(0, 0.6).Draw(t, "floor")
		got := Solve(offers, need)
		best, possible := optimum(offers, need)
		if !possible {
			return
		}
		g.Expect(got.Short).To(BeZero())
		g.Expect(got.Price).To(BeNumerically("<=", best*1.05+1e-9))
	})
}

// Guards against VMs that are replaced because of small price changes.
func TestSolveKeepsVMsDespiteSmallPriceChanges(t *testing.T) {
	g := NewWithT(t)
	offers := targetOffers(4, 3, 10)
	need := Need{Capacity: 6000, OnDemand: 1500}
	first := Solve(offers, need)
	random := rand.New(rand.NewPCG(1, 1))
	for range 50 {
		varied := make([]Offer, len(offers))
		for i := range offers {
			varied[i] = offers[i]
			varied[i].Have = first.Counts[i]
			varied[i].Price *= 1 + 0.04*(2*random.Float64()-1)
		}
		g.Expect(Solve(varied, need).Counts).To(Equal(first.Counts))
	}
}

func targetOffers(domains, classes, limit int) []Offer {
	capacities := []float64{2400, 700, 260}
	prices := []float64{3.6, 0.9, 0.45}
	var offers []Offer
	for d := range domains {
		for c := range classes {
			factor := 0.9 + 0.05*float64((d*7+c*3)%6)
			onDemand := Offer{Pool: Pool{FailureDomain: "d" + strconv.Itoa(d), Class: strconv.Itoa(c)}, Price: prices[c] * factor, Capacity: capacities[c], Max: limit}
			reclaimable := onDemand
			reclaimable.Reclaimable = true
			reclaimable.Price *= 0.32
			offers = append(offers, onDemand, reclaimable)
		}
	}
	return offers
}

// BenchmarkSolveAtTargetSize plans about 2,300 endpoints in 12 failure domains.
func BenchmarkSolveAtTargetSize(b *testing.B) {
	offers := targetOffers(12, 3, 200)
	need := Need{Capacity: 1_300_000, OnDemand: 300_000}
	var got Allocation
	for b.Loop() {
		got = Solve(offers, need)
	}
	vms := 0
	for _, count := range got.Counts {
		vms += count
	}
	b.ReportMetric(float64(vms), "VMs")
	b.ReportMetric(got.Short, "short")
}

// BenchmarkSolveAtTodaysSize plans four failure domains with three classes.
func BenchmarkSolveAtTodaysSize(b *testing.B) {
	offers := targetOffers(4, 3, 6)
	need := Need{Capacity: 9_000, OnDemand: 2_500, MinVMs: 3}
	for b.Loop() {
		Solve(offers, need)
	}
}
