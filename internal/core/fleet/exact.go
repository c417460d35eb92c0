package fleet

// maxNodes bounds the search for the optimum; about 2 ms. Above it the best
// allocation found so far stands.
const maxNodes = 40_000

// search looks for the optimum by branch and bound, from the best allocation
// that the heuristics found.
type search struct {
	current *holding
	best    *holding
	order   []int
	// ratio is the least price per capacity among the offers from a position on.
	ratio []float64
	nodes int
}

// maxExactOffers bounds the offers up to which the optimum is searched for:
// four failure domains with three classes.
const maxExactOffers = 24

// exact returns the cheapest allocation above base found within the node
// bound, for a problem that is small enough and can be met.
func exact(base, best *holding, order []int) *holding {
	if len(base.offers) > maxExactOffers || best.shortfall() > 0 {
		return best
	}
	s := &search{current: base.clone(), best: best, order: order, ratio: make([]float64, len(order)+1)}
	for at := len(order) - 1; at >= 0; at-- {
		offer := &base.offers[order[at]]
		s.ratio[at] = offer.Price / offer.Capacity
		if at+1 < len(order) {
			s.ratio[at] = min(s.ratio[at], s.ratio[at+1])
		}
	}
	s.visit(0)
	return s.best
}

func (s *search) visit(at int) {
	s.nodes++
	if s.nodes > maxNodes || s.bound(at) >= s.best.price-minGain {
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
	taken := 0
	for s.current.canAdd(i) && !s.current.feasible() {
		s.current.add(i)
		taken++
	}
	for ; taken > 0; taken-- {
		s.visit(at + 1)
		s.current.remove(i)
	}
	s.visit(at + 1)
}

// bound is a price that no completion can undercut: what is missing before any
// loss, at the least price per capacity of the offers left.
func (s *search) bound(at int) float64 {
	missing := s.current.need.Capacity - s.current.onDemand - s.current.reclaimSum
	return s.current.price + max(0, missing)*s.ratio[at]
}
