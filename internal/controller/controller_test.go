package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/cloud"
	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/fleet"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

func tokens(vms []cloud.VM) []string {
	var list []string
	for _, vm := range vms {
		list = append(list, vm.ClientToken)
	}
	slices.Sort(list)
	return list
}

var _ = Describe("The controller", func() {
	// Guards against duplicated or orphaned VMs when a controller dies before it
	// sends an order or before it receives the outcome, for each order of the first
	// start of a fleet.
	It("leaves no duplicated or orphaned VM when killed at any order", func() {
		reference := newRig()
		first, referenceLink := reference.controller("a")
		reference.converge(first)
		wanted := tokens(reference.cloud.VMs())
		Expect(wanted).NotTo(BeEmpty())
		starts := len(wanted)
		for orderNumber := 1; orderNumber <= 2*starts; orderNumber++ {
			for _, after := range []bool{false, true} {
				r := newRig()
				dying, l := r.controller("a")
				ctx, kill := context.WithCancel(context.Background())
				l.killAt, l.killAfter, l.kill = orderNumber, after, kill
				dying.Round(ctx)
				r.advance(takeoverWait(testTimeout))
				for deadline := time.Now().Add(5 * time.Second); ctx.Err() == nil && time.Now().Before(deadline); {
					dying.Round(ctx)
					time.Sleep(5 * time.Millisecond)
				}
				Expect(ctx.Err()).To(HaveOccurred(), "order %d of %d was not reached", orderNumber, referenceLink.ordersGiven)
				r.advance(5 * testTimeout)
				next, _ := r.controller("b")
				r.converge(next)
				// Starting from a partial fleet, the planner may choose other pools
				// at a price within its hysteresis, but every started VM must be used.
				label := fmt.Sprintf("killed at order %d, after=%t", orderNumber, after)
				remaining := tokens(r.cloud.VMs())
				Expect(slices.Compact(slices.Clone(remaining))).To(Equal(remaining), label)
				Expect(r.started).To(Equal(len(remaining)), label)
				Expect(next.cost).To(BeNumerically("<=", first.cost/0.9), label)
				for _, name := range remaining {
					t, owned := parseToken(name)
					Expect(owned).To(BeTrue(), label)
					if t.ordinal--; t.ordinal >= 0 {
						Expect(remaining).To(ContainElement(t.String()), label)
					}
				}
				r.close()
			}
		}
	})

	// Guards against two controllers that give orders at the same time, and against
	// endpoints that still execute the orders of a former holder.
	It("gives no order when the lease ends too soon, and is refused with an old fencing number", func() {
		r := newRig()
		old, oldLink := r.controller("a")
		r.converge(old)
		number := old.currentLease().fencing
		Expect(old.renew(context.Background())).To(BeTrue())
		oldLink.ledgerDown = true
		r.promote("next")
		r.advance(3*testTimeout + testTimeout/10) // less than one order timeout is left
		ordersGiven := oldLink.ordersGiven
		old.Round(context.Background())
		Expect(oldLink.ordersGiven).To(Equal(ordersGiven))

		next, _ := r.controller("b")
		next.Round(context.Background())
		Expect(next.currentLease().held).To(BeFalse())
		r.advance(testTimeout)
		r.converge(next)
		Expect(next.currentLease().fencing).To(BeNumerically(">", number))

		// The old holder was paused and does not know that its lease has ended.
		old.lease.expiresAt = r.now().Add(time.Minute)
		old.lease.renewAt = old.lease.expiresAt
		e := r.List()[0]
		step := fleet.Step{Kind: fleet.StepDrain, VM: e.VM}
		_, err := old.executeStep(context.Background(), &observation{}, &step, e)
		var leaseErr *LeaseError
		Expect(errors.As(err, &leaseErr)).To(BeTrue())
		Expect(r.engine(e.VM).State()).To(Equal(endpoint.StateReady))
		Expect(old.currentLease().held).To(BeFalse())
	})

	// Guards against overlapping orders of two holders at an endpoint that executes
	// both, because it ignores fencing numbers.
	It("waits for the orders of the former holder where fencing numbers are ignored", func() {
		r := newRig()
		r.fencing = endpoint.FencingIgnored
		first, _ := r.controller("a")
		r.converge(first)
		r.promote("next")
		r.advance(5 * testTimeout)
		next, l := r.controller("b")
		next.Round(context.Background())
		Expect(next.currentLease().held).To(BeTrue())
		Expect(next.plan).NotTo(BeEmpty())
		Expect(l.ordersGiven).To(BeZero())
		r.advance(takeoverWait(testTimeout))
		next.Round(context.Background())
		Expect(l.ordersGiven).To(BeNumerically(">", 0))
	})

	// Guards against a controller that repeats refused starts instead of using another
	// pool, and against a lost answer that leads to a second VM.
	It("uses other pools when starts are refused", func() {
		r := newRig()
		c, l := r.controller("a")
		for _, domain := range r.doc.Fleet.Domains[:3] {
			r.cloud.RefuseStarts(domain.FailureDomain, "", false, -1)
		}
		r.cloud.DropStartAnswers(2)
		r.converge(c)
		for _, vm := range r.cloud.VMs() {
			Expect(vm.FailureDomain).To(Equal(r.doc.Fleet.Domains[3].FailureDomain))
		}
		Expect(tokens(r.cloud.VMs())).To(Equal(slices.Compact(tokens(r.cloud.VMs()))))
		refused := 0
		for _, step := range c.history.list(r.now()) {
			if strings.HasPrefix(step.Outcome, "failed") && step.FailureDomain != r.doc.Fleet.Domains[3].FailureDomain {
				refused++
			}
		}
		pools := 3 * 2 * len(r.doc.Fleet.Classes)
		Expect(refused).To(BeNumerically("<=", pools), "each pool gets one start request within its backoff")
		Expect(l.ordersGiven).To(BeNumerically(">", refused))
	})

	// Guards against a version change that never completes, or a fleet that is not
	// refilled, when half of it is reclaimed during the change.
	It("refills the fleet when half of it is reclaimed during a version change", func() {
		r := newRig()
		c, _ := r.controller("a")
		r.converge(c)
		before := len(r.cloud.VMs())
		r.promote("next")
		c.Round(context.Background())
		r.cloud.ReclaimShare(0.5, 50*time.Millisecond)
		r.converge(c)
		Expect(len(r.cloud.VMs())).To(BeNumerically(">=", before-1))
		fleetNow, err := c.Fleet(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(fleetNow.History).NotTo(BeEmpty())
		Expect(fleetNow.CostPerHour).To(BeNumerically(">", 0))
	})

	// Guards against ordering more loads than a slow weight store can deliver, and
	// against loads that are never ordered again.
	It("limits the loads in progress while the weight store is slow", func() {
		r := newRig()
		store := &slowStore{release: make(chan struct{})}
		r.weights = store
		c, l := r.controller("a")
		c.Round(context.Background())
		r.advance(takeoverWait(testTimeout))
		for range 20 {
			c.Round(context.Background())
			time.Sleep(10 * time.Millisecond)
		}
		Expect(len(r.cloud.VMs())).To(BeNumerically(">", 4))
		Expect(c.loading).To(HaveLen(4), "the store delivers four models per minute")
		Expect(l.loadOrders()).To(Equal(4))
		r.advance(loadRetryDelay)
		c.Round(context.Background())
		Expect(l.loadOrders()).To(Equal(8))
		close(store.release)
		r.converge(c)
	})

	// Guards against stopping VMs that serve behind a partition, even if the demand
	// falls.
	It("stops no VM of a failure domain without a known endpoint", func() {
		r := newRig()
		c, _ := r.controller("a")
		r.converge(c)
		before := r.cloud.VMs()
		withLock(r, func() bool { r.announcementsHidden, r.demand = true, nil; return true })
		for range 4 {
			c.Round(context.Background())
			r.advance(missingEndpointTimeout)
		}
		Expect(c.history.list(r.now())).To(ContainElement(HaveField("Outcome", outcomeUnreachable)))
		Expect(r.cloud.VMs()).To(ContainElements(before))
	})

	// Guards against a controller that waits for the next interval after a reclaim
	// notice, and against one that keeps the lease after it has stopped.
	It("reacts to a reclaim notice and releases the lease when it stops", func() {
		r := newRig()
		first, _ := r.controller("a")
		r.converge(first)
		r.advance(5 * testTimeout)
		c, _ := r.controller("b")
		c.options.Interval = time.Hour
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); c.Run(ctx) }()
		Eventually(func() bool { return c.currentLease().held }).Should(BeTrue())
		r.advance(takeoverWait(testTimeout))
		startedBefore := r.startedVMs()
		r.cloud.ReclaimShare(1, 50*time.Millisecond)
		Eventually(r.startedVMs, 5*time.Second).Should(BeNumerically(">", startedBefore))
		cancel()
		Eventually(done, 5*time.Second).Should(BeClosed())
		Expect(r.holder).To(BeEmpty())
	})

	// Guards against client tokens that do not identify one model, pool and ordinal,
	// and against claiming VMs that other programs started.
	It("parses its own client tokens and rejects others", func() {
		t := token{model: "a/b c", pool: fleet.Pool{FailureDomain: "d-1", Class: "x/y", Reclaimable: true}, ordinal: 7}
		parsed, owned := parseToken(t.String())
		Expect(owned).To(BeTrue())
		Expect(parsed).To(Equal(t))
		for _, foreign := range []string{"", "other", "boragelead/m/d/c/spot/1", "boragelead/m/d/c/on-demand/x"} {
			_, owned = parseToken(foreign)
			Expect(owned).To(BeFalse(), foreign)
		}
	})

	// Guards against an unbounded history and a wrong order.
	It("keeps a bounded history, newest first", func() {
		var h history
		start := time.Now()
		for i := range 3 * maxHistorySteps {
			h.add(fleetStep(&fleet.Step{VM: fmt.Sprint(i)}), start.Add(time.Duration(i)*time.Second))
		}
		list := h.list(start.Add(3 * maxHistorySteps * time.Second))
		Expect(list).To(HaveLen(maxHistorySteps))
		Expect(list[0].Endpoint).To(Equal(fmt.Sprint(3*maxHistorySteps - 1)))
		Expect(list[0].AgeS).To(BeNumerically("==", 1))
	})
})

// promote installs a document with another version of the models.
func (r *rig) promote(version string) {
	doc := *r.config.Current().Document
	doc.Models = append([]conf.Model(nil), doc.Models...)
	for i := range doc.Models {
		doc.Models[i].Version = version
	}
	r.config.Install(r.config.Current().Generation+1, &doc, version, time.Now())
}

func (r *rig) startedVMs() int { return withLock(r, func() int { return r.started }) }

// slowStore is a weight store that delivers nothing until release is closed.
type slowStore struct{ release chan struct{} }

func (s *slowStore) Fetch(ctx context.Context, _, _, _ string) (int64, error) {
	select {
	case <-s.release:
		return 1, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (l *faultyLink) loadOrders() int {
	other := func(o endpoint.Order) bool { return o.Kind != endpoint.OrderLoadModel }
	return len(slices.DeleteFunc(slices.Clone(l.orders), other))
}
