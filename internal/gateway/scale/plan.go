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
	// slotMargin is the number of standard deviations by which the slots of an endpoint
	// exceed the planned number of requests. Entries place requests almost independently
	// of each other, so that the requests of an endpoint vary like a Poisson variable;
	// the rest of the margin covers bursts and endpoints that are lost.
	slotMargin = 5
	// targetPrefillShare is the planned share of the time of an endpoint that it spends
	// with prompts. At a higher share, prompts wait for each other, and running streams
	// for prompts.
	targetPrefillShare = 0.6
	// defaultSlots is assumed for services that do not state their slots.
	defaultSlots = 16
	// burstFactor is the planned ratio of the capacity of reclaimable endpoints
	// to the load; the excess is for bursts.
	burstFactor = 2.2
	// minPerDomain is the least number of reclaimable endpoints in each domain,
	// so that a partitioned domain can serve on its own.
	minPerDomain = 3
	// initialPerDomain replaces minPerDomain until learningTime after the first
	// request, because a burst may come before the usual load is known. It is
	// raised to the number of endpoints found at the start and to the number
	// that the limits of the workspaces suggest.
	initialPerDomain = 4
	learningTime     = 20 * time.Second
	// limitUtilization is the assumed part of the limits of all workspaces that
	// is in use at the same time.
	limitUtilization = 0.5
	// endpointTokensPerS is the number of tokens per second, as limits count
	// them, that one engine can process without late answers.
	endpointTokensPerS = 35_000
	// minLoadPerDomain is the least load that is planned for, in endpoints per
	// domain.
	minLoadPerDomain = 1
	// riseSmoothing and fallSmoothing are the time constants that smooth a
	// rising and a falling load. Following a short burst is useless, because it
	// ends before an endpoint ordered for it serves; a load that fell may rise
	// again.
	riseSmoothing = 700 * time.Millisecond
	fallSmoothing = 3 * time.Second
	// refusalBackoff is how long no further endpoints are ordered from a pool
	// after a refusal.
	refusalBackoff = 3 * time.Second
	// scarcityTime is how long after a refusal reclaimable endpoints are
	// regarded as unavailable.
	scarcityTime = 6 * time.Second
	// domainsAtRisk is the number of domains that may be reclaimed during the
	// start of an endpoint, beside as many as were reclaimed within scarcityTime:
	// reclaims often come in series.
	domainsAtRisk = 1
	// reorderDelay is how long after an order the endpoints may be missing
	// before the order is repeated, because it may be lost. Endpoints take
	// seconds to start.
	reorderDelay = 6 * time.Second
	// reclaimableDownDelay is how long a surplus of reclaimable endpoints must
	// last before it is removed. It is short, because the load is already
	// smoothed.
	reclaimableDownDelay = 500 * time.Millisecond
	// onDemandDownDelay is the same for on-demand endpoints while reclaimable
	// endpoints do not carry the load: the endpoints that replace them may
	// still be starting.
	onDemandDownDelay = 5 * time.Second
)

// Input is the state of one service on which a plan is based.
type Input struct {
	Now     time.Time
	Service *rules.Service
	Domains []string
	// Endpoints of the service, including those that drain.
	Endpoints []registry.Endpoint
	// InFlight is the number of requests in flight at all entries.
	InFlight int
	// Work is the demand at all entries for the time of endpoints to process prompts, in
	// seconds per second; 0 if it is not known.
	Work float64
	// LimitTokensPerS is the sum of the limits of all workspaces that count
	// tokens.
	LimitTokensPerS float64
}

// poolKey identifies a pool: the reclaimable or the on-demand endpoints of one
// domain.
type poolKey struct {
	domain      string
	reclaimable bool
}

// Planner plans one service. It is not safe for concurrent use.
type Planner struct {
	refusedAt map[poolKey]time.Time
	// lastOrders holds the last order of each pool that may be in force: a refused one is not.
	lastOrders map[poolKey]order
	// surplusSince holds since when a pool has more endpoints than wanted.
	surplusSince map[poolKey]time.Time
	// smoothedLoad is the smoothed load in endpoints, as of updatedAt.
	smoothedLoad float64
	updatedAt    time.Time
	// firstLoadAt is when the first request was observed in flight.
	firstLoadAt time.Time
	// initialCount is the number of endpoints before the first request: the
	// larger of the reclaimable and the on-demand total, because one may be
	// replacing the other.
	initialCount int
	// loadCovered is set if reclaimable endpoints carried the load in the last
	// plan.
	loadCovered bool
	// ready holds the number of ready reclaimable endpoints of each domain in the last
	// plan, and reclaimedAt when a domain last lost most of them without an order.
	ready       map[string]int
	reclaimedAt map[string]time.Time
}

type order struct {
	count int
	at    time.Time
}

// New returns a planner without earlier orders.
func New() *Planner {
	return &Planner{
		refusedAt: make(map[poolKey]time.Time), lastOrders: make(map[poolKey]order), surplusSince: make(map[poolKey]time.Time),
		ready: make(map[string]int), reclaimedAt: make(map[string]time.Time),
	}
}

// RecordRefusal records that the cloud refused an order.
func (p *Planner) RecordRefusal(o port.CountOrder, now time.Time) {
	p.refusedAt[poolKey{o.FailureDomain, o.Reclaimable}] = now
}

// RecordOrder records an order that was accepted, or that may have been.
func (p *Planner) RecordOrder(o port.CountOrder, now time.Time) {
	p.lastOrders[poolKey{o.FailureDomain, o.Reclaimable}] = order{o.Count, now}
}

// Plan returns the orders to give now.
func (p *Planner) Plan(in *Input) []port.CountOrder {
	if in.Service.Scaling == nil || len(in.Domains) == 0 {
		return nil
	}
	running := countReady(in.Endpoints)
	if p.firstLoadAt.IsZero() {
		p.initialCount = max(p.initialCount, largestMarketCount(running))
	}
	p.updateLoad(in)
	p.noteReclaims(in, running)
	want := p.targetCounts(in, running)
	var orders []port.CountOrder
	for _, domain := range in.Domains {
		for _, reclaimable := range []bool{true, false} {
			k := poolKey{domain, reclaimable}
			if p.isDue(k, want[k], running[k], in.Now) {
				orders = append(orders, port.CountOrder{
					Service: in.Service.Name, FailureDomain: domain, Count: want[k], Reclaimable: reclaimable,
				})
			}
		}
	}
	return orders
}

// countReady returns the number of ready endpoints by pool.
func countReady(list []registry.Endpoint) map[poolKey]int {
	running := make(map[poolKey]int)
	for i := range list {
		if list[i].State == registry.Ready {
			running[poolKey{list[i].Domain, list[i].Reclaimable}]++
		}
	}
	return running
}

// largestMarketCount returns the larger of the total numbers of reclaimable and
// on-demand endpoints.
func largestMarketCount(running map[poolKey]int) int {
	sums := make(map[bool]int)
	for k, n := range running {
		sums[k.reclaimable] += n
	}
	return max(sums[true], sums[false])
}

// updateLoad updates the smoothed load.
func (p *Planner) updateLoad(in *Input) {
	slots := defaultSlots
	if in.Service.Engine != nil && in.Service.Engine.Slots > 0 {
		slots = in.Service.Engine.Slots
	}
	if p.firstLoadAt.IsZero() && in.InFlight > 0 {
		p.firstLoadAt = in.Now
	}
	load := max(float64(in.InFlight)/plannedRequests(slots), in.Work/targetPrefillShare, float64(minLoadPerDomain*len(in.Domains)))
	smoothing := riseSmoothing
	if load < p.smoothedLoad {
		smoothing = fallSmoothing
	}
	passed := in.Now.Sub(p.updatedAt).Seconds() / smoothing.Seconds()
	p.updatedAt = in.Now
	p.smoothedLoad += (load - p.smoothedLoad) * min(passed, 1)
}

// plannedRequests returns the mean number of requests of an endpoint at which the slots
// exceed it by slotMargin standard deviations.
func plannedRequests(slots int) float64 {
	root := (math.Sqrt(slotMargin*slotMargin+4*float64(slots)) - slotMargin) / 2
	return root * root
}

// targetCounts returns the wanted number of endpoints of each pool.
func (p *Planner) targetCounts(in *Input, running map[poolKey]int) map[poolKey]int {
	s := in.Service.Scaling
	want := make(map[poolKey]int)
	minimum := minPerDomain
	if p.firstLoadAt.IsZero() || in.Now.Sub(p.firstLoadAt) < learningTime {
		minimum = max(initialPerDomain, p.initialCount/len(in.Domains), in.suggestedPerDomain())
	}
	perDomain := max(int(math.Ceil(p.smoothedLoad*burstFactor/float64(len(in.Domains)))), minimum, s.Min)
	readyReclaimable := make([]int, 0, len(in.Domains))
	for _, domain := range in.Domains {
		k := poolKey{domain, true}
		want[k] = min(perDomain, s.Max)
		readyReclaimable = append(readyReclaimable, running[k])
	}
	missing := int(math.Ceil(p.smoothedLoad)) - p.dependableCount(readyReclaimable, in.Now)
	p.loadCovered = missing <= 0
	p.placeOnDemand(in, want, running, max(missing, 0))
	return want
}

// dependableCount returns the number of reclaimable endpoints to rely on, given
// their number in each domain. While the cloud refuses reclaimable endpoints,
// further domains may be reclaimed before an on-demand endpoint has started, so
// the largest domains at risk are not counted.
func (p *Planner) dependableCount(readyReclaimable []int, now time.Time) int {
	slices.Sort(readyReclaimable)
	if p.isScarce(now) {
		atRisk := domainsAtRisk + p.reclaimedDomains(now)
		readyReclaimable = readyReclaimable[:max(len(readyReclaimable)-atRisk, 0)]
	}
	total := 0
	for _, n := range readyReclaimable {
		total += n
	}
	return total
}

// noteReclaims notes the domains that lost most of their reclaimable endpoints since the
// last plan, though no fewer were ordered.
func (p *Planner) noteReclaims(in *Input, running map[poolKey]int) {
	for _, domain := range in.Domains {
		k := poolKey{domain, true}
		before, now := p.ready[domain], running[k]
		p.ready[domain] = now
		last, ordered := p.lastOrders[k]
		if now < (before+1)/2 && (!ordered || last.count > now) {
			p.reclaimedAt[domain] = in.Now
		}
	}
}

// reclaimedDomains returns the number of domains that were reclaimed within scarcityTime.
func (p *Planner) reclaimedDomains(now time.Time) int {
	n := 0
	for _, at := range p.reclaimedAt {
		if now.Sub(at) < scarcityTime {
			n++
		}
	}
	return n
}

// isScarce reports whether the cloud refused reclaimable endpoints within
// scarcityTime.
func (p *Planner) isScarce(now time.Time) bool {
	for k, at := range p.refusedAt {
		if k.reclaimable && now.Sub(at) < scarcityTime {
			return true
		}
	}
	return false
}

// placeOnDemand distributes on-demand endpoints over the domains, the cheapest
// first, and keeps the number of endpoints of each domain within its limits.
func (p *Planner) placeOnDemand(in *Input, want, running map[poolKey]int, total int) {
	s := in.Service.Scaling
	domains := slices.Clone(in.Domains)
	slices.SortStableFunc(domains, func(a, b string) int { return cmp.Compare(s.Prices[a], s.Prices[b]) })
	for i := 0; total > 0 && i < len(domains)*s.Max; i++ {
		onDemand, reclaimable := poolKey{domains[i%len(domains)], false}, poolKey{domains[i%len(domains)], true}
		if want[onDemand]+running[reclaimable] < s.Max {
			want[onDemand]++
			total--
		}
	}
	for _, domain := range domains {
		onDemand, reclaimable := poolKey{domain, false}, poolKey{domain, true}
		want[onDemand] = max(want[onDemand], s.Min-running[reclaimable])
		want[reclaimable] = max(min(want[reclaimable], s.Max-want[onDemand]), 0)
	}
}

// suggestedPerDomain returns the number of endpoints per domain that the limits
// of the workspaces suggest.
func (in *Input) suggestedPerDomain() int {
	if in.Service.Engine == nil {
		return 0
	}
	endpoints := in.LimitTokensPerS * limitUtilization / endpointTokensPerS
	return int(math.Ceil(endpoints / float64(len(in.Domains))))
}

func (p *Planner) isRefused(k poolKey, now time.Time) bool {
	at, known := p.refusedAt[k]
	return known && now.Sub(at) < refusalBackoff
}

// isDue reports whether to give an order: the wanted number differs from the
// running one, no delay after a surplus or a refusal applies, and the same
// order was not given within reorderDelay.
func (p *Planner) isDue(k poolKey, want, running int, now time.Time) bool {
	if p.delaysScaleDown(k, want, running, now) {
		return false
	}
	if want > running && p.isRefused(k, now) {
		return false
	}
	last, known := p.lastOrders[k]
	if known && last.count == want {
		return running != want && now.Sub(last.at) > reorderDelay
	}
	return running != want
}

// delaysScaleDown reports whether surplus endpoints stay for now. On-demand
// endpoints cost several times as much as the reclaimable ones that they
// replace, so they are removed as soon as reclaimable endpoints carry the load.
func (p *Planner) delaysScaleDown(k poolKey, want, running int, now time.Time) bool {
	if want >= running || !k.reclaimable && p.loadCovered {
		delete(p.surplusSince, k)
		return false
	}
	delay := reclaimableDownDelay
	if !k.reclaimable {
		delay = onDemandDownDelay
	}
	since, known := p.surplusSince[k]
	if !known {
		p.surplusSince[k] = now
		return true
	}
	return now.Sub(since) < delay
}
