package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/fleet"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// DefaultInterval is the time between two rounds. A reclaim wave gives
	// seconds of notice; a notice starts a round at once.
	DefaultInterval = 3 * time.Second
	// DefaultOrderTimeout bounds one order or question.
	DefaultOrderTimeout = 4 * time.Second
	// DefaultTTL covers three renewals and one order timeout after a missed one.
	DefaultTTL = 15 * time.Second
	// noticeWait bounds one long poll for reclaim notices.
	noticeWait = 20 * time.Second
)

// Endpoints lists the endpoints; member.Registry implements it.
type Endpoints interface {
	List() []*member.Endpoint
}

// Demand tells what the callers ask for, over all failure domains.
type Demand interface {
	Demand() []fleet.Demand
}

// Options are the parts of a controller. All but the durations, Now and Log
// are required.
type Options struct {
	// Holder names this instance of the daemon. It differs between two runs of
	// a daemon: a restarted one must not continue the lease of the former.
	Holder    string
	Ledger    port.Ledger
	Cloud     port.Cloud
	Engine    port.Engine
	Endpoints Endpoints
	Demand    Demand
	Config    *conf.Store
	// Interval, OrderTimeout and TTL have defaults. TTL is more than
	// OrderTimeout, or no order is ever given.
	Interval, OrderTimeout, TTL time.Duration
	// Now is time.Now by default.
	Now func() time.Time
	Log *zap.Logger
}

// Controller runs on every eligible daemon; only the lease holder acts. Round
// and Run are called by one goroutine; Fleet may be called by any.
type Controller struct {
	options Options
	log     *zap.Logger
	backoff *fleet.Backoff
	// loading holds the loads in progress by VM.
	loading map[string]loadOrder
	// runningSince is when a running VM was first seen without an endpoint.
	runningSince map[string]time.Time
	// reclaimed is when the reclaim of a VM was first seen.
	reclaimed map[string]time.Time
	// spent holds client tokens of stopped VMs that the cloud no longer lists.
	spent map[string]bool

	// mu guards what follows.
	mu      sync.Mutex
	lease   lease
	plan    []status.FleetStep
	cost    float64
	history history
}

// New returns a controller that does nothing before Run or Round.
func New(options Options) *Controller {
	setDefault(&options.Interval, DefaultInterval)
	setDefault(&options.OrderTimeout, DefaultOrderTimeout)
	setDefault(&options.TTL, DefaultTTL)
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	c := &Controller{
		options: options, log: telemetry.Log(options.Log, telemetry.PartFleet),
		backoff: fleet.NewBackoff(), reclaimed: make(map[string]time.Time),
	}
	c.forget()
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run repeats rounds until the context ends, then releases the lease.
func (c *Controller) Run(ctx context.Context) {
	defer c.release()
	notices := make(chan struct{}, 1)
	var watch sync.WaitGroup
	defer watch.Wait()
	watch.Go(func() { c.watchNotices(ctx, notices) })
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	for {
		c.Round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-notices:
		}
	}
}

// watchNotices wakes the loop at a reclaim notice.
func (c *Controller) watchNotices(ctx context.Context, wake chan<- struct{}) {
	var after uint64
	epoch := ""
	for ctx.Err() == nil {
		list, err := c.options.Cloud.Notices(ctx, after, noticeWait)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(c.options.Interval):
			}
			continue
		}
		after = list.Last
		if epoch != "" && epoch != list.Epoch {
			after = 0
		}
		epoch = list.Epoch
		if len(list.Notices) == 0 {
			continue
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	}
}

// Round renews the lease, observes, plans and carries the plan out. Without
// the lease it does nothing else.
func (c *Controller) Round(ctx context.Context) {
	if !c.options.Now().Before(c.current().renewAt) {
		c.renew(ctx)
	}
	if !c.mayOrder() {
		c.show(nil, 0)
		return
	}
	active := c.options.Config.Current()
	if active == nil {
		return
	}
	o, err := c.observe(ctx, active.Document)
	if err != nil {
		c.log.Warn("The fleet was not observed.", zap.Error(err))
		return
	}
	// Starts come first in a plan: endpoints that hang must not delay them.
	steps := append(fleet.Make(&o.Observation).Steps, c.extra(o)...)
	c.show(steps, o.cost)
	c.carryOut(ctx, o, steps)
}

func (c *Controller) show(steps []fleet.Step, cost float64) {
	plan := make([]status.FleetStep, len(steps))
	for i := range steps {
		plan[i] = shown(&steps[i])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan, c.cost = plan, cost
}

func (c *Controller) record(step *fleet.Step, outcome string) {
	entry := shown(step)
	entry.Outcome = outcome
	c.mu.Lock()
	added := c.history.add(entry, c.options.Now())
	c.mu.Unlock()
	if added {
		c.log.Info("Step.", zap.String("action", entry.Action), zap.String("endpoint", entry.Endpoint),
			zap.String("model", entry.Model), zap.String("reason", entry.Reason), zap.String("outcome", outcome))
	}
}

// Fleet implements adminhttp.FleetSource. A daemon that does not hold the lease
// knows the holder only.
func (c *Controller) Fleet(context.Context) (status.Fleet, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return status.Fleet{
		Controller: c.lease.holder, FencingNumber: c.lease.fencing, CostPerHour: c.cost,
		Plan: append([]status.FleetStep{}, c.plan...), History: c.history.list(c.options.Now()),
	}, nil
}
