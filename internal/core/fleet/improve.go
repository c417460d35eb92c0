package fleet

// noVM marks an unused position of an exchange.
const noVM = -1

// exchange replaces up to two VMs by up to two others.
type exchange struct {
	out, in [2]int
	gain    float64
}

// maxPairOffers is the largest number of offers for which pairs of VMs are
// exchanged. Pairs correct the rounding to whole VMs. With more offers the search
// for the optimum corrects it, or the fleet is so large that the rounding is
// negligible.
const maxPairOffers = 12

// minGain is the smallest price difference that counts as an improvement.
const minGain = 1e-9

// improve exchanges VMs while that lowers the price and does not increase the
// shortfall.
func (d *draft) improve() {
	for range maxImprovements {
		best := d.bestExchange()
		if best.gain <= minGain {
			return
		}
		d.apply(best)
	}
}

// bestExchange returns the exchange that lowers the price most. It considers
// exchanges of one VM for up to two VMs, and of two VMs for one.
func (d *draft) bestExchange() exchange {
	before := d.shortfall()
	var best exchange
	consider := func(out, in [2]int) {
		if d.invalid(out, in) {
			return
		}
		e := exchange{out: out, in: in}
		price := d.price
		d.apply(e)
		e.gain = price - d.price
		ok := e.gain > best.gain && d.shortfall() <= before+capacitySlack && d.vms >= d.need.MinVMs
		d.apply(exchange{out: in, in: out})
		if ok {
			best = e
		}
	}
	d.forEachExchange(consider)
	return best
}

func (d *draft) forEachExchange(consider func(out, in [2]int)) {
	pairs := len(d.offers) <= maxPairOffers
	for a := range d.offers {
		for b := noVM; b < len(d.offers); b++ {
			consider([2]int{a, noVM}, [2]int{b, noVM})
			if b == noVM || !pairs {
				continue
			}
			for c := range d.offers {
				consider([2]int{a, noVM}, [2]int{b, c})
				if a <= b {
					consider([2]int{a, b}, [2]int{c, noVM})
				}
			}
		}
	}
}

func (d *draft) invalid(out, in [2]int) bool {
	if in[0] != noVM && in[1] != noVM && in[0] > in[1] {
		return true
	}
	for _, i := range out {
		if i != noVM && (i == in[0] || i == in[1]) {
			return true
		}
	}
	if out[1] == out[0] && d.counts[out[0]] < d.minCounts[out[0]]+2 {
		return true
	}
	for _, i := range out {
		if i != noVM && d.counts[i] <= d.minCounts[i] {
			return true
		}
	}
	if in[0] != noVM && in[0] == in[1] && d.counts[in[0]]+2 > d.offers[in[0]].Max {
		return true
	}
	for _, i := range in {
		if i != noVM && !d.canAdd(i) {
			return true
		}
	}
	return false
}

func (d *draft) apply(e exchange) {
	for _, i := range e.out {
		if i != noVM {
			d.remove(i)
		}
	}
	for _, i := range e.in {
		if i != noVM {
			d.add(i)
		}
	}
}
