package scale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// usedShare of its slots is in use at an endpoint that is loaded as planned:
	// steps slow down with each further request, and bursts are shorter than the
	// start of an endpoint.
	usedShare = 0.25
	// defaultSlots is assumed for services that state none.
	defaultSlots = 16
	// burstFactor is the room above the load that reclaimable endpoints give.
	burstFactor = 1.7
	// perDomain reclaimable endpoints stand in each domain at least, so that a
	// domain that is cut off can serve on its own.
	perDomain = 3
	// coreShare of the need is carried by on-demand endpoints.
	coreShare = 0.25
	// refusedPause is how long a kind is not ordered in a domain that had none.
	refusedPause = 4 * time.Second
	// repeatAfter is how long an order may take until it is seen; then it is
	// given again, since it may be lost.
	repeatAfter = 3 * time.Second
	// lowerAfter is how long the need must stay lower before endpoints go.
	lowerAfter = 12 * time.Second
)

// Input is what the planner sees of one service.
type Input struct {
	Now     time.Time
	Service *rules.Service
	Domains []string
	// Endpoints of the service, those that leave included.
	Endpoints []registry.Endpoint
	// InFlight counts the requests in flight at all entries.
	InFlight int
}

// key names a kind of endpoint in a domain.
type key struct {
	domain      string
	reclaimable bool
}

// Planner plans one service. It is not safe for concurrent use.
type Planner struct {
	refused map[key]time.Time
	ordered map[key]order
	// need is the planned load in endpoints and lowerSince when it was first lower.
	need       float64
	lowerSince time.Time
}

type order struct {
	count int
	at    time.Time
}

// New returns a planner that knows of no orders.
func New() *Planner {
	return &Planner{refused: make(map[key]time.Time), ordered: make(map[key]order)}
}

// Refused notes that a kind is not to be had in a domain at the moment.
func (p *Planner) Refused(o port.CountOrder, now time.Time) {
	k := key{o.FailureDomain, o.Reclaimable}
	p.refused[k] = now
	delete(p.ordered, k)
}

// Ordered notes that an order was accepted.
func (p *Planner) Ordered(o port.CountOrder, now time.Time) {
	p.ordered[key{o.FailureDomain, o.Reclaimable}] = order{o.Count, now}
}

// Plan returns the orders that are due now.
func (p *Planner) Plan(in *Input) []port.CountOrder {
	if in.Service.Scaling == nil || len(in.Domains) == 0 {
		return nil
	}
	running := count(in.Endpoints)
	p.updateNeed(in)
	want := p.wanted(in, running)
	var orders []port.CountOrder
	for _, domain := range in.Domains {
		for _, reclaimable := range []bool{true, false} {
			k := key{domain, reclaimable}
			if p.due(k, want[k], running[k], in.Now) {
				orders = append(orders, port.CountOrder{
					Service: in.Service.Name, FailureDomain: domain, Count: want[k], Reclaimable: reclaimable,
				})
			}
		}
	}
	return orders
}

// count returns the endpoints that take work, by kind.
func count(list []registry.Endpoint) map[key]int {
	running := make(map[key]int)
	for i := range list {
		if list[i].State == registry.Ready {
			running[key{list[i].Domain, list[i].Reclaimable}]++
		}
	}
	return running
}

// updateNeed follows the load up at once and down after lowerAfter.
func (p *Planner) updateNeed(in *Input) {
	slots := defaultSlots
	if in.Service.Engine != nil && in.Service.Engine.Slots > 0 {
		slots = in.Service.Engine.Slots
	}
	load := float64(in.InFlight) / (usedShare * float64(slots))
	if load >= p.need {
		p.need = load
		p.lowerSince = in.Now
		return
	}
	if in.Now.Sub(p.lowerSince) > lowerAfter {
		p.need = load
		p.lowerSince = in.Now
	}
}

// wanted returns the number of endpoints of each kind and domain.
func (p *Planner) wanted(in *Input, running map[key]int) map[key]int {
	s := in.Service.Scaling
	want := make(map[key]int)
	each := max(int(math.Ceil(p.need*burstFactor/float64(len(in.Domains)))), perDomain, s.Min)
	expected := 0
	for _, domain := range in.Domains {
		k := key{domain, true}
		want[k] = min(each, s.Max)
		if p.isRefused(k, in.Now) {
			expected += running[k]
			continue
		}
		expected += want[k]
	}
	missing := int(math.Ceil(p.need*burstFactor)) - expected
	core := max(int(math.Ceil(p.need*coreShare)), missing, 0)
	p.placeOnDemand(in, want, running, core)
	return want
}

// placeOnDemand spreads on-demand endpoints over the domains, the cheapest
// first. Those of the start stay until the reclaimable ones are there.
func (p *Planner) placeOnDemand(in *Input, want, running map[key]int, total int) {
	s := in.Service.Scaling
	domains := slices.Clone(in.Domains)
	slices.SortStableFunc(domains, func(a, b string) int { return cmp.Compare(s.Prices[a], s.Prices[b]) })
	for i := 0; total > 0 && i < len(domains)*s.Max; i++ {
		domain := domains[i%len(domains)]
		k, spot := key{domain, false}, key{domain, true}
		if want[k]+min(want[spot], max(running[spot], 0)) < s.Max {
			want[k]++
			total--
		}
	}
	for _, domain := range domains {
		k, spot := key{domain, false}, key{domain, true}
		if lacking := want[spot] - running[spot]; lacking > 0 && !p.isRefused(spot, in.Now) {
			want[k] = max(want[k], min(running[k], want[k]+lacking))
		}
		if want[k]+want[spot] > s.Max {
			want[spot] = max(s.Max-want[k], 0)
		}
		if want[k]+running[spot] < s.Min {
			want[k] = s.Min - running[spot]
		}
	}
}

func (p *Planner) isRefused(k key, now time.Time) bool {
	at, known := p.refused[k]
	return known && now.Sub(at) < refusedPause
}

// due reports whether an order must be given: the count differs from what runs
// and was not ordered a moment ago.
func (p *Planner) due(k key, want, running int, now time.Time) bool {
	if p.isRefused(k, now) && want > running {
		return false
	}
	last, known := p.ordered[k]
	if known && last.count == want {
		return running != want && now.Sub(last.at) > repeatAfter
	}
	return running != want || known
}
