package controller

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/cloud"
	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/cloudhttp"
	"github.com/boragelead/boragelead/internal/adapter/enginehttp"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/fleet"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
	standincloud "github.com/boragelead/boragelead/standin/cloud"
	"github.com/boragelead/boragelead/standin/engine"
)

const testTimeout = time.Second

var errCut = errors.New("cut")

// rig is a cloud whose VMs run stand-in engines that announce to it.
type rig struct {
	cloud   *standincloud.Cloud
	entry   *httptest.Server
	config  *conf.Store
	doc     *conf.Document
	fencing endpoint.FencingMode
	weights engine.Weights

	mu        sync.Mutex
	offset    time.Duration
	engines   map[string]*engine.Engine
	announced map[string]*member.Endpoint
	demand    []fleet.Demand
	// hidden cuts the announcements off.
	hidden  bool
	holder  string
	expires time.Time
	number  uint64
	started int
}

func newRig() *rig {
	r := &rig{
		config: conf.NewStore(), doc: new(conf.Document), fencing: endpoint.FencingEnforced,
		engines: map[string]*engine.Engine{}, announced: map[string]*member.Endpoint{},
	}
	data, err := os.ReadFile("../../examples/portfolio.json")
	Expect(err).NotTo(HaveOccurred())
	Expect(json.Unmarshal(data, r.doc)).To(Succeed())
	r.doc.Models = r.doc.Models[:1]
	r.doc.Fleet.WeightStoreBytesPerS = 4*r.doc.Models[0].WeightBytes/60 + 1
	r.config.Install(1, r.doc, "1", time.Now())
	r.demand = []fleet.Demand{{Model: r.doc.Models[0].Name, Tokens: 1500, Urgent: 300}}
	r.entry = httptest.NewServer(http.HandlerFunc(r.serve))
	prices := []cloud.Price{}
	for _, d := range r.doc.Fleet.Domains {
		for _, class := range d.Classes {
			prices = append(prices, cloud.Price{FailureDomain: d.FailureDomain, Class: class.Class, OnDemand: class.OnDemand, Reclaimable: class.Reclaimable})
		}
	}
	r.cloud, err = standincloud.Start(standincloud.Config{Prices: prices, Seed: 1, Callbacks: standincloud.Callbacks{
		Started: r.boot, Stopped: r.crash,
		Noticed: func(vm cloud.VM, deadline time.Duration) { r.engine(vm.ID).ReclaimNotice(deadline) },
	}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(r.close)
	return r
}

func (r *rig) close() {
	r.cloud.Close()
	for _, e := range locked(r, func() map[string]*engine.Engine { e := r.engines; r.engines = nil; return e }) {
		e.Close()
	}
	r.entry.CloseClientConnections()
	r.entry.Close()
}

func (r *rig) boot(vm cloud.VM) {
	e, err := engine.Start(engine.Config{
		ID: "e-" + vm.ID, VM: vm.ID, FailureDomain: vm.FailureDomain, Class: vm.Class, Reclaimable: vm.Reclaimable,
		Fencing: r.fencing, Entries: []string{r.entry.URL}, AnnounceInterval: 20 * time.Millisecond, Weights: r.weights,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && r.engines != nil {
		r.engines[vm.ID] = e
		r.started++
	}
}

func (r *rig) crash(vm cloud.VM) {
	e := r.engine(vm.ID)
	r.mu.Lock()
	delete(r.engines, vm.ID)
	r.mu.Unlock()
	if e != nil {
		e.Crash()
	}
}

func (r *rig) engine(vm string) *engine.Engine {
	return locked(r, func() *engine.Engine { return r.engines[vm] })
}

// serve receives announcements.
func (r *rig) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == endpoint.PathAnnounce {
		e := new(member.Endpoint)
		if json.NewDecoder(req.Body).Decode(&e.Announcement) == nil {
			r.mu.Lock()
			r.announced[e.VM] = e
			r.mu.Unlock()
		}
	}
	_, _ = w.Write([]byte("{}"))
}

// List implements Endpoints: the announcements of engines that still run.
func (r *rig) List() []*member.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*member.Endpoint
	for vm, e := range r.announced {
		if r.engines[vm] != nil && !r.hidden {
			list = append(list, e)
		}
	}
	return list
}

// Demand implements Demand.
func (r *rig) Demand() []fleet.Demand { return locked(r, func() []fleet.Demand { return r.demand }) }

// locked reads or changes the rig under its lock.
func locked[T any](r *rig, use func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return use()
}

func (r *rig) now() time.Time {
	return locked(r, func() time.Time { return time.Now().Add(r.offset) })
}

func (r *rig) advance(d time.Duration) {
	locked(r, func() time.Duration { r.offset += d; return d })
}

// link is what one controller reaches: it can be isolated, and the controller
// can be killed before or after an order takes effect.
type link struct {
	port.Ledger
	port.Cloud
	port.Engine
	r *rig
	// noLedger cuts the replicated state off, the endpoints stay reachable.
	noLedger bool
	orders   []endpoint.Order
	given    int
	// killAt is the order at which the controller dies; 0 means never.
	killAt    int
	killAfter bool
	kill      context.CancelFunc
}

func (l *link) AcquireLease(_ context.Context, _, holder string, ttl time.Duration) (port.LeaseGrant, error) {
	if l.noLedger {
		return port.LeaseGrant{}, errCut
	}
	now := l.r.now()
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.holder != holder && now.Before(l.r.expires) {
		return port.LeaseGrant{Holder: l.r.holder, FencingNumber: l.r.number}, nil
	}
	if l.r.holder != holder {
		l.r.number++
	}
	l.r.holder, l.r.expires = holder, now.Add(ttl+ttl/clockRateDivisor)
	return port.LeaseGrant{Granted: true, Holder: holder, FencingNumber: l.r.number, TTL: ttl}, nil
}

func (l *link) ReleaseLease(context.Context, string, string) error {
	return locked(l.r, func() error { l.r.holder, l.r.expires = "", time.Time{}; return nil })
}

// guarded gives one order, unless the controller is killed before it or loses the answer.
func (l *link) guarded(ctx context.Context, order func() error) error {
	l.given++
	if l.given == l.killAt && !l.killAfter {
		l.kill()
		return errCut
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	err := order()
	if l.given == l.killAt {
		l.kill()
		return errCut
	}
	return err
}

func (l *link) StartVM(ctx context.Context, req cloud.StartRequest) (vm cloud.VM, err error) {
	err = l.guarded(ctx, func() (err error) {
		vm, err = l.Cloud.StartVM(ctx, req)
		return err
	})
	return vm, err
}

func (l *link) StopVM(ctx context.Context, id string) error {
	return l.guarded(ctx, func() error { return l.Cloud.StopVM(ctx, id) })
}

func (l *link) Order(ctx context.Context, url string, order endpoint.Order) (result endpoint.OrderResult, err error) {
	err = l.guarded(ctx, func() (err error) {
		l.orders = append(l.orders, order)
		result, err = l.Engine.Order(ctx, url, order)
		return err
	})
	return result, err
}

// controller returns a controller and what it reaches.
func (r *rig) controller(holder string) (*Controller, *link) {
	engines := enginehttp.NewClient()
	DeferCleanup(engines.Close)
	l := &link{r: r, Cloud: cloudhttp.NewClient(r.cloud.BaseURL()), Engine: engines, kill: func() {}}
	return New(Options{
		Holder: holder, Ledger: l, Cloud: l, Engine: l, Endpoints: r, Demand: r, Config: r.config,
		OrderTimeout: testTimeout, TTL: 4 * testTimeout, Now: r.now,
	}), l
}

// settle repeats rounds until nothing is due and every VM serves.
func (r *rig) settle(c *Controller) {
	c.Round(context.Background())
	r.advance(takeoverWait(testTimeout))
	Eventually(func() bool {
		c.Round(context.Background())
		return c.current().held && len(c.plan) == 0 && len(c.loading) == 0 && r.allServe()
	}, 20*time.Second, 25*time.Millisecond).Should(BeTrue())
}

// allServe reports whether every VM serves the wanted version alone.
func (r *rig) allServe() bool {
	serving := map[string]bool{}
	for _, e := range r.List() {
		serving[e.VM] = e.State == endpoint.StateReady && len(e.Models) == 1 && e.Models[0].Version == r.config.Current().Document.Models[0].Version
	}
	for _, vm := range r.cloud.VMs() {
		if !serving[vm.ID] {
			return false
		}
	}
	return len(r.cloud.VMs()) > 0
}
