package fleet

// none stands for no VM in an exchange.
const none = -1

// exchange replaces up to two VMs by up to two others.
type exchange struct {
	out, in [2]int
	gain    float64
}

// maxPairOffers bounds the offers up to which pairs are exchanged. Beyond it
// the search for the optimum mends the rounding to whole VMs, or the fleet is
// so large that the rounding no longer counts.
const maxPairOffers = 12

// minGain is the smallest price difference that counts as an improvement.
const minGain = 1e-9

// improve exchanges VMs while that lowers the price and keeps the shortfall.
func (h *holding) improve() {
	for range maxImprovements {
		best := h.bestExchange()
		if best.gain <= minGain {
			return
		}
		h.apply(best)
	}
}

// bestExchange returns the exchange that lowers the price most: of one VM
// against up to two, or of two against one.
func (h *holding) bestExchange() exchange {
	before := h.shortfall()
	var best exchange
	consider := func(out, in [2]int) {
		if h.invalid(out, in) {
			return
		}
		e := exchange{out: out, in: in}
		price := h.price
		h.apply(e)
		e.gain = price - h.price
		ok := e.gain > best.gain && h.shortfall() <= before+capacitySlack && h.vms >= h.need.MinVMs
		h.apply(exchange{out: in, in: out})
		if ok {
			best = e
		}
	}
	h.eachExchange(consider)
	return best
}

func (h *holding) eachExchange(consider func(out, in [2]int)) {
	pairs := len(h.offers) <= maxPairOffers
	for a := range h.offers {
		for b := none; b < len(h.offers); b++ {
			consider([2]int{a, none}, [2]int{b, none})
			if b == none || !pairs {
				continue
			}
			for c := range h.offers {
				consider([2]int{a, none}, [2]int{b, c})
				if a <= b {
					consider([2]int{a, b}, [2]int{c, none})
				}
			}
		}
	}
}

func (h *holding) invalid(out, in [2]int) bool {
	if in[0] != none && in[1] != none && in[0] > in[1] {
		return true
	}
	for _, i := range out {
		if i != none && (i == in[0] || i == in[1]) {
			return true
		}
	}
	if out[1] == out[0] && h.counts[out[0]] < h.keep[out[0]]+2 {
		return true
	}
	for _, i := range out {
		if i != none && h.counts[i] <= h.keep[i] {
			return true
		}
	}
	if in[0] != none && in[0] == in[1] && h.counts[in[0]]+2 > h.offers[in[0]].Max {
		return true
	}
	for _, i := range in {
		if i != none && !h.canAdd(i) {
			return true
		}
	}
	return false
}

func (h *holding) apply(e exchange) {
	for _, i := range e.out {
		if i != none {
			h.remove(i)
		}
	}
	for _, i := range e.in {
		if i != none {
			h.add(i)
		}
	}
}
