package fleet

// maxNodes is the maximum number of nodes that the search for the optimum visits,
// about 2 ms of run time. At the limit the search returns the best allocation
// found so far.
const maxNodes = 40_000

// search is a branch-and-bound search for the optimum. It starts with the best
// allocation that the heuristics found.
type search struct {
	current *draft
	best    *draft
	order   []int
	// minPricePerCapacity holds, for each position in order, the lowest price per
	// capacity of the offers from that position on.
	minPricePerCapacity []float64
	nodes               int
}

// maxExactOffers is the largest number of offers for which the optimum is
// searched: four failure domains with three classes, each reclaimable and on
// demand.
const maxExactOffers = 24

// searchOptimum returns the cheapest allocation that it finds by adding VMs to
// base within the node limit. It returns best unchanged if there are too many
// offers or if best does not meet the need.
func searchOptimum(base, best *draft, order []int) *draft {
	if len(base.offers) > maxExactOffers || best.shortfall() > 0 {
		return best
	}
	s := &search{current: base.clone(), best: best, order: order, minPricePerCapacity: make([]float64, len(order)+1)}
	for at := len(order) - 1; at >= 0; at-- {
		offer := &base.offers[order[at]]
		s.minPricePerCapacity[at] = offer.Price / offer.Capacity
		if at+1 < len(order) {
			s.minPricePerCapacity[at] = min(s.minPricePerCapacity[at], s.minPricePerCapacity[at+1])
		}
	}
	s.visit(0)
	return s.best
}

func (s *search) visit(at int) {
	s.nodes++
	if s.nodes > maxNodes || s.lowerBound(at) >= s.best.price-minGain {
		return
	}
	if s.current.feasible() {
		s.best = s.current.clone()
		return
	}
	if at == len(s.order) {
		return
	}
	i := s.order[at]
	added := 0
	for s.current.canAdd(i) && !s.current.feasible() {
		s.current.add(i)
		added++
	}
	for ; added > 0; added-- {
		s.visit(at + 1)
		s.current.remove(i)
	}
	s.visit(at + 1)
}

// lowerBound returns a lower bound on the price of every completion of the
// current allocation: its price plus the missing capacity, before any loss, at
// the lowest price per capacity of the remaining offers.
func (s *search) lowerBound(at int) float64 {
	missing := s.current.need.Capacity - s.current.onDemand - s.current.reclaimableTotal
	return s.current.price + max(0, missing)*s.minPricePerCapacity[at]
}
