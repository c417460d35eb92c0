package scale

import (
	"fmt"
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

// cloud carries orders out after a boot time, unless none are to be had.
type cloud struct {
	t       time.Time
	running map[key]int
	booting []boot
	scarce  bool
	orders  int
}

type boot struct {
	k     key
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

// step plans once and lets half a second pass.
func (c *cloud) step(p *Planner, inFlight int) {
	c.t = c.t.Add(500 * time.Millisecond)
	var booting []boot
	for _, b := range c.booting {
		if b.at.After(c.t) {
			booting = append(booting, b)
			continue
		}
		c.running[b.k] = b.count
	}
	c.booting = booting
	orders := p.Plan(&Input{Now: c.t, Service: service(), Domains: domains, Endpoints: c.endpoints(), InFlight: inFlight})
	for _, o := range orders {
		c.take(p, o)
	}
}

func (c *cloud) take(p *Planner, o port.CountOrder) {
	c.orders++
	k := key{o.FailureDomain, o.Reclaimable}
	if o.Reclaimable && c.scarce && o.Count > c.running[k] {
		p.Refused(o, c.t)
		return
	}
	p.Ordered(o, c.t)
	if o.Count < c.running[k] {
		c.running[k] = o.Count
		return
	}
	c.booting = append(c.booting, boot{k, o.Count, c.t.Add(bootTime)})
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
	c := &cloud{t: start, running: make(map[key]int)}
	for _, d := range domains {
		c.running[key{d, false}] = 3
	}
	return c
}

// Guards against paying for on-demand endpoints while reclaimable ones serve,
// and against letting them go before the others are there.
func TestReclaimableEndpointsReplaceOthers(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	for range 60 {
		c.step(p, 40)
		g.Expect(c.total(true) + c.total(false)).To(BeNumerically(">=", 12))
	}
	g.Expect(c.total(true)).To(Equal(perDomain * len(domains)))
	g.Expect(c.total(false)).To(BeZero())
}

// Guards against a service without endpoints when domain after domain is
// reclaimed and none are to be had, as on the calm day of the portfolio site.
func TestOnDemandStandsIn(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	for range 60 {
		c.step(p, 60)
	}
	c.scarce = true
	for i, d := range domains {
		c.running[key{d, true}] = 0
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

// Guards against paying for on-demand endpoints after reclaimable ones are back:
// they stayed 5 s longer, for a tenth of the price of endpoints of a calm day.
func TestOnDemandGoesAtOnce(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	for range 60 {
		c.step(p, 60)
	}
	g.Expect(c.total(false)).To(BeZero())
	for _, d := range domains {
		c.running[key{d, false}] = 1
	}
	c.step(p, 60)
	c.step(p, 60)
	g.Expect(c.total(false)).To(BeZero())
}

// Guards against orders that swing with each look at the load.
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

// Guards against an order that was lost and never given again.
func TestLostOrderIsRepeated(t *testing.T) {
	g := NewWithT(t)
	c, p := newCloud(), New()
	in := &Input{Service: service(), Domains: domains, Endpoints: c.endpoints(), InFlight: 40}
	seen := map[key]int{}
	for i := range 40 {
		in.Now = start.Add(time.Duration(i) * 500 * time.Millisecond)
		for _, o := range p.Plan(in) {
			seen[key{o.FailureDomain, o.Reclaimable}]++
			p.Ordered(o, in.Now)
		}
	}
	g.Expect(seen[key{"a", true}]).To(BeNumerically(">=", 3))
}

// Guards against a plan beyond the limits of the service.
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

// Guards against a large fleet that is taken down to the least number before
// the first requests come: on the grown calendar site 60 endpoints became 20,
// and the first seconds of a calm day served 0.7 of the worth.
func TestFoundFleetStaysUntilLoadIsKnown(t *testing.T) {
	g := NewWithT(t)
	c := &cloud{t: start, running: map[key]int{}}
	for _, domain := range domains {
		c.running[key{domain, false}] = 6
	}
	p := New()
	for range 40 {
		c.step(p, 0)
	}
	g.Expect(largestKind(c.running)).To(Equal(24))
	for range 39 {
		c.step(p, 2)
	}
	g.Expect(largestKind(c.running)).To(Equal(24))
	for range 60 {
		c.step(p, 2)
	}
	g.Expect(largestKind(c.running)).To(Equal(perDomain*len(domains)), "the load is known now")
}

// Guards against a fleet that is far too small when the first requests come: on
// a scale day of the grown portfolio site 16 endpoints met 1,000 requests a second.
func TestLimitsOfWorkspacesSuggestTheFirstFleet(t *testing.T) {
	g := NewWithT(t)
	in := &Input{Now: start, Service: service(), Domains: domains, LimitTokensPerS: 1_100_000, Endpoints: (&cloud{running: map[key]int{{"a", true}: 1}}).endpoints()}
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
