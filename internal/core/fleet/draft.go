package fleet

// draft is an allocation under construction, with its totals.
type draft struct {
	offers      []Offer
	need        Need
	domainIndex []int // index of the failure domain of each offer in reclaimable
	counts      []int
	// minCounts is the number of VMs of each offer that trim and improve must keep.
	minCounts []int
	// reclaimable is the reclaimable capacity by failure domain.
	reclaimable      []float64
	reclaimableTotal float64
	onDemand         float64
	vms              int
	price            float64
}

func newDraft(offers []Offer, need Need) *draft {
	d := &draft{offers: offers, need: need, counts: make([]int, len(offers)), minCounts: make([]int, len(offers)), domainIndex: make([]int, len(offers))}
	index := map[string]int{}
	for i := range offers {
		at, known := index[offers[i].FailureDomain]
		if !known {
			at = len(index)
			index[offers[i].FailureDomain] = at
		}
		d.domainIndex[i] = at
	}
	d.reclaimable = make([]float64, len(index))
	return d
}

func (d *draft) clone() *draft {
	c := *d
	c.counts = append([]int(nil), d.counts...)
	c.reclaimable = append([]float64(nil), d.reclaimable...)
	return &c
}

func (d *draft) canAdd(i int) bool { return d.counts[i] < d.offers[i].Max }

func (d *draft) add(i int) {
	d.price += d.offers[i].Price
	d.counts[i]++
	d.vms++
	d.addCapacity(i, d.offers[i].Capacity)
}

func (d *draft) remove(i int) {
	d.counts[i]--
	d.vms--
	d.price -= d.offers[i].Price
	d.addCapacity(i, -d.offers[i].Capacity)
}

func (d *draft) addCapacity(i int, capacity float64) {
	if !d.offers[i].Reclaimable {
		d.onDemand += capacity
		return
	}
	d.reclaimable[d.domainIndex[i]] += capacity
	d.reclaimableTotal += capacity
}

// capacityAfterWorstLoss returns the capacity that remains after the loss of the
// failure domain with the most reclaimable capacity.
func (d *draft) capacityAfterWorstLoss() float64 {
	largest := 0.0
	for _, capacity := range d.reclaimable {
		largest = max(largest, capacity)
	}
	return d.onDemand + d.reclaimableTotal - largest
}

// capacitySlack is the tolerance for rounding errors in sums of capacities, in
// tokens per second.
const capacitySlack = 1e-6

func (d *draft) feasible() bool {
	return d.vms >= d.need.MinVMs &&
		d.onDemand+capacitySlack >= d.need.OnDemand &&
		d.capacityAfterWorstLoss()+capacitySlack >= d.need.Capacity
}

// shortfall returns the capacity that is missing to meet the need, in tokens per
// second.
func (d *draft) shortfall() float64 {
	missing := max(d.need.Capacity-d.capacityAfterWorstLoss(), d.need.OnDemand-d.onDemand)
	if missing <= capacitySlack {
		return 0
	}
	return missing
}

func (d *draft) allocation() Allocation {
	return Allocation{Counts: d.counts, Price: d.price, Short: d.shortfall()}
}
