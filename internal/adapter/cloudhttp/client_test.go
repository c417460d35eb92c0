package cloudhttp

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/cloud"
	"github.com/boragelead/boragelead/internal/port"
	standin "github.com/boragelead/boragelead/standin/cloud"
)

func TestCloudHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cloudhttp")
}

// eventLog records the events that the callbacks report.
type eventLog struct {
	mu   sync.Mutex
	list []string
}

func (e *eventLog) add(kind string, vm cloud.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, kind+" "+vm.ID)
}

func (e *eventLog) all() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.list...)
}

var _ = Describe("cloud API", func() {
	ctx := context.Background()
	start := func() (*standin.Cloud, *Client, *eventLog) {
		seen := &eventLog{}
		c, err := standin.Start(standin.Config{
			Prices: []cloud.Price{
				{FailureDomain: "a", Class: "l4", OnDemand: 1, Reclaimable: 0.3},
				{FailureDomain: "b", Class: "l4", OnDemand: 2, Reclaimable: 0.6},
			},
			StartTime: 100 * time.Millisecond, TimeScale: 0.1, MaxVMs: 3,
			Callbacks: standin.Callbacks{
				Started: func(vm cloud.VM) { seen.add("started", vm) },
				Noticed: func(vm cloud.VM, _ time.Duration) { seen.add("noticed", vm) },
				Stopped: func(vm cloud.VM) { seen.add("stopped", vm) },
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		return c, NewClient(c.BaseURL()), seen
	}
	request := func(token, domain string) cloud.StartRequest {
		return cloud.StartRequest{ClientToken: token, FailureDomain: domain, Class: "l4", Reclaimable: true}
	}
	code := func(err error) cloud.ErrorCode {
		var refused *port.CloudRefusedError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		return refused.Body.Code
	}

	It("starts no second VM if a start is repeated after its response was lost", func() {
		c, client, seen := start()
		c.DropStartAnswers(1)
		_, err := client.StartVM(ctx, request("t", "a"))
		var failed *port.TransportError
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(failed.Sent).To(BeTrue())
		vm, err := client.StartVM(ctx, request("t", "a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.VMs()).To(HaveLen(1))
		Expect(code(errorOf(client.StartVM(ctx, request("t", "b"))))).To(Equal(cloud.CodeTokenReused))
		Eventually(seen.all).Should(Equal([]string{"started " + vm.ID}))
		Expect(client.StopVM(ctx, vm.ID)).To(Succeed())
		Expect(client.StopVM(ctx, vm.ID)).To(Succeed())
		Expect(seen.all()).To(Equal([]string{"started " + vm.ID, "stopped " + vm.ID}))
		Expect(code(client.StopVM(ctx, "other"))).To(Equal(cloud.CodeNotFound))
	})

	It("returns a distinct error code for each kind of refused start and starts no VM", func() {
		c, client, _ := start()
		c.RefuseStarts("a", "", true, 1)
		Expect(code(errorOf(client.StartVM(ctx, request("1", "a"))))).To(Equal(cloud.CodeNoCapacity))
		Expect(code(errorOf(client.StartVM(ctx, request("", "a"))))).To(Equal(cloud.CodeBadRequest))
		for _, token := range []string{"1", "2", "3"} {
			Expect(errorOf(client.StartVM(ctx, request(token, "a")))).NotTo(HaveOccurred())
		}
		Expect(code(errorOf(client.StartVM(ctx, request("4", "a"))))).To(Equal(cloud.CodeLimit))
		Expect(client.ListVMs(ctx)).To(HaveLen(3))
	})

	It("delivers each notice once, in time and for the right VMs, and stops these VMs", func() {
		c, client, seen := start()
		for token, domain := range map[string]string{"1": "a", "2": "a", "3": "b"} {
			Expect(errorOf(client.StartVM(ctx, request(token, domain)))).NotTo(HaveOccurred())
		}
		onDemand := request("4", "a")
		onDemand.Reclaimable = false
		Expect(errorOf(client.StartVM(ctx, onDemand))).NotTo(HaveOccurred())
		Eventually(seen.all).Should(HaveLen(4))
		time.AfterFunc(50*time.Millisecond, func() { c.ReclaimDomain("a", 300*time.Millisecond) })
		startTime := time.Now()
		list, err := client.Notices(ctx, 0, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(startTime)).To(BeNumerically("<", time.Second))
		Expect(list.Notices).To(HaveLen(2))
		Expect(list.Notices[0].DeadlineMS).To(BeNumerically("~", 300, 100))
		again, err := client.Notices(ctx, list.Last, 20*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(And(HaveField("Notices", BeEmpty()), HaveField("Epoch", list.Epoch)))
		Eventually(c.VMs).Should(HaveLen(2))
	})

	It("reflects price changes and stopped VMs in the cost", func() {
		c, client, _ := start()
		startTime := time.Now()
		vm, err := client.StartVM(ctx, request("1", "a"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		before := c.Cost() * 3600
		Expect(before).To(BeNumerically(">=", 0.3*0.05*10))
		Expect(before).To(BeNumerically("<=", 0.3*time.Since(startTime).Seconds()*10))
		c.RunScript([]standin.Step{{After: 10 * time.Millisecond, Do: func(c *standin.Cloud) {
			c.SetPrice(cloud.Price{FailureDomain: "a", Class: "l4", OnDemand: 1, Reclaimable: 30})
		}}})
		Eventually(func() float64 { return c.Cost() * 3600 }).Should(BeNumerically(">", 10))
		Expect(client.StopVM(ctx, vm.ID)).To(Succeed())
		after := c.Cost()
		time.Sleep(20 * time.Millisecond)
		Expect(c.Cost()).To(Equal(after))
		Expect(client.Prices(ctx)).To(ContainElement(HaveField("Reclaimable", 30.0)))
	})
})

func errorOf(_ cloud.VM, err error) error { return err }
