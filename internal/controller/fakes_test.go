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

var errDisconnected = errors.New("connection cut by the test")

// rig is a stand-in cloud whose VMs run stand-in engines. The rig receives the
// announcements of the engines and plays the ledger.
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
	// announcementsHidden hides the announcements of all engines from the
	// controller.
	announcementsHidden bool
	holder              string
	expires             time.Time
	fencingNumber       uint64
	started             int
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
	for _, e := range withLock(r, func() map[string]*engine.Engine { e := r.engines; r.engines = nil; return e }) {
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
	return withLock(r, func() *engine.Engine { return r.engines[vm] })
}

// serve receives the announcements of engines.
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

// List implements Endpoints. It returns the announcements of running engines.
func (r *rig) List() []*member.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*member.Endpoint
	for vm, e := range r.announced {
		if r.engines[vm] != nil && !r.announcementsHidden {
			list = append(list, e)
		}
	}
	return list
}

// Demand implements Demand.
func (r *rig) Demand() []fleet.Demand { return withLock(r, func() []fleet.Demand { return r.demand }) }

// withLock calls a function while the lock of the rig is held.
func withLock[T any](r *rig, use func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return use()
}

func (r *rig) now() time.Time {
	return withLock(r, func() time.Time { return time.Now().Add(r.offset) })
}

func (r *rig) advance(d time.Duration) {
	withLock(r, func() time.Duration { r.offset += d; return d })
}

// faultyLink is the connection of one controller to the ledger, the cloud and the
// engines. It can be cut off from the ledger, and it can kill the controller before
// or after an order takes effect.
type faultyLink struct {
	port.Ledger
	port.Cloud
	port.Engine
	r *rig
	// ledgerDown cuts the ledger off; the cloud and the endpoints stay
	// reachable.
	ledgerDown  bool
	orders      []endpoint.Order
	ordersGiven int
	// killAt is the number of the order at which the controller is killed; 0 means
	// never. killAfter is set if the order takes effect before that.
	killAt    int
	killAfter bool
	kill      context.CancelFunc
}

func (l *faultyLink) AcquireLease(_ context.Context, _, holder string, ttl time.Duration) (port.LeaseGrant, error) {
	if l.ledgerDown {
		return port.LeaseGrant{}, errDisconnected
	}
	now := l.r.now()
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.holder != holder && now.Before(l.r.expires) {
		return port.LeaseGrant{Holder: l.r.holder, FencingNumber: l.r.fencingNumber}, nil
	}
	if l.r.holder != holder {
		l.r.fencingNumber++
	}
	l.r.holder, l.r.expires = holder, now.Add(ttl+ttl/clockRateDivisor)
	return port.LeaseGrant{Granted: true, Holder: holder, FencingNumber: l.r.fencingNumber, TTL: ttl}, nil
}

func (l *faultyLink) ReleaseLease(context.Context, string, string) error {
	return withLock(l.r, func() error { l.r.holder, l.r.expires = "", time.Time{}; return nil })
}

// giveOrder gives one order, unless the controller is killed before it. If the
// controller is killed after it, the answer is lost.
func (l *faultyLink) giveOrder(ctx context.Context, order func() error) error {
	l.ordersGiven++
	if l.ordersGiven == l.killAt && !l.killAfter {
		l.kill()
		return errDisconnected
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	err := order()
	if l.ordersGiven == l.killAt {
		l.kill()
		return errDisconnected
	}
	return err
}

func (l *faultyLink) StartVM(ctx context.Context, req cloud.StartRequest) (vm cloud.VM, err error) {
	err = l.giveOrder(ctx, func() (err error) {
		vm, err = l.Cloud.StartVM(ctx, req)
		return err
	})
	return vm, err
}

func (l *faultyLink) StopVM(ctx context.Context, id string) error {
	return l.giveOrder(ctx, func() error { return l.Cloud.StopVM(ctx, id) })
}

func (l *faultyLink) Order(ctx context.Context, url string, order endpoint.Order) (result endpoint.OrderResult, err error) {
	err = l.giveOrder(ctx, func() (err error) {
		l.orders = append(l.orders, order)
		result, err = l.Engine.Order(ctx, url, order)
		return err
	})
	return result, err
}

// controller returns a controller and its link.
func (r *rig) controller(holder string) (*Controller, *faultyLink) {
	engines := enginehttp.NewClient()
	DeferCleanup(engines.Close)
	l := &faultyLink{r: r, Cloud: cloudhttp.NewClient(r.cloud.BaseURL()), Engine: engines, kill: func() {}}
	return New(Options{
		Holder: holder, Ledger: l, Cloud: l, Engine: l, Endpoints: r, Demand: r, Config: r.config,
		OrderTimeout: testTimeout, TTL: 4 * testTimeout, Now: r.now,
	}), l
}

// converge repeats rounds until no step is due and every VM serves.
func (r *rig) converge(c *Controller) {
	c.Round(context.Background())
	r.advance(takeoverWait(testTimeout))
	Eventually(func() bool {
		c.Round(context.Background())
		return c.currentLease().held && len(c.plan) == 0 && len(c.loading) == 0 && r.allServing()
	}, 20*time.Second, 25*time.Millisecond).Should(BeTrue())
}

// allServing reports whether every VM serves the wanted version and no other.
func (r *rig) allServing() bool {
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
