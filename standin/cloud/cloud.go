// Package cloud is a stand-in for the cloud API. Scripts change prices, refuse
// starts of VMs and reclaim VMs after a notice of some seconds. Callbacks start
// and stop the processes that run on the VMs.
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

// Callbacks are called without locks held, each VM event in a goroutine of its own.
type Callbacks struct {
	// Started is called when a VM has reached the state running.
	Started func(vm cloud.VM)
	// Noticed is called when a VM has received its reclaim notice.
	Noticed func(vm cloud.VM, deadline time.Duration)
	// Stopped is called when a VM has stopped, for any reason.
	Stopped func(vm cloud.VM)
}

// Config configures a cloud. An empty Listen picks a free loopback port.
type Config struct {
	Listen string
	Prices []cloud.Price
	// MaxVMs limits the number of VMs of each class in each failure domain; 0
	// means no limit.
	MaxVMs int
	// StartTime is the time that a VM takes to start.
	StartTime time.Duration
	// TimeScale is the ratio of real to simulated time. It multiplies StartTime,
	// and costs are charged for simulated time. Notice periods are real time. 0
	// means 1.
	TimeScale float64
	Seed      uint64
	Callbacks Callbacks
}

// vmRecord is a VM with its reclaim deadline and billing state.
type vmRecord struct {
	vm       cloud.VM
	deadline time.Time
	// billedUntil is the time up to which Cloud.cost includes the VM.
	billedUntil time.Time
}

// Cloud is a running stand-in for the cloud API.
type Cloud struct {
	config  Config
	baseURL string
	server  *http.Server
	ctx     context.Context
	cancel  context.CancelFunc
	epoch   string

	mu           sync.Mutex
	rand         *rand.Rand
	prices       map[priceKey]cloud.Price
	vms          map[string]*vmRecord
	order        []string
	tokens       map[string]string
	started      int
	cost         float64
	refusalRules []refusalRule
	// dropAnswers is the number of starts whose answers are still to be dropped.
	dropAnswers int
	notices     []cloud.Notice
	// noticed is closed and replaced when notices are added.
	noticed chan struct{}
}

// priceKey identifies a machine class in a failure domain.
type priceKey struct{ domain, class string }

// Start opens the listener and serves the cloud API in the background.
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
		prices: make(map[priceKey]cloud.Price), vms: make(map[string]*vmRecord), tokens: make(map[string]string),
		noticed: make(chan struct{}),
	}
	for _, price := range config.Prices {
		c.prices[priceKey{price.FailureDomain, price.Class}] = price
	}
	c.server = &http.Server{Handler: c.handler(), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// BaseURL returns the base URL of the API.
func (c *Cloud) BaseURL() string { return c.baseURL }

// Close stops the API. It does not stop the VMs.
func (c *Cloud) Close() {
	c.cancel()
	_ = c.server.Close()
}

// VMs returns the VMs that are not stopped, in the order in which they were started.
func (c *Cloud) VMs() []cloud.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	vms := []cloud.VM{}
	for _, id := range c.order {
		if record := c.vms[id]; record.vm.State != cloud.VMStopped {
			vms = append(vms, record.vm)
		}
	}
	return vms
}

// Cost returns the cost of all VMs so far.
func (c *Cloud) Cost() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accrueCost(time.Now())
	return c.cost
}

// accrueCost adds the cost of all VMs since the last call. The caller holds mu.
func (c *Cloud) accrueCost(now time.Time) {
	for _, record := range c.vms {
		if record.vm.State == cloud.VMStopped {
			continue
		}
		price := c.prices[priceKey{record.vm.FailureDomain, record.vm.Class}]
		perHour := price.OnDemand
		if record.vm.Reclaimable {
			perHour = price.Reclaimable
		}
		c.cost += perHour * now.Sub(record.billedUntil).Hours() / c.config.TimeScale
		record.billedUntil = now
	}
}

// start starts a VM, or returns the VM that an earlier request with the same
// client token started.
func (c *Cloud) start(req *cloud.StartRequest) (cloud.VM, *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, found := c.tokens[req.ClientToken]; found {
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
	c.accrueCost(now)
	c.started++
	vm := cloud.VM{
		ID: fmt.Sprintf("vm-%d", c.started), ClientToken: req.ClientToken, FailureDomain: req.FailureDomain,
		Class: req.Class, Reclaimable: req.Reclaimable, State: cloud.VMStarting,
	}
	c.vms[vm.ID] = &vmRecord{vm: vm, billedUntil: now}
	c.order = append(c.order, vm.ID)
	c.tokens[req.ClientToken] = vm.ID
	time.AfterFunc(time.Duration(float64(c.config.StartTime)*c.config.TimeScale), func() { c.finishStart(vm.ID) })
	return vm, nil
}

// admit returns the reason for which a start is refused, or nil. The caller holds mu.
func (c *Cloud) admit(req *cloud.StartRequest) *refusal {
	key := priceKey{req.FailureDomain, req.Class}
	if _, offered := c.prices[key]; !offered || req.ClientToken == "" {
		return &refusal{http.StatusBadRequest, cloud.CodeBadRequest, "unknown class or failure domain, or no client token"}
	}
	if c.applyRefusalRules(req) {
		return &refusal{http.StatusServiceUnavailable, cloud.CodeNoCapacity, "no capacity of this class in this failure domain"}
	}
	count := 0
	for _, record := range c.vms {
		if record.vm.State != cloud.VMStopped && record.vm.FailureDomain == key.domain && record.vm.Class == key.class {
			count++
		}
	}
	if c.config.MaxVMs > 0 && count >= c.config.MaxVMs {
		return &refusal{http.StatusConflict, cloud.CodeLimit, "limit of VMs reached"}
	}
	return nil
}

// finishStart sets a VM to running and calls Callbacks.Started.
func (c *Cloud) finishStart(id string) {
	c.mu.Lock()
	record := c.vms[id]
	if record.vm.State != cloud.VMStarting || c.ctx.Err() != nil {
		c.mu.Unlock()
		return
	}
	record.vm.State = cloud.VMRunning
	vm := record.vm
	c.mu.Unlock()
	if c.config.Callbacks.Started != nil {
		c.config.Callbacks.Started(vm)
	}
}

// stop stops a VM unless it has stopped already. It reports whether the VM is known.
func (c *Cloud) stop(id string) bool {
	c.mu.Lock()
	record := c.vms[id]
	if record == nil || record.vm.State == cloud.VMStopped {
		c.mu.Unlock()
		return record != nil
	}
	c.accrueCost(time.Now())
	record.vm.State = cloud.VMStopped
	vm := record.vm
	c.mu.Unlock()
	if c.config.Callbacks.Stopped != nil {
		c.config.Callbacks.Stopped(vm)
	}
	return true
}
