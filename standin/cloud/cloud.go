// Package cloud is a stand-in for the cloud API: VMs with prices that change,
// starts that are refused, and reclaims with seconds of notice, all by script.
// Callbacks start and stop what runs on the VMs.
package cloud

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/cloud"
)

// Callbacks are called outside of locks, one goroutine per VM event.
type Callbacks struct {
	// Started is called when a VM runs.
	Started func(vm cloud.VM)
	// Noticed is called when a VM got its reclaim notice.
	Noticed func(vm cloud.VM, deadline time.Duration)
	// Stopped is called when a VM stopped, for whatever reason.
	Stopped func(vm cloud.VM)
}

// Config describes a cloud. Zero fields have defaults.
type Config struct {
	Listen string
	Prices []cloud.Price
	// MaxVMs bounds the VMs of one class in one failure domain; 0 means no bound.
	MaxVMs int
	// StartTime is how long a VM takes to start.
	StartTime time.Duration
	// TimeScale multiplies StartTime and the time that costs are counted in;
	// notice periods are real. 0 means 1.
	TimeScale float64
	Seed      uint64
	Callbacks Callbacks
}

// machine is a VM with its cost so far.
type machine struct {
	vm       cloud.VM
	deadline time.Time
	// pricedAt is since when the current price counts.
	pricedAt time.Time
}

// Cloud is a running stand-in.
type Cloud struct {
	config  Config
	baseURL string
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	epoch   string

	mu      sync.Mutex
	rand    *rand.Rand
	prices  map[place]cloud.Price
	vms     map[string]*machine
	order   []string
	tokens  map[string]string
	started int
	cost    float64
	refusal []refusalRule
	// lost is the number of answers to starts that are still to be cut.
	lost    int
	notices []cloud.Notice
	// noticed is closed and replaced when a notice is added.
	noticed chan struct{}
}

// place is a machine class in a failure domain.
type place struct{ domain, class string }

// Start opens the listener.
func Start(config Config) (*Cloud, error) {
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	if config.TimeScale == 0 {
		config.TimeScale = 1
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cloud{
		config: config, baseURL: "http://" + listener.Addr().String(), ctx: ctx, cancel: cancel,
		epoch:  strconv.FormatInt(time.Now().UnixNano(), 36),
		rand:   rand.New(rand.NewPCG(config.Seed, 1)),
		prices: make(map[place]cloud.Price), vms: make(map[string]*machine), tokens: make(map[string]string),
		noticed: make(chan struct{}),
	}
	for _, price := range config.Prices {
		c.prices[place{price.FailureDomain, price.Class}] = price
	}
	c.server = &http.Server{Handler: c.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// BaseURL returns the address of the API.
func (c *Cloud) BaseURL() string { return c.baseURL }

// Close stops the API. VMs are left as they are.
func (c *Cloud) Close() {
	c.cancel()
	_ = c.server.Close()
}

// VMs returns the VMs that are not stopped, in the order of their start.
func (c *Cloud) VMs() []cloud.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	vms := []cloud.VM{}
	for _, id := range c.order {
		if m := c.vms[id]; m.vm.State != cloud.VMStopped {
			vms = append(vms, m.vm)
		}
	}
	return vms
}

// Cost returns what all VMs cost so far.
func (c *Cloud) Cost() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settle(time.Now())
	return c.cost
}

// settle adds the cost of all VMs up to now. The caller holds mu.
func (c *Cloud) settle(now time.Time) {
	for _, m := range c.vms {
		if m.vm.State == cloud.VMStopped {
			continue
		}
		price := c.prices[place{m.vm.FailureDomain, m.vm.Class}]
		perHour := price.OnDemand
		if m.vm.Reclaimable {
			perHour = price.Reclaimable
		}
		c.cost += perHour * now.Sub(m.pricedAt).Hours() / c.config.TimeScale
		m.pricedAt = now
	}
}

// start starts a VM, or returns the one that the client token started.
func (c *Cloud) start(req *cloud.StartRequest) (cloud.VM, *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, known := c.tokens[req.ClientToken]; known {
		vm := c.vms[id].vm
		if vm.FailureDomain != req.FailureDomain || vm.Class != req.Class || vm.Reclaimable != req.Reclaimable {
			return cloud.VM{}, &refusal{http.StatusConflict, cloud.CodeTokenReused, "the client token belongs to another request"}
		}
		return vm, nil
	}
	if refused := c.admit(req); refused != nil {
		return cloud.VM{}, refused
	}
	now := time.Now()
	c.settle(now)
	c.started++
	vm := cloud.VM{
		ID: fmt.Sprintf("vm-%d", c.started), ClientToken: req.ClientToken, FailureDomain: req.FailureDomain,
		Class: req.Class, Reclaimable: req.Reclaimable, State: cloud.VMStarting,
	}
	c.vms[vm.ID] = &machine{vm: vm, pricedAt: now}
	c.order = append(c.order, vm.ID)
	c.tokens[req.ClientToken] = vm.ID
	time.AfterFunc(time.Duration(float64(c.config.StartTime)*c.config.TimeScale), func() { c.boot(vm.ID) })
	return vm, nil
}

// admit decides whether a start is refused. The caller holds mu.
func (c *Cloud) admit(req *cloud.StartRequest) *refusal {
	at := place{req.FailureDomain, req.Class}
	if _, sold := c.prices[at]; !sold || req.ClientToken == "" {
		return &refusal{http.StatusBadRequest, cloud.CodeBadRequest, "unknown class or failure domain, or no client token"}
	}
	if c.refuses(req) {
		return &refusal{http.StatusServiceUnavailable, cloud.CodeNoCapacity, "no capacity of this class in this failure domain"}
	}
	count := 0
	for _, m := range c.vms {
		if m.vm.State != cloud.VMStopped && m.vm.FailureDomain == at.domain && m.vm.Class == at.class {
			count++
		}
	}
	if c.config.MaxVMs > 0 && count >= c.config.MaxVMs {
		return &refusal{http.StatusConflict, cloud.CodeLimit, "limit of VMs reached"}
	}
	return nil
}

// boot ends the start of a VM.
func (c *Cloud) boot(id string) {
	c.mu.Lock()
	m := c.vms[id]
	if m.vm.State != cloud.VMStarting || c.ctx.Err() != nil {
		c.mu.Unlock()
		return
	}
	m.vm.State = cloud.VMRunning
	vm := m.vm
	c.mu.Unlock()
	if c.config.Callbacks.Started != nil {
		c.config.Callbacks.Started(vm)
	}
}

// stop stops a VM; it reports false for an unknown one.
func (c *Cloud) stop(id string) bool {
	c.mu.Lock()
	m := c.vms[id]
	if m == nil || m.vm.State == cloud.VMStopped {
		c.mu.Unlock()
		return m != nil
	}
	c.settle(time.Now())
	m.vm.State = cloud.VMStopped
	vm := m.vm
	c.mu.Unlock()
	if c.config.Callbacks.Stopped != nil {
		c.config.Callbacks.Stopped(vm)
	}
	return true
}
