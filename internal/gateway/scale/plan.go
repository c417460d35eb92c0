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
	// with more, reading of prompts delays the first tokens of others.
	usedShare = 0.25
	// defaultSlots is assumed for services that state none.
	defaultSlots = 16
	// burstFactor is the room above the load that reclaimable endpoints give.
	burstFactor = 2.2
	// perDomain reclaimable endpoints stand in each domain at least, so that a
	// domain that is cut off can serve on its own.
	perDomain = 3
	// newPerDomain stand there, or as many as there were at first, or as many as
	// the limits of the workspaces suggest, until the load has been known for
	// learnTime: a burst may come before anything is known of the usual load.
	newPerDomain = 4
	learnTime    = 20 * time.Second
	// limitUsed is the part of their limits that workspaces use together.
	limitUsed = 0.5
	// endpointTokensPerS is what an engine carries with answers on time, in
	// tokens of the limits per second.
	endpointTokensPerS = 35_000
	// perDomainNeed is the least load that is planned for, in endpoints per domain.
	perDomainNeed = 1
	// riseTime and fallTime smooth the load. A burst is over before an endpoint
	// that was ordered for it serves, and load that fell may come back.
	riseTime = 700 * time.Millisecond
	fallTime = 3 * time.Second
	// refusedPause is how long a kind is not ordered in a domain that had none.
	refusedPause = 3 * time.Second
	// scarceTime is how long a refusal shows that none are to be had.
	scarceTime = 6 * time.Second
	// domainsAtRisk may be taken away within the start of an endpoint.
	domainsAtRisk = 1
	// repeatAfter is how long an order may take until it is seen; then it is
	// given again, since it may be lost. Endpoints take seconds to start.
	repeatAfter = 6 * time.Second
	// lowerAfter is how long fewer reclaimable endpoints must be wanted before
	// they go; the load is smoothed already.
	lowerAfter = 500 * time.Millisecond
	// replacedAfter is the same for on-demand ones while reclaimable ones do not
	// carry the load: those that replace them may still be starting.
	replacedAfter = 5 * time.Second
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
	// LimitTokensPerS is the sum of the limits of all workspaces that count tokens.
	LimitTokensPerS float64
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
	// fewer holds since when fewer endpoints of a kind are wanted.
	fewer map[key]time.Time
	// need is the smoothed load in endpoints, as of updated.
	need    float64
	updated time.Time
	// loaded is when the first request was in flight.
	loaded time.Time
	// found is the number of endpoints before the first request, of the kind
	// that had most: one kind may be replaced by the other meanwhile.
	found int
	// covered tells that reclaimable endpoints carry the load, as of the last plan.
	covered bool
}

type order struct {
	count int
	at    time.Time
}

// New returns a planner that knows of no orders.
func New() *Planner {
	return &Planner{refused: make(map[key]time.Time), ordered: make(map[key]order), fewer: make(map[key]time.Time)}
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
	if p.loaded.IsZero() {
		p.found = max(p.found, largestKind(running))
	}
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

// largestKind returns the number of endpoints in all domains of the kind that has most.
func largestKind(running map[key]int) int {
	sums := make(map[bool]int)
	for k, n := range running {
		sums[k.reclaimable] += n
	}
	return max(sums[true], sums[false])
}

// updateNeed follows the load.
func (p *Planner) updateNeed(in *Input) {
	slots := defaultSlots
	if in.Service.Engine != nil && in.Service.Engine.Slots > 0 {
		slots = in.Service.Engine.Slots
	}
	if p.loaded.IsZero() && in.InFlight > 0 {
		p.loaded = in.Now
	}
	load := max(float64(in.InFlight)/(usedShare*float64(slots)), float64(perDomainNeed*len(in.Domains)))
	smoothing := riseTime
	if load < p.need {
		smoothing = fallTime
	}
	passed := in.Now.Sub(p.updated).Seconds() / smoothing.Seconds()
	p.updated = in.Now
	p.need += (load - p.need) * min(passed, 1)
}

// wanted returns the number of endpoints of each kind and domain.
func (p *Planner) wanted(in *Input, running map[key]int) map[key]int {
	s := in.Service.Scaling
	want := make(map[key]int)
	least := perDomain
	if p.loaded.IsZero() || in.Now.Sub(p.loaded) < learnTime {
		least = max(newPerDomain, p.found/len(in.Domains), in.suggested())
	}
	each := max(int(math.Ceil(p.need*burstFactor/float64(len(in.Domains)))), least, s.Min)
	present := make([]int, 0, len(in.Domains))
	for _, domain := range in.Domains {
		k := key{domain, true}
		want[k] = min(each, s.Max)
		present = append(present, running[k])
	}
	missing := int(math.Ceil(p.need)) - p.dependable(present, in.Now)
	p.covered = missing <= 0
	p.placeOnDemand(in, want, running, max(missing, 0))
	return want
}

// dependable counts the reclaimable endpoints that can be relied on, of those
// in each domain. While none are to be had, further domains may be taken away
// before an on-demand endpoint has started, so that the largest ones do not count.
func (p *Planner) dependable(present []int, now time.Time) int {
	slices.Sort(present)
	if p.isScarce(now) {
		present = present[:max(len(present)-domainsAtRisk, 0)]
	}
	total := 0
	for _, n := range present {
		total += n
	}
	return total
}

// isScarce reports whether reclaimable endpoints were refused lately.
func (p *Planner) isScarce(now time.Time) bool {
	for k, at := range p.refused {
		if k.reclaimable && now.Sub(at) < scarceTime {
			return true
		}
	}
	return false
}

// placeOnDemand spreads on-demand endpoints over the domains, the cheapest
// first, and keeps each domain at its least number.
func (p *Planner) placeOnDemand(in *Input, want, running map[key]int, total int) {
	s := in.Service.Scaling
	domains := slices.Clone(in.Domains)
	slices.SortStableFunc(domains, func(a, b string) int { return cmp.Compare(s.Prices[a], s.Prices[b]) })
	for i := 0; total > 0 && i < len(domains)*s.Max; i++ {
		k, spot := key{domains[i%len(domains)], false}, key{domains[i%len(domains)], true}
		if want[k]+running[spot] < s.Max {
			want[k]++
			total--
		}
	}
	for _, domain := range domains {
		k, spot := key{domain, false}, key{domain, true}
		want[k] = max(want[k], s.Min-running[spot])
		want[spot] = max(min(want[spot], s.Max-want[k]), 0)
	}
}

// suggested returns the endpoints per domain that the limits of the workspaces suggest.
func (in *Input) suggested() int {
	if in.Service.Engine == nil {
		return 0
	}
	endpoints := in.LimitTokensPerS * limitUsed / endpointTokensPerS
	return int(math.Ceil(endpoints / float64(len(in.Domains))))
}

func (p *Planner) isRefused(k key, now time.Time) bool {
	at, known := p.refused[k]
	return known && now.Sub(at) < refusedPause
}

// due reports whether an order must be given: another count is wanted than
// what runs, and the same was not ordered a moment ago.
func (p *Planner) due(k key, want, running int, now time.Time) bool {
	if p.isKept(k, want, running, now) {
		return false
	}
	if want > running && p.isRefused(k, now) {
		return false
	}
	last, known := p.ordered[k]
	if known && last.count == want {
		return running != want && now.Sub(last.at) > repeatAfter
	}
	return running != want
}

// isKept reports whether endpoints stay although fewer are wanted. On-demand ones
// cost several times as much as the reclaimable ones that they stand in for: they
// go as soon as those carry the load.
func (p *Planner) isKept(k key, want, running int, now time.Time) bool {
	if want >= running || !k.reclaimable && p.covered {
		delete(p.fewer, k)
		return false
	}
	patience := lowerAfter
	if !k.reclaimable {
		patience = replacedAfter
	}
	since, known := p.fewer[k]
	if !known {
		p.fewer[k] = now
		return true
	}
	return now.Sub(since) < patience
}
