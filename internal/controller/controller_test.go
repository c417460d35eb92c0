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
	// Guards against doubled or orphaned VMs when a controller dies before an
	// order or before it learns the outcome, at each order of a first start.
	It("leaves nothing doubled or orphaned when killed at any order", func() {
		whole := newRig()
		first, counted := whole.controller("a")
		whole.settle(first)
		wanted := tokens(whole.cloud.VMs())
		Expect(wanted).NotTo(BeEmpty())
		starts := len(wanted)
		for at := 1; at <= 2*starts; at++ {
			for _, after := range []bool{false, true} {
				r := newRig()
				dying, l := r.controller("a")
				ctx, kill := context.WithCancel(context.Background())
				l.killAt, l.killAfter, l.kill = at, after, kill
				dying.Round(ctx)
				r.advance(takeoverWait(testTimeout))
				for deadline := time.Now().Add(5 * time.Second); ctx.Err() == nil && time.Now().Before(deadline); {
					dying.Round(ctx)
					time.Sleep(5 * time.Millisecond)
				}
				Expect(ctx.Err()).To(HaveOccurred(), "order %d of %d was not reached", at, counted.given)
				r.advance(5 * testTimeout)
				next, _ := r.controller("b")
				r.settle(next)
				// From a partial fleet the planner may choose other pools at a
				// price within its hysteresis; no VM may be started in vain.
				label := fmt.Sprintf("killed at order %d, after=%t", at, after)
				left := tokens(r.cloud.VMs())
				Expect(slices.Compact(slices.Clone(left))).To(Equal(left), label)
				Expect(r.started).To(Equal(len(left)), label)
				Expect(next.cost).To(BeNumerically("<=", first.cost/0.9), label)
				for _, name := range left {
					t, ours := parseToken(name)
					Expect(ours).To(BeTrue(), label)
					if t.ordinal--; t.ordinal >= 0 {
						Expect(left).To(ContainElement(t.String()), label)
					}
				}
				r.close()
			}
		}
	})

	// Guards against two controllers giving orders at once, and against an old
	// holder whose orders are still obeyed.
	It("stops orders before the lease ends and is refused with an old fencing number", func() {
		r := newRig()
		old, isolated := r.controller("a")
		r.settle(old)
		number := old.current().fencing
		Expect(old.renew(context.Background())).To(BeTrue())
		isolated.noLedger = true
		r.promote("next")
		r.advance(3*testTimeout + testTimeout/10) // one order timeout no longer fits
		given := isolated.given
		old.Round(context.Background())
		Expect(isolated.given).To(Equal(given))

		next, _ := r.controller("b")
		next.Round(context.Background())
		Expect(next.current().held).To(BeFalse())
		r.advance(testTimeout)
		r.settle(next)
		Expect(next.current().fencing).To(BeNumerically(">", number))

		// The old holder was paused and believes that its lease lasts.
		old.lease.expires = r.now().Add(time.Minute)
		old.lease.renewAt = old.lease.expires
		e := r.List()[0]
		step := fleet.Step{Kind: fleet.StepDrain, VM: e.VM}
		_, err := old.execute(context.Background(), &observed{}, &step, e)
		var lost *LeaseError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(r.engine(e.VM).State()).To(Equal(endpoint.StateReady))
		Expect(old.current().held).To(BeFalse())
	})

	// Guards against orders of two holders that overlap at an endpoint which
	// obeys both.
	It("waits for the orders of the former holder where fencing numbers are ignored", func() {
		r := newRig()
		r.fencing = endpoint.FencingIgnored
		first, _ := r.controller("a")
		r.settle(first)
		r.promote("next")
		r.advance(5 * testTimeout)
		next, l := r.controller("b")
		next.Round(context.Background())
		Expect(next.current().held).To(BeTrue())
		Expect(next.plan).NotTo(BeEmpty())
		Expect(l.given).To(BeZero())
		r.advance(takeoverWait(testTimeout))
		next.Round(context.Background())
		Expect(l.given).To(BeNumerically(">", 0))
	})

	// Guards against a controller that repeats refused starts instead of taking
	// another pool, and against a lost answer that doubles a VM.
	It("takes other pools in a wave of refusals", func() {
		r := newRig()
		c, l := r.controller("a")
		for _, domain := range r.doc.Fleet.Domains[:3] {
			r.cloud.RefuseStarts(domain.FailureDomain, "", false, -1)
		}
		r.cloud.LoseStartAnswers(2)
		r.settle(c)
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
		Expect(refused).To(BeNumerically("<=", pools), "each pool is asked once within its backoff")
		Expect(l.given).To(BeNumerically(">", refused))
	})

	// Guards against a version change that gets stuck, or a fleet that is not
	// refilled, when half of it is reclaimed on the way.
	It("refills the fleet when half of it is reclaimed during a version change", func() {
		r := newRig()
		c, _ := r.controller("a")
		r.settle(c)
		before := len(r.cloud.VMs())
		r.promote("next")
		c.Round(context.Background())
		r.cloud.ReclaimWave(0.5, 50*time.Millisecond)
		r.settle(c)
		Expect(len(r.cloud.VMs())).To(BeNumerically(">=", before-1))
		fleetNow, err := c.Fleet(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(fleetNow.History).NotTo(BeEmpty())
		Expect(fleetNow.CostPerHour).To(BeNumerically(">", 0))
	})

	// Guards against more loads than the weight store delivers, and against
	// loads that are never ordered again, when the store is slow.
	It("keeps few loads in progress while the weight store is slow", func() {
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
		Expect(c.loading).To(HaveLen(4), "the store delivers four models in a minute")
		Expect(l.loads()).To(Equal(4))
		r.advance(loadRepeat)
		c.Round(context.Background())
		Expect(l.loads()).To(Equal(8))
		close(store.release)
		r.settle(c)
	})

	// Guards against a controller that stops serving VMs because a partition
	// hides their endpoints, also when less is needed.
	It("stops no VM of a failure domain that it does not hear", func() {
		r := newRig()
		c, _ := r.controller("a")
		r.settle(c)
		before := r.cloud.VMs()
		locked(r, func() bool { r.hidden, r.demand = true, nil; return true })
		for range 4 {
			c.Round(context.Background())
			r.advance(silentBound)
		}
		Expect(c.history.list(r.now())).To(ContainElement(HaveField("Outcome", outcomeUnheard)))
		Expect(r.cloud.VMs()).To(ContainElements(before))
	})

	// Guards against a loop that keeps the lease after its end or sleeps through
	// a reclaim notice.
	It("reacts to a notice and releases the lease at its end", func() {
		r := newRig()
		first, _ := r.controller("a")
		r.settle(first)
		r.advance(5 * testTimeout)
		c, _ := r.controller("b")
		c.options.Interval = time.Hour
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); c.Run(ctx) }()
		Eventually(func() bool { return c.current().held }).Should(BeTrue())
		r.advance(takeoverWait(testTimeout))
		begun := r.startedVMs()
		r.cloud.ReclaimWave(1, 50*time.Millisecond)
		Eventually(r.startedVMs, 5*time.Second).Should(BeNumerically(">", begun))
		cancel()
		Eventually(ended, 5*time.Second).Should(BeClosed())
		Expect(r.holder).To(BeEmpty())
	})

	// Guards against a token that another model or pool could also have.
	It("reads its client tokens back and no others", func() {
		t := token{model: "a/b c", pool: fleet.Pool{FailureDomain: "d-1", Class: "x/y", Reclaimable: true}, ordinal: 7}
		read, ours := parseToken(t.String())
		Expect(ours).To(BeTrue())
		Expect(read).To(Equal(t))
		for _, foreign := range []string{"", "other", "boragelead/m/d/c/spot/1", "boragelead/m/d/c/on-demand/x"} {
			_, ours = parseToken(foreign)
			Expect(ours).To(BeFalse(), foreign)
		}
	})

	// Guards against a history without bound or in the wrong order.
	It("bounds its history, newest first", func() {
		var h history
		begin := time.Now()
		for i := range 3 * historySteps {
			h.add(shown(&fleet.Step{VM: fmt.Sprint(i)}), begin.Add(time.Duration(i)*time.Second))
		}
		list := h.list(begin.Add(3 * historySteps * time.Second))
		Expect(list).To(HaveLen(historySteps))
		Expect(list[0].Endpoint).To(Equal(fmt.Sprint(3*historySteps - 1)))
		Expect(list[0].AgeS).To(BeNumerically("==", 1))
	})
})

// promote puts a document with another version of the models in force.
func (r *rig) promote(version string) {
	doc := *r.config.Current().Document
	doc.Models = append([]conf.Model(nil), doc.Models...)
	for i := range doc.Models {
		doc.Models[i].Version = version
	}
	r.config.Install(r.config.Current().Generation+1, &doc, version, time.Now())
}

func (r *rig) startedVMs() int { return locked(r, func() int { return r.started }) }

// slowStore delivers nothing until it is released.
type slowStore struct{ release chan struct{} }

func (s *slowStore) Fetch(ctx context.Context, _, _, _ string) (int64, error) {
	select {
	case <-s.release:
		return 1, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (l *link) loads() int {
	other := func(o endpoint.Order) bool { return o.Kind != endpoint.OrderLoadModel }
	return len(slices.DeleteFunc(slices.Clone(l.orders), other))
}
