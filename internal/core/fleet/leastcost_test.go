package fleet

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// costUnit is the step, in tokens per second, in which leastCost counts
// capacity. VMs are rounded up and needs down, so that the result stays a bound.
const costUnit = 20

// leastCost returns a price per hour that no allocation of whole VMs of one
// model can undercut. For each bound on the reclaimable capacity of a failure
// domain, what all domains together must hold is the need plus that bound, and
// the domains no longer depend on each other: a knapsack finds the least price.
func leastCost(offers []Offer, need Need) float64 {
	needed, floor := int(need.Capacity/costUnit), int(need.OnDemand/costUnit)
	most := 2 * needed
	var onDemand []Offer
	reclaimable := map[string][]Offer{}
	for _, o := range offers {
		if o.Reclaimable {
			reclaimable[o.FailureDomain] = append(reclaimable[o.FailureDomain], o)
		} else {
			onDemand = append(onDemand, o)
		}
	}
	paid := knapsack(onDemand, most)
	byDomain := make([][]float64, 0, len(reclaimable))
	for _, list := range reclaimable {
		byDomain = append(byDomain, knapsack(list, most))
	}
	best := math.Inf(1)
	for bound := 0; bound <= needed; bound++ {
		sum := []float64{0}
		for _, prices := range byDomain {
			sum = combine(sum, prices[:bound+1], needed+bound)
		}
		for have, price := range sum {
			best = min(best, price+atLeast(paid, max(needed+bound-have, floor)))
		}
	}
	return best
}

// knapsack returns the least price of VMs with exactly each capacity, in units.
func knapsack(offers []Offer, most int) []float64 {
	prices := make([]float64, most+1)
	for i := range prices {
		prices[i] = math.Inf(1)
	}
	prices[0] = 0
	for _, o := range offers {
		units := int(math.Ceil(o.Capacity / costUnit))
		if units == 0 {
			continue
		}
		for range min(o.Max, most/units+1) {
			for have := most; have > 0; have-- {
				// A VM may overshoot the largest capacity that counts.
				from := max(have-units, 0)
				if have < most && have < units {
					continue
				}
				prices[have] = min(prices[have], prices[from]+o.Price)
			}
		}
	}
	return prices
}

// combine adds the capacities of a further domain, up to a largest sum that counts.
func combine(sum, prices []float64, most int) []float64 {
	out := make([]float64, min(len(sum)+len(prices)-1, most+1))
	for i := range out {
		out[i] = math.Inf(1)
	}
	for a, first := range sum {
		if math.IsInf(first, 1) {
			continue
		}
		for b, second := range prices {
			at := min(a+b, len(out)-1)
			out[at] = min(out[at], first+second)
		}
	}
	return out
}

// atLeast returns the least price of at least a capacity.
func atLeast(prices []float64, units int) float64 {
	best := math.Inf(1)
	for have := min(units, len(prices)-1); have < len(prices); have++ {
		best = min(best, prices[have])
	}
	return best
}

// Guards against a bound that is above what an allocation costs, which would
// let a dear plan pass.
func TestLeastCostIsABound(t *testing.T) {
	g := NewWithT(t)
	for domains := 2; domains <= 3; domains++ {
		for _, need := range []Need{{Capacity: 900, OnDemand: 200}, {Capacity: 2100}, {Capacity: 2600, OnDemand: 900}} {
			offers := targetOffers(domains, 2, 3)
			best, possible := optimum(offers, need)
			g.Expect(possible).To(BeTrue())
			bound := leastCost(offers, need)
			g.Expect(bound).To(BeNumerically("<=", best+1e-9))
			g.Expect(bound).To(BeNumerically(">=", 0.9*best), "the bound says nothing")
		}
	}
}
