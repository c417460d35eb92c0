package controller

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// LeaseName is the name of the controller lease in the replicated state.
	LeaseName = "controller"
	// clockRateDivisor is the clock-rate bound of core/ledger: clock rates of
	// two VMs differ by less than one hundredth.
	clockRateDivisor = 100
	// renewalsPerTTL lets one renewal fail without loss of the lease.
	renewalsPerTTL = 3
)

// lease is the holder's view of the controller lease.
type lease struct {
	held    bool
	holder  string
	fencing uint64
	// expires is counted from before the lease was asked for.
	expires time.Time
	renewAt time.Time
	// unfencedFrom is when every order of the former holder must have ended.
	unfencedFrom time.Time
}

// takeoverWait bounds how long an order of the former holder can still take
// effect after the new grant: the receiver may work on it for the order
// timeout, counted by a clock that differs by the clock-rate bound.
func takeoverWait(orderTimeout time.Duration) time.Duration {
	return orderTimeout + orderTimeout/clockRateDivisor
}

// renew acquires or renews the lease and reports whether it is held.
func (c *Controller) renew(ctx context.Context) bool {
	asked := c.options.Now()
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	grant, err := c.options.Ledger.AcquireLease(ctx, LeaseName, c.options.Holder, c.options.TTL)
	if err != nil {
		c.log.Warn("The lease was not renewed.", zap.Error(err))
		return c.mayOrder()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !grant.Granted {
		// Asking costs an entry of the log, so it is not repeated each round.
		c.lease = lease{holder: grant.Holder, fencing: grant.FencingNumber, renewAt: asked.Add(c.options.TTL / renewalsPerTTL)}
		return false
	}
	next := lease{
		held: true, holder: c.options.Holder, fencing: grant.FencingNumber, unfencedFrom: c.lease.unfencedFrom,
		expires: asked.Add(grant.TTL), renewAt: asked.Add(grant.TTL / renewalsPerTTL),
	}
	if !c.lease.held || c.lease.fencing != grant.FencingNumber {
		next.unfencedFrom = c.options.Now().Add(takeoverWait(c.options.OrderTimeout))
		c.forget()
		c.log.Info("Holds the controller lease.", zap.Uint64("fencing", grant.FencingNumber))
	}
	c.lease = next
	return true
}

// forget drops what was remembered from an earlier lease: others gave orders since.
func (c *Controller) forget() {
	c.loading = make(map[string]loadOrder)
	c.runningSince = make(map[string]time.Time)
	c.spent = make(map[string]bool)
}

// mayOrder reports whether an order that starts now ends before the lease can end.
func (c *Controller) mayOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.held && !c.options.Now().Add(c.options.OrderTimeout).After(c.lease.expires)
}

// orderContext renews the lease if that is due and returns a context for one
// order. The deadline is a point in time, so that a process that was paused
// after this check does not send the order late.
func (c *Controller) orderContext(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if !c.options.Now().Before(c.current().renewAt) {
		c.renew(ctx)
	}
	now := c.options.Now()
	deadline := now.Add(c.options.OrderTimeout)
	if held := c.current(); !held.held || deadline.After(held.expires) {
		return nil, nil, eris.Wrap(&LeaseError{Holder: held.holder}, "give an order")
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, cancel, nil
}

// superseded gives up the lease after an endpoint has seen a larger fencing
// number: another holder was granted it.
func (c *Controller) superseded() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease{}
	return eris.Wrap(&LeaseError{}, "an endpoint obeys a newer controller")
}

func (c *Controller) current() lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// release gives the lease up. No order is running when it is called.
func (c *Controller) release() {
	if !c.current().held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.options.OrderTimeout)
	defer cancel()
	c.mu.Lock()
	c.lease = lease{}
	c.mu.Unlock()
	if err := c.options.Ledger.ReleaseLease(ctx, LeaseName, c.options.Holder); err != nil {
		c.log.Warn("The lease was not released.", zap.Error(err))
	}
}
