package fleet

// holding is an allocation under construction with its totals.
type holding struct {
	offers []Offer
	need   Need
	domain []int // index of the failure domain of each offer
	counts []int
	// keep bounds from below what trim and improve leave of each offer.
	keep []int
	// reclaimable capacity by failure domain.
	reclaimable []float64
	reclaimSum  float64
	onDemand    float64
	vms         int
	price       float64
}

func newHolding(offers []Offer, need Need) *holding {
	h := &holding{offers: offers, need: need, counts: make([]int, len(offers)), keep: make([]int, len(offers)), domain: make([]int, len(offers))}
	index := map[string]int{}
	for i := range offers {
		at, known := index[offers[i].FailureDomain]
		if !known {
			at = len(index)
			index[offers[i].FailureDomain] = at
		}
		h.domain[i] = at
	}
	h.reclaimable = make([]float64, len(index))
	return h
}

func (h *holding) clone() *holding {
	c := *h
	c.counts = append([]int(nil), h.counts...)
	c.reclaimable = append([]float64(nil), h.reclaimable...)
	return &c
}

func (h *holding) canAdd(i int) bool { return h.counts[i] < h.offers[i].Max }

func (h *holding) add(i int) {
	h.price += h.offers[i].Price
	h.counts[i]++
	h.vms++
	h.shift(i, h.offers[i].Capacity)
}

func (h *holding) remove(i int) {
	h.counts[i]--
	h.vms--
	h.price -= h.offers[i].Price
	h.shift(i, -h.offers[i].Capacity)
}

func (h *holding) shift(i int, capacity float64) {
	if !h.offers[i].Reclaimable {
		h.onDemand += capacity
		return
	}
	h.reclaimable[h.domain[i]] += capacity
	h.reclaimSum += capacity
}

// worst is the capacity that remains after the worst loss.
func (h *holding) worst() float64 {
	most := 0.0
	for _, capacity := range h.reclaimable {
		most = max(most, capacity)
	}
	return h.onDemand + h.reclaimSum - most
}

// capacitySlack absorbs the rounding of sums of floats, in tokens per second.
const capacitySlack = 1e-6

func (h *holding) feasible() bool {
	return h.vms >= h.need.MinVMs &&
		h.onDemand+capacitySlack >= h.need.OnDemand &&
		h.worst()+capacitySlack >= h.need.Capacity
}

// shortfall is what is missing to be feasible, in tokens per second.
func (h *holding) shortfall() float64 {
	short := max(h.need.Capacity-h.worst(), h.need.OnDemand-h.onDemand)
	if short <= capacitySlack {
		return 0
	}
	return short
}

func (h *holding) allocation() Allocation {
	return Allocation{Counts: h.counts, Price: h.price, Short: h.shortfall()}
}
