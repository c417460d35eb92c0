package scale

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/port"
)

var (
	domains = []string{"a", "b", "c", "d"}
	start   = time.Unix(1000, 0)
)

func service() *rules.Service {
	return &rules.Service{
		Name: "pool", Engine: &rules.Engine{Slots: 64},
		Scaling: &rules.Scaling{Min: 1, Max: 6, Prices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}},
	}
}

// cloud executes orders after a boot time. While scarce is set, it refuses
// reclaimable endpoints.
type cloud struct {
	now     time.Time
	running map[poolKey]int
	booting []boot
	scarce  bool
	orders  int
	// work is the demand for prompt processing, in seconds per second.
	work float64
}

type boot struct {
	k     poolKey
	count int
	at    time.Time
}

const bootTime = 4 * time.Second

func (c *cloud) endpoints() []registry.Endpoint {
	var list []registry.Endpoint
	for k, n := range c.running {
		for i := range n {
			list = append(list, registry.Endpoint{
				ID: fmt.Sprint(k, i), Service: "pool", Domain: k.domain, State: registry.Ready, Reclaimable: k.reclaimable,
			})
		}
	}
	return list
}

// step advances the time by half a second and plans once.
func (c *cloud) step(p *Planner, inFlight int) {
	c.now = c.now.Add(500 * time.Millisecond)
	var booting []boot
	for _, b := range c.booting {
		if b.at.After(c.now) {
			booting = append(booting, b)
			continue
		}
		c.running[b.k] = b.count
	}
	c.booting = booting
	orders := p.Plan(&Input{Now: c.now, Service: service(), Domains: domains, Endpoints: c.endpoints(), InFlight: inFlight, Work: c.work})
	for _, o := range orders {
		c.receive(p, o)
	}
}

func (c *cloud) receive(p *Planner, o port.CountOrder) {
	c.orders++
	k := poolKey{o.FailureDomain, o.Reclaimable}
	if o.Reclaimable && c.scarce && o.Count > c.running[k] {
		p.RecordRefusal(o, c.now)
		return
	}
	p.RecordOrder(o, c.now)
	if o.Count < c.running[k] {
		c.running[k] = o.Count
		return
	}
	c.booting = append(c.booting, boot{k, o.Count, c.now.Add(bootTime)})
}

func (c *cloud) total(reclaimable bool) int {
	n := 0
	for k, running := range c.running {
		if k.reclaimable == reclaimable {
			n += running
		}
	}
	return n
}

func newCloud() *cloud {
	c := &cloud{now: start, running: make(map[poolKey]int)}
	for _, d := range domains {
		c.running[poolKey{d, false}] = 3
	}
	return c
}

// Guards against paying for on-demand endpoints while reclaimable ones serve,
// and against removing on-demand endpoints before the reclaimable ones are
// ready.
func TestReclaimableEndpointsReplaceOnDemand(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	for range 60 {
		c.step(p, 40)
		g.Expect(c.total(true) + c.total(false)).To(BeNumerically(">=", 12))
	}
	g.Expect(c.total(true)).To(Equal(minPerDomain * len(domains)))
	g.Expect(c.total(false)).To(BeZero())
}

// Guards against a service without endpoints when one domain after another is
// reclaimed and the cloud refuses reclaimable endpoints, as on the calm day of
// the portfolio site.
func TestOnDemandReplacesRefusedReclaimable(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	for range 60 {
		c.step(p, 60)
	}
	c.scarce = true
	for i, d := range domains {
		c.running[poolKey{d, true}] = 0
		for range 12 {
			c.step(p, 60)
			g.Expect(c.total(true)+c.total(false)).To(BeNumerically(">=", 2), "after the loss of domain %d", i)
		}
	}
	g.Expect(c.total(false)).To(BeNumerically(">=", 4))
	c.scarce = false
	for range 80 {
		c.step(p, 60)
	}
	g.Expect(c.total(false)).To(BeZero())
}

// Guards against paying for on-demand endpoints after reclaimable ones are
// back. On-demand endpoints that stayed 5 s longer cost a tenth of the price of
// all endpoints of a calm day.
func TestOnDemandIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	for range 60 {
		c.step(p, 60)
	}
	g.Expect(c.total(false)).To(BeZero())
	for _, d := range domains {
		c.running[poolKey{d, false}] = 1
	}
	c.step(p, 60)
	c.step(p, 60)
	g.Expect(c.total(false)).To(BeZero())
}

// Guards against orders that follow each fluctuation of the load.
func TestSteadyLoadGivesNoOrders(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	for range 80 {
		c.step(p, 50)
	}
	before := c.orders
	for i := range 100 {
		c.step(p, 30+40*(i%2))
	}
	g.Expect(c.orders - before).To(BeNumerically("<=", 8))
}

// Guards against an order that is lost and never repeated.
func TestLostOrderIsRepeated(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	in := &Input{Service: service(), Domains: domains, Endpoints: c.endpoints(), InFlight: 40}
	seen := map[poolKey]int{}
	for i := range 40 {
		in.Now = start.Add(time.Duration(i) * 500 * time.Millisecond)
		for _, o := range p.Plan(in) {
			seen[poolKey{o.FailureDomain, o.Reclaimable}]++
			p.RecordOrder(o, in.Now)
		}
	}
	g.Expect(seen[poolKey{"a", true}]).To(BeNumerically(">=", 3))
}

// Guards against a plan that exceeds the limits of the service.
func TestLimits(t *testing.T) {
	g := NewWithT(t)
	p := New()
	in := &Input{Now: start, Service: service(), Domains: domains, InFlight: 5000}
	for i := range 20 {
		in.Now = start.Add(time.Duration(i) * time.Second)
		sum := map[string]int{}
		for _, o := range p.Plan(in) {
			sum[o.FailureDomain] += o.Count
		}
		for domain, n := range sum {
			g.Expect(n).To(BeNumerically("<=", 6), domain)
		}
	}
	g.Expect(New().Plan(&Input{Now: start, Service: &rules.Service{}, Domains: domains})).To(BeEmpty())
}

// Guards against reducing a large fleet to the least number before the first
// requests arrive. On the grown calendar site 60 endpoints became 20, and the
// first seconds of a calm day earned only 0.7 of the worth.
func TestInitialFleetStaysUntilLoadIsKnown(t *testing.T) {
	g := NewWithT(t)
	c := &cloud{now: start, running: map[poolKey]int{}}
	for _, domain := range domains {
		c.running[poolKey{domain, false}] = 6
	}
	p := New()
	for range 40 {
		c.step(p, 0)
	}
	g.Expect(largestMarketCount(c.running)).To(Equal(24))
	for range 39 {
		c.step(p, 2)
	}
	g.Expect(largestMarketCount(c.running)).To(Equal(24))
	for range 60 {
		c.step(p, 2)
	}
	g.Expect(largestMarketCount(c.running)).To(Equal(minPerDomain*len(domains)), "the learning time is over")
}

// Guards against a fleet that is far too small when the first requests arrive.
// On a scale day of the grown portfolio site, 16 endpoints received 1,000
// requests per second.
func TestWorkspaceLimitsSizeInitialFleet(t *testing.T) {
	g := NewWithT(t)
	in := &Input{Now: start, Service: service(), Domains: domains, LimitTokensPerS: 1_100_000, Endpoints: (&cloud{running: map[poolKey]int{{"a", true}: 1}}).endpoints()}
	p := New()
	for _, order := range p.Plan(in) {
		if order.Reclaimable {
			g.Expect(order.Count).To(Equal(4), order.FailureDomain)
		}
	}
	in.LimitTokensPerS, in.Now = 1_200_000, start.Add(time.Second)
	for _, order := range p.Plan(in) {
		if order.Reclaimable {
			g.Expect(order.Count).To(Equal(5), order.FailureDomain)
		}
	}
}

// Guards against a plan that counts requests only. Engines with many slots that process
// prompts slowly have few requests in flight until their prompts queue up: 12 endpoints
// were planned for prompts that keep 3.5 of them busy, and every reclaim made requests late.
func TestPromptWorkSizesTheFleet(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	c.work = 3.5
	for range 80 {
		c.step(p, 45)
	}
	busy := c.work / float64(c.total(true)+c.total(false))
	g.Expect(busy).To(BeNumerically("<=", targetPrefillShare/burstFactor))
	c.work = 0.2
	for range 80 {
		c.step(p, 45)
	}
	g.Expect(c.total(true)).To(Equal(minPerDomain * len(domains)))
}

// Guards against losing one domain after the other faster than on-demand endpoints start.
// The plan then has to expect the next losses when it sees the first ones.
func TestSeriesOfReclaims(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	c.work = 5
	for range 80 {
		c.step(p, 60)
	}
	load := int(math.Ceil(c.work / targetPrefillShare))
	g.Expect(c.total(true)).To(BeNumerically(">=", 2*load))
	c.scarce = true
	for i, d := range domains[:3] {
		c.running[poolKey{d, true}] = 0
		for range 6 {
			c.step(p, 60)
			g.Expect(c.total(true)+c.total(false)).To(BeNumerically(">=", load), "after the loss of domain %d", i)
		}
	}
}

// Guards against endpoints that an order removes and that count as reclaimed, because the cloud refused a later order of the
// same pool.
func TestRefusalDoesNotHideAnEarlierOrder(t *testing.T) {
	g := NewWithT(t)
	p, k := New(), poolKey{"a", true}
	in := &Input{Now: start, Service: service(), Domains: domains}
	p.ready["a"] = 6
	p.RecordOrder(port.CountOrder{Service: "pool", FailureDomain: "a", Count: 2, Reclaimable: true}, start)
	p.RecordRefusal(port.CountOrder{Service: "pool", FailureDomain: "a", Count: 6, Reclaimable: true}, start.Add(time.Second))
	in.Now = start.Add(2 * time.Second)
	p.noteReclaims(in, map[poolKey]int{k: 2})
	g.Expect(p.reclaimedDomains(in.Now)).To(BeZero())
}
