package fleet

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// costUnit is the unit, in tokens per second, in which leastCost counts capacity.
// Capacities of VMs are rounded up and needs are rounded down, so that the result
// remains a lower bound.
const costUnit = 20

// leastCost returns a lower bound on the price per hour of any allocation of
// whole VMs of one model. For a given bound on the reclaimable capacity of each
// failure domain, all domains together must provide the need plus that bound.
// The domains are then independent, and a knapsack algorithm finds the lowest
// price.
func leastCost(offers []Offer, need Need) float64 {
	needed, floor := int(need.Capacity/costUnit), int(need.OnDemand/costUnit)
	maxUnits := 2 * needed
	var onDemand []Offer
	reclaimable := map[string][]Offer{}
	for _, o := range offers {
		if o.Reclaimable {
			reclaimable[o.FailureDomain] = append(reclaimable[o.FailureDomain], o)
		} else {
			onDemand = append(onDemand, o)
		}
	}
	onDemandPrices := knapsack(onDemand, maxUnits)
	byDomain := make([][]float64, 0, len(reclaimable))
	for _, list := range reclaimable {
		byDomain = append(byDomain, knapsack(list, maxUnits))
	}
	best := math.Inf(1)
	for bound := 0; bound <= needed; bound++ {
		sum := []float64{0}
		for _, prices := range byDomain {
			sum = combine(sum, prices[:bound+1], needed+bound)
		}
		for have, price := range sum {
			best = min(best, price+atLeast(onDemandPrices, max(needed+bound-have, floor)))
		}
	}
	return best
}

// knapsack returns the lowest price of VMs for each exact capacity, in units.
func knapsack(offers []Offer, maxUnits int) []float64 {
	prices := make([]float64, maxUnits+1)
	for i := range prices {
		prices[i] = math.Inf(1)
	}
	prices[0] = 0
	for _, o := range offers {
		units := int(math.Ceil(o.Capacity / costUnit))
		if units == 0 {
			continue
		}
		for range min(o.Max, maxUnits/units+1) {
			for have := maxUnits; have > 0; have-- {
				// Only the largest capacity may be exceeded.
				from := max(have-units, 0)
				if have < maxUnits && have < units {
					continue
				}
				prices[have] = min(prices[have], prices[from]+o.Price)
			}
		}
	}
	return prices
}

// combine adds the capacities of a further failure domain. Sums above maxUnits
// count as maxUnits.
func combine(sum, prices []float64, maxUnits int) []float64 {
	out := make([]float64, min(len(sum)+len(prices)-1, maxUnits+1))
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

// atLeast returns the lowest price of at least the given capacity, in units.
func atLeast(prices []float64, units int) float64 {
	best := math.Inf(1)
	for have := min(units, len(prices)-1); have < len(prices); have++ {
		best = min(best, prices[have])
	}
	return best
}

// Guards against a lower bound above the price of the optimum, with which
// TestPriceDayCost would accept plans that are too expensive.
func TestLeastCostIsABound(t *testing.T) {
	g := NewWithT(t)
	for domains := 2; domains <= 3; domains++ {
		for _, need := range []Need{{Capacity: 900, OnDemand: 200}, {Capacity: 2100}, {Capacity: 2600, OnDemand: 900}} {
			offers := targetOffers(domains, 2, 3)
			best, possible := optimum(offers, need)
			g.Expect(possible).To(BeTrue())
			bound := leastCost(offers, need)
			g.Expect(bound).To(BeNumerically("<=", best+1e-9))
			g.Expect(bound).To(BeNumerically(">=", 0.9*best), "the lower bound is too loose")
		}
	}
}
