package fleet

import (
	"cmp"
	"slices"
)

const (
	// levelSteps is the number of bounds tried for the reclaimable capacity of
	// one failure domain between nothing and the whole need.
	levelSteps = 24
	// maxImprovements bounds the local search; the tests against the optimum need fewer.
	maxImprovements = 64
	// refinedLevels is the number of best starts that the local search improves.
	refinedLevels = 3
)

// Solve returns an allocation of least price that meets the need, or the one
// with the smallest shortfall when the pools cannot meet it.
//
// The loss of one failure domain couples the domains. With a bound on the
// reclaimable capacity of each domain the coupling is gone: what must be
// covered is the need plus the bound, and taking the cheapest capacity first
// is right up to the size of one VM. Solve tries a range of bounds, then
// exchanges single VMs and pairs while that lowers the price. A small problem
// is then searched for its optimum.
func Solve(offers []Offer, need Need) Allocation {
	base := newHolding(offers, need)
	byCapacity := orderOf(offers, func(o *Offer) float64 { return o.Price / o.Capacity })
	// The cheapest VMs are right where the number of VMs or a small rest decides.
	byPrice := orderOf(offers, func(o *Offer) float64 { return o.Price })
	var found []*holding
	for _, order := range [][]int{byCapacity, byPrice} {
		for _, level := range levels(len(base.reclaimable), need) {
			h := base.clone()
			h.cover(order, level)
			h.trim()
			found = append(found, h)
		}
	}
	slices.SortStableFunc(found, compareHoldings)
	found = slices.CompactFunc(found, func(a, b *holding) bool { return slices.Equal(a.counts, b.counts) })
	found = found[:min(refinedLevels, len(found))]
	best := found[0]
	for _, h := range found {
		h.improve()
		if compareHoldings(h, best) < 0 {
			best = h
		}
	}
	best = exact(base, best, byCapacity)
	if stay := base.stay(byCapacity); stay.shortfall() <= best.shortfall() && best.price > stay.price*(1-minSaving) {
		return stay.allocation()
	}
	return best.allocation()
}

// stay keeps the VMs held now, and removes what is not needed or adds what is missing.
func (h *holding) stay(order []int) *holding {
	s := h.clone()
	for i := range s.offers {
		for range min(s.offers[i].Have, s.offers[i].Max) {
			s.add(i)
		}
	}
	if s.feasible() {
		s.trim()
		return s
	}
	s.keep = append([]int(nil), s.counts...)
	kept := s.clone()
	s.cover(order, s.need.Capacity/float64(max(len(s.reclaimable)-1, 1)))
	s.trim()
	s.improve()
	return exact(kept, s, order)
}

// compareHoldings prefers the smaller shortfall, then the lower price.
func compareHoldings(a, b *holding) int {
	if short := cmp.Compare(a.shortfall(), b.shortfall()); short != 0 {
		return short
	}
	return cmp.Compare(a.price, b.price)
}

// levels returns the bounds to try for the reclaimable capacity of one domain.
func levels(domains int, need Need) []float64 {
	list := []float64{0}
	if domains > 1 {
		// With equal prices the best bound spreads the need over all domains but one.
		list = append(list, need.Capacity/float64(domains-1))
	}
	for i := 1; i <= levelSteps; i++ {
		list = append(list, need.Capacity*float64(i)/levelSteps)
	}
	return list
}

// orderOf returns the usable offers by a key, the least first.
func orderOf(offers []Offer, key func(*Offer) float64) []int {
	order := make([]int, 0, len(offers))
	for i := range offers {
		if offers[i].Capacity > 0 && offers[i].Max > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(key(&offers[a]), key(&offers[b])) })
	return order
}

// cover adds the cheapest capacity first: on-demand VMs up to their floor,
// then any VM within the bound per domain, then on-demand VMs for the rest.
func (h *holding) cover(order []int, level float64) {
	h.fill(order, func(i int) bool { return !h.offers[i].Reclaimable }, func() bool { return h.onDemand+capacitySlack >= h.need.OnDemand })
	within := func(i int) bool {
		return !h.offers[i].Reclaimable || h.reclaimable[h.domain[i]]+h.offers[i].Capacity <= level+h.offers[i].Capacity/2
	}
	h.fill(order, within, h.feasible)
	h.fill(order, func(i int) bool { return !h.offers[i].Reclaimable }, h.feasible)
	h.fill(order, func(int) bool { return true }, h.feasible)
}

func (h *holding) fill(order []int, allowed func(int) bool, enough func() bool) {
	for _, i := range order {
		for !enough() && h.canAdd(i) && allowed(i) {
			h.add(i)
		}
	}
}

// trim removes VMs that are not needed, the dearest first.
func (h *holding) trim() {
	order := make([]int, len(h.counts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(h.offers[b].Price, h.offers[a].Price) })
	for _, i := range order {
		for h.counts[i] > h.keep[i] && h.stays(func() { h.remove(i) }, func() { h.add(i) }) {
			h.remove(i)
		}
	}
}

// stays reports whether a change keeps the shortfall, and undoes the change.
func (h *holding) stays(change, undo func()) bool {
	before := h.shortfall()
	change()
	ok := h.shortfall() <= before+capacitySlack && h.vms >= h.need.MinVMs
	undo()
	return ok
}
