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
	// maxOrdersPerRound limits the orders that follow from a wrong observation
	// before the fleet is observed again.
	maxOrdersPerRound = 24
	// loadRetryDelay is the time after which an unfinished load is ordered
	// again, because engines do not retry a failed download.
	loadRetryDelay = 30 * time.Second
	// maxOrdinals bounds the search for an unused client token.
	maxOrdinals = 10_000
)

// StepUnload removes a version that is no longer wanted.
const StepUnload fleet.StepKind = "unload"

// loadOrder is a model load in progress.
type loadOrder struct {
	step   fleet.Step
	sentAt time.Time
}

// Outcomes of a step.
const (
	outcomeDone        = "done"
	outcomeRunning     = "in progress"
	outcomeStarted     = "started"
	outcomeUnreachable = "left alone: no endpoint of the failure domain is heard"
	outcomeWaits       = "waits until every order of the former controller has ended"
)

// executePlan executes the steps of a plan, at most maxOrdersPerRound of them, until
// the lease no longer covers an order.
func (c *Controller) executePlan(ctx context.Context, o *observation, steps []fleet.Step) {
	sent := 0
	failed := make(map[string]bool) // endpoints that did not answer in this round
	for i := range steps {
		step := &steps[i]
		e := o.endpoints[step.VM]
		if sent == maxOrdersPerRound || ctx.Err() != nil {
			return
		}
		if e != nil && failed[e.ID] || step.Kind == fleet.StepStart && c.backoff.Blocked(step.Pool, c.options.Now()) {
			continue
		}
		if !c.isSafeToOrder(step, e) {
			c.record(step, outcomeWaits)
			continue
		}
		if o.unreachable[step.VM] {
			c.record(step, outcomeUnreachable)
			continue
		}
		sent++
		outcome, err := c.executeStep(ctx, o, step, e)
		var leaseErr *LeaseError
		if errors.As(err, &leaseErr) {
			c.log.Warn("Controller lease lost or too short for an order; the rest of the plan is skipped.", zap.Error(err))
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

// isSafeToOrder reports whether the receiver of a step can no longer execute an
// order of the former holder: either it enforces fencing numbers, or every such
// order must have ended.
func (c *Controller) isSafeToOrder(step *fleet.Step, e *member.Endpoint) bool {
	viaCloud := step.Kind == fleet.StepStart || step.Kind == fleet.StepStop
	if !viaCloud && e != nil && e.Fencing == endpoint.FencingEnforced {
		return true
	}
	return !c.options.Now().Before(c.currentLease().ordersEndedAt)
}

func (c *Controller) executeStep(ctx context.Context, o *observation, step *fleet.Step, e *member.Endpoint) (string, error) {
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
			c.loading[step.VM] = loadOrder{step: *step, sentAt: c.options.Now()}
		}
		return outcome, err
	case StepUnload:
		return c.order(ctx, step, e, endpoint.OrderUnloadModel)
	}
	return "", &StepError{Kind: step.Kind}
}

// start starts a VM under the lowest ordinal that is not in use. If a holder dies
// before it receives the answer of the cloud, the next holder sends the same client
// token, so that no second VM is started.
func (c *Controller) start(ctx context.Context, o *observation, step *fleet.Step) (string, error) {
	for ordinal := range maxOrdinals {
		name := token{model: step.Model, pool: step.Pool, ordinal: ordinal}.String()
		if o.ordinals[name] || c.usedTokens[name] {
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
			return "", c.recordRefusal(step, err)
		}
		if vm.State == cloud.VMStopped {
			// The cloud no longer lists the VM but still knows its client token.
			c.usedTokens[name] = true
			continue
		}
		o.ordinals[name] = true
		c.backoff.Started(step.Pool)
		return outcomeStarted + " " + vm.ID, nil
	}
	return "", &TokenError{Pool: step.Pool, Model: step.Model}
}

// recordRefusal adds a start that the cloud denied to the backoff of its pool. After
// a transport error the VM may be running, so the pool stays in use and the start is
// repeated with the same client token.
func (c *Controller) recordRefusal(step *fleet.Step, err error) error {
	var refused *port.CloudRefusedError
	if errors.As(err, &refused) {
		c.backoff.Refused(step.Pool, c.options.Now())
	}
	return err
}

// stop stops a VM after its endpoint has confirmed that no request is running. The
// confirmation is the answer to a drain order, because load reports lag behind.
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
	fencing := c.currentLease().fencing
	order := endpoint.Order{
		OrderID:       fmt.Sprintf("%d/%s/%s/%s/%s", fencing, kind, e.ID, step.Model, step.Version),
		FencingNumber: fencing, Kind: kind, Model: step.Model, Version: step.Version,
	}
	result, err := c.options.Engine.Order(orderCtx, e.BaseURL, order)
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Body.Code == endpoint.CodeStaleFencing {
		return "", c.dropLease()
	}
	if err != nil {
		return "", err
	}
	if result.Done {
		return outcomeDone, nil
	}
	return outcomeRunning, nil
}

// additionalSteps returns the steps that the planner does not make: repeated loads,
// and unloading of other versions once the wanted version serves.
func (c *Controller) additionalSteps(o *observation) []fleet.Step {
	var steps []fleet.Step
	for i := range o.VMs {
		vm := &o.VMs[i]
		if load, loading := c.loading[vm.ID]; loading {
			if o.Now.Sub(load.sentAt) >= loadRetryDelay {
				steps = append(steps, load.step)
			}
			continue
		}
		wanted := wantedVersion(o.Models, vm.Model)
		if vm.State != fleet.VMServing || vm.Version != wanted {
			continue
		}
		for _, loaded := range o.endpoints[vm.ID].Models {
			if loaded.Name == vm.Model && loaded.Version != wanted {
				steps = append(steps, fleet.Step{
					Kind: StepUnload, Pool: vm.Pool, VM: vm.ID, Endpoint: vm.Endpoint, Model: vm.Model, Version: loaded.Version,
					Reason: fmt.Sprintf("version %q serves", wanted),
				})
			}
		}
	}
	return steps
}
