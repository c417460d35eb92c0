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
	// DefaultInterval is the time between two rounds. Reclaim notices come only
	// seconds before the reclaim, so a notice starts a round at once.
	DefaultInterval = 3 * time.Second
	// DefaultOrderTimeout bounds one order or query.
	DefaultOrderTimeout = 4 * time.Second
	// DefaultTTL allows for three renewals, and for one order timeout after a
	// renewal that failed.
	DefaultTTL = 15 * time.Second
	// noticeWait bounds one long poll for reclaim notices.
	noticeWait = 20 * time.Second
)

// Endpoints lists the known endpoints. member.Registry implements it.
type Endpoints interface {
	List() []*member.Endpoint
}

// Demand returns the demand of callers in all failure domains.
type Demand interface {
	Demand() []fleet.Demand
}

// Options configure a controller. All fields except the durations, Now and Log are
// required.
type Options struct {
	// Holder identifies this run of the daemon. A restarted daemon must use another
	// value, so that it does not continue the lease of its former run.
	Holder    string
	Ledger    port.Ledger
	Cloud     port.Cloud
	Engine    port.Engine
	Endpoints Endpoints
	Demand    Demand
	Config    *conf.Store
	// Interval, OrderTimeout and TTL have defaults. TTL must exceed OrderTimeout;
	// otherwise no order is ever given.
	Interval, OrderTimeout, TTL time.Duration
	// Now defaults to time.Now.
	Now func() time.Time
	Log *zap.Logger
}

// Controller runs on every eligible daemon; only the lease holder gives orders.
// Round and Run must be called from one goroutine; Fleet is safe for concurrent use.
type Controller struct {
	options Options
	log     *zap.Logger
	backoff *fleet.Backoff
	// loading holds the model loads in progress by VM.
	loading map[string]loadOrder
	// noEndpointSince holds when a running VM was first observed without an
	// endpoint.
	noEndpointSince map[string]time.Time
	// reclaimedAt holds when the reclaim of a VM was first observed.
	reclaimedAt map[string]time.Time
	// usedTokens holds the client tokens of stopped VMs that the cloud no
	// longer lists but still knows.
	usedTokens map[string]bool

	// mu guards the fields below.
	mu      sync.Mutex
	lease   lease
	plan    []status.FleetStep
	cost    float64
	history history
}

// New returns a controller. It does nothing until Run or Round is called.
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
		options: options, log: telemetry.Log(options.Log, telemetry.ComponentFleet),
		backoff: fleet.NewBackoff(), reclaimedAt: make(map[string]time.Time),
	}
	c.resetOrderState()
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Run executes rounds until the context ends, then releases the lease.
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

// watchNotices polls the cloud for reclaim notices and wakes the loop of Run when
// one arrives. It reads from the start again when the epoch of the notices changes.
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

// Round renews the lease, observes the fleet, makes a plan and executes it. Without
// the lease it only tries to acquire it.
func (c *Controller) Round(ctx context.Context) {
	if !c.options.Now().Before(c.currentLease().renewAt) {
		c.renew(ctx)
	}
	if !c.mayOrder() {
		c.setPlan(nil, 0)
		return
	}
	active := c.options.Config.Current()
	if active == nil {
		return
	}
	o, err := c.observe(ctx, active.Document)
	if err != nil {
		c.log.Warn("Fleet not observed; this round gives no orders.", zap.Error(err))
		return
	}
	// Starts come first in a plan, so that endpoints that do not answer cannot delay
	// them.
	steps := append(fleet.MakePlan(&o.Observation).Steps, c.additionalSteps(o)...)
	c.setPlan(steps, o.cost)
	c.executePlan(ctx, o, steps)
}

func (c *Controller) setPlan(steps []fleet.Step, cost float64) {
	plan := make([]status.FleetStep, len(steps))
	for i := range steps {
		plan[i] = fleetStep(&steps[i])
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan, c.cost = plan, cost
}

func (c *Controller) record(step *fleet.Step, outcome string) {
	entry := fleetStep(step)
	entry.Outcome = outcome
	c.mu.Lock()
	added := c.history.add(entry, c.options.Now())
	c.mu.Unlock()
	if added {
		c.log.Info("Step of the plan.", zap.String("action", entry.Action), zap.String("endpoint", entry.Endpoint),
			zap.String("model", entry.Model), zap.String("reason", entry.Reason), zap.String("outcome", outcome))
	}
}

// Fleet implements adminhttp.FleetSource. A daemon that does not hold the lease
// knows only the holder.
func (c *Controller) Fleet(context.Context) (status.Fleet, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return status.Fleet{
		Controller: c.lease.holder, FencingNumber: c.lease.fencing, CostPerHour: c.cost,
		Plan: append([]status.FleetStep{}, c.plan...), History: c.history.list(c.options.Now()),
	}, nil
}
