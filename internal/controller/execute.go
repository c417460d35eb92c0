package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/cloud"
	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/fleet"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// roundOrders bounds the orders of one round, so that a wrong observation
	// is seen again before many orders follow from it.
	roundOrders = 24
	// loadRepeat is when a load that has not finished is ordered again; engines
	// forget a failed download.
	loadRepeat = 30 * time.Second
	// maxOrdinals bounds the search for an unused client token.
	maxOrdinals = 10_000
)

// StepUnload removes a version that is no longer wanted.
const StepUnload fleet.StepKind = "unload"

// loadOrder is a load in progress.
type loadOrder struct {
	step fleet.Step
	sent time.Time
}

// Outcomes of a step.
const (
	outcomeDone    = "done"
	outcomeRunning = "in progress"
	outcomeTaken   = "started"
	outcomeUnheard = "left alone: no endpoint of the failure domain is heard"
	outcomeWaits   = "waits until every order of the former controller has ended"
)

// carryOut executes steps until the lease no longer covers an order.
func (c *Controller) carryOut(ctx context.Context, o *observed, steps []fleet.Step) {
	given := 0
	failed := make(map[string]bool) // endpoints that did not answer in this round
	for i := range steps {
		step := &steps[i]
		e := o.endpoints[step.VM]
		if given == roundOrders || ctx.Err() != nil {
			return
		}
		if e != nil && failed[e.ID] || step.Kind == fleet.StepStart && c.backoff.Blocked(step.Pool, c.options.Now()) {
			continue
		}
		if !c.ready(step, e) {
			c.record(step, outcomeWaits)
			continue
		}
		if o.unheard[step.VM] {
			c.record(step, outcomeUnheard)
			continue
		}
		given++
		outcome, err := c.execute(ctx, o, step, e)
		var lost *LeaseError
		if errors.As(err, &lost) {
			c.log.Warn("Stops giving orders.", zap.Error(err))
			return
		}
		if err != nil {
			outcome = "failed: " + err.Error()
			if e != nil {
				failed[e.ID] = true
			}
		}
		c.record(step, outcome)
	}
}

// ready reports whether the receiver of a step can no longer be reached by an
// order of the former holder that it would obey.
func (c *Controller) ready(step *fleet.Step, e *member.Endpoint) bool {
	viaCloud := step.Kind == fleet.StepStart || step.Kind == fleet.StepStop
	if !viaCloud && e != nil && e.Fencing == endpoint.FencingEnforced {
		return true
	}
	return !c.options.Now().Before(c.current().unfencedFrom)
}

func (c *Controller) execute(ctx context.Context, o *observed, step *fleet.Step, e *member.Endpoint) (string, error) {
	switch step.Kind {
	case fleet.StepStart:
		return c.start(ctx, o, step)
	case fleet.StepStop:
		return c.stop(ctx, step, e)
	case fleet.StepDrain:
		if e == nil {
			return c.stop(ctx, step, nil)
		}
		return c.order(ctx, step, e, endpoint.OrderDrain)
	case fleet.StepLoad:
		outcome, err := c.order(ctx, step, e, endpoint.OrderLoadModel)
		if err == nil && outcome != outcomeDone {
			c.loading[step.VM] = loadOrder{step: *step, sent: c.options.Now()}
		}
		return outcome, err
	case StepUnload:
		return c.order(ctx, step, e, endpoint.OrderUnloadModel)
	}
	return "", &StepError{Kind: step.Kind}
}

// start starts a VM under the lowest ordinal that the cloud does not list. A
// holder that died before it saw the answer leaves the same ordinal to the next.
func (c *Controller) start(ctx context.Context, o *observed, step *fleet.Step) (string, error) {
	for ordinal := range maxOrdinals {
		name := token{model: step.Model, pool: step.Pool, ordinal: ordinal}.String()
		if o.ordinals[name] || c.spent[name] {
			continue
		}
		orderCtx, cancel, err := c.orderContext(ctx)
		if err != nil {
			return "", err
		}
		vm, err := c.options.Cloud.StartVM(orderCtx, cloud.StartRequest{
			ClientToken: name, FailureDomain: step.Pool.FailureDomain, Class: step.Pool.Class, Reclaimable: step.Pool.Reclaimable,
		})
		cancel()
		if err != nil {
			return "", c.refused(step, err)
		}
		if vm.State == cloud.VMStopped {
			// The cloud no longer lists the VM but still knows its token.
			c.spent[name] = true
			continue
		}
		o.ordinals[name] = true
		c.backoff.Started(step.Pool)
		return outcomeTaken + " " + vm.ID, nil
	}
	return "", &TokenError{Pool: step.Pool, Model: step.Model}
}

// refused enters a refused start into the backoff. After a transport error the
// VM may run, so the pool is not left out and the same token is used again.
func (c *Controller) refused(step *fleet.Step, err error) error {
	var refused *port.CloudRefusedError
	if errors.As(err, &refused) {
		c.backoff.Refused(step.Pool, c.options.Now())
	}
	return err
}

// stop stops a VM after its endpoint confirmed that no generation runs: load
// reports lag, the answer to the drain order does not.
func (c *Controller) stop(ctx context.Context, step *fleet.Step, e *member.Endpoint) (string, error) {
	if e != nil {
		outcome, err := c.order(ctx, step, e, endpoint.OrderDrain)
		if err != nil || outcome != outcomeDone {
			return outcome, err
		}
	}
	orderCtx, cancel, err := c.orderContext(ctx)
	if err != nil {
		return "", err
	}
	defer cancel()
	return outcomeDone, c.options.Cloud.StopVM(orderCtx, step.VM)
}

func (c *Controller) order(ctx context.Context, step *fleet.Step, e *member.Endpoint, kind endpoint.OrderKind) (string, error) {
	orderCtx, cancel, err := c.orderContext(ctx)
	if err != nil {
		return "", err
	}
	defer cancel()
	fencing := c.current().fencing
	order := endpoint.Order{
		OrderID:       fmt.Sprintf("%d/%s/%s/%s/%s", fencing, kind, e.ID, step.Model, step.Version),
		FencingNumber: fencing, Kind: kind, Model: step.Model, Version: step.Version,
	}
	result, err := c.options.Engine.Order(orderCtx, e.BaseURL, order)
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Body.Code == endpoint.CodeStaleFencing {
		return "", c.superseded()
	}
	if err != nil {
		return "", err
	}
	if result.Done {
		return outcomeDone, nil
	}
	return outcomeRunning, nil
}

// extra lists the steps that the planner does not know: repeated loads, and
// versions to unload once the wanted one serves.
func (c *Controller) extra(o *observed) []fleet.Step {
	var steps []fleet.Step
	for i := range o.VMs {
		vm := &o.VMs[i]
		if load, loading := c.loading[vm.ID]; loading {
			if o.Now.Sub(load.sent) >= loadRepeat {
				steps = append(steps, load.step)
			}
			continue
		}
		wanted := wantedVersion(o.Models, vm.Model)
		if vm.State != fleet.VMServing || vm.Version != wanted {
			continue
		}
		for _, held := range o.endpoints[vm.ID].Models {
			if held.Name == vm.Model && held.Version != wanted {
				steps = append(steps, fleet.Step{
					Kind: StepUnload, Pool: vm.Pool, VM: vm.ID, Endpoint: vm.Endpoint, Model: vm.Model, Version: held.Version,
					Reason: fmt.Sprintf("version %q serves", wanted),
				})
			}
		}
	}
	return steps
}
