package fleet

import (
	"cmp"
	"slices"
)

const (
	// boundSteps is the number of bounds on the reclaimable capacity of one failure
	// domain that are tried between 0 and the whole need.
	boundSteps = 24
	// maxImprovements is the maximum number of steps of the local search. The tests
	// that compare with the optimum need fewer.
	maxImprovements = 64
	// refinedDrafts is the number of best drafts that the local search improves.
	refinedDrafts = 3
)

// Solve returns an allocation of least price that meets the need, or the one
// with the smallest shortfall when the pools cannot meet it.
//
// The possible loss of a failure domain makes the domains depend on each other.
// With a common bound on the reclaimable capacity of each domain they become
// independent: the VMs must provide the need plus the bound, and adding the
// cheapest capacity first is optimal up to the size of one VM. Solve tries a
// range of bounds and then exchanges single VMs and pairs while that lowers the
// price. For small problems it also searches for the optimum.
func Solve(offers []Offer, need Need) Allocation {
	base := newDraft(offers, need)
	byCapacity := sortedOffers(offers, func(o *Offer) float64 { return o.Price / o.Capacity })
	// Ordering by price per VM gives the cheaper allocation where MinVMs or a small
	// remaining need decides.
	byPrice := sortedOffers(offers, func(o *Offer) float64 { return o.Price })
	var found []*draft
	for _, order := range [][]int{byCapacity, byPrice} {
		for _, bound := range reclaimableBounds(len(base.reclaimable), need) {
			d := base.clone()
			d.cover(order, bound)
			d.trim()
			found = append(found, d)
		}
	}
	slices.SortStableFunc(found, compareDrafts)
	found = slices.CompactFunc(found, func(a, b *draft) bool { return slices.Equal(a.counts, b.counts) })
	found = found[:min(refinedDrafts, len(found))]
	best := found[0]
	for _, d := range found {
		d.improve()
		if compareDrafts(d, best) < 0 {
			best = d
		}
	}
	best = searchOptimum(base, best, byCapacity)
	if current := base.keepCurrent(byCapacity); current.shortfall() <= best.shortfall() && best.price > current.price*(1-minSaving) {
		return current.allocation()
	}
	return best.allocation()
}

// keepCurrent returns a draft that starts with the current VMs and removes VMs
// that are not needed or adds the missing ones.
func (d *draft) keepCurrent(order []int) *draft {
	current := d.clone()
	for i := range current.offers {
		for range min(current.offers[i].Have, current.offers[i].Max) {
			current.add(i)
		}
	}
	if current.feasible() {
		current.trim()
		return current
	}
	current.minCounts = append([]int(nil), current.counts...)
	kept := current.clone()
	current.cover(order, current.need.Capacity/float64(max(len(current.reclaimable)-1, 1)))
	current.trim()
	current.improve()
	return searchOptimum(kept, current, order)
}

// compareDrafts orders drafts by shortfall and then by price, the smaller first.
func compareDrafts(a, b *draft) int {
	if short := cmp.Compare(a.shortfall(), b.shortfall()); short != 0 {
		return short
	}
	return cmp.Compare(a.price, b.price)
}

// reclaimableBounds returns the bounds to try for the reclaimable capacity of one
// failure domain.
func reclaimableBounds(domains int, need Need) []float64 {
	list := []float64{0}
	if domains > 1 {
		// With equal prices the best bound divides the need by the number of domains
		// minus one.
		list = append(list, need.Capacity/float64(domains-1))
	}
	for i := 1; i <= boundSteps; i++ {
		list = append(list, need.Capacity*float64(i)/boundSteps)
	}
	return list
}

// sortedOffers returns the indexes of the usable offers in ascending order of a
// key.
func sortedOffers(offers []Offer, key func(*Offer) float64) []int {
	order := make([]int, 0, len(offers))
	for i := range offers {
		if offers[i].Capacity > 0 && offers[i].Max > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(key(&offers[a]), key(&offers[b])) })
	return order
}

// cover adds VMs in the given order until the draft is feasible. It first adds
// on-demand VMs up to Need.OnDemand, then any VMs within the bound on the
// reclaimable capacity per domain, then on-demand VMs, then any VMs.
func (d *draft) cover(order []int, bound float64) {
	d.fill(order, func(i int) bool { return !d.offers[i].Reclaimable }, func() bool { return d.onDemand+capacitySlack >= d.need.OnDemand })
	within := func(i int) bool {
		return !d.offers[i].Reclaimable || d.reclaimable[d.domainIndex[i]]+d.offers[i].Capacity <= bound+d.offers[i].Capacity/2
	}
	d.fill(order, within, d.feasible)
	d.fill(order, func(i int) bool { return !d.offers[i].Reclaimable }, d.feasible)
	d.fill(order, func(int) bool { return true }, d.feasible)
}

func (d *draft) fill(order []int, allowed func(int) bool, enough func() bool) {
	for _, i := range order {
		for !enough() && d.canAdd(i) && allowed(i) {
			d.add(i)
		}
	}
}

// trim removes VMs that are not needed, the most expensive first.
func (d *draft) trim() {
	order := make([]int, len(d.counts))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(d.offers[b].Price, d.offers[a].Price) })
	for _, i := range order {
		for d.counts[i] > d.minCounts[i] && d.keepsShortfall(func() { d.remove(i) }, func() { d.add(i) }) {
			d.remove(i)
		}
	}
}

// keepsShortfall makes a change, checks that the shortfall does not grow and that
// MinVMs is met, and undoes the change.
func (d *draft) keepsShortfall(change, undo func()) bool {
	before := d.shortfall()
	change()
	ok := d.shortfall() <= before+capacitySlack && d.vms >= d.need.MinVMs
	undo()
	return ok
}
