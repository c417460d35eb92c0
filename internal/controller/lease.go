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
	// clockRateDivisor is the reciprocal of the clock-rate bound of core/ledger: the
	// clock rates of two VMs differ by less than one hundredth.
	clockRateDivisor = 100
	// renewalsPerTTL is the number of renewals within the time of the lease, so that
	// one renewal may fail without loss of the lease.
	renewalsPerTTL = 3
)

// lease is the holder's view of the controller lease.
type lease struct {
	held    bool
	holder  string
	fencing uint64
	// expiresAt is when the lease ends, counted from before the request for it
	// was sent.
	expiresAt time.Time
	renewAt   time.Time
	// ordersEndedAt is when every order of the former holder must have ended.
	ordersEndedAt time.Time
}

// takeoverWait bounds how long an order of the former holder can still take effect
// after the new grant: the receiver may work on the order for the order timeout, by
// a clock whose rate differs by up to the clock-rate bound.
func takeoverWait(orderTimeout time.Duration) time.Duration {
	return orderTimeout + orderTimeout/clockRateDivisor
}

// renew acquires or renews the lease and reports whether it is held.
func (c *Controller) renew(ctx context.Context) bool {
	requestedAt := c.options.Now()
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderTimeout)
	defer cancel()
	grant, err := c.options.Ledger.AcquireLease(ctx, LeaseName, c.options.Holder, c.options.TTL)
	if err != nil {
		c.log.Warn("Controller lease not renewed.", zap.Error(err))
		return c.mayOrder()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !grant.Granted {
		// A request costs an entry of the replicated log, so it is not repeated in
		// each round.
		c.lease = lease{holder: grant.Holder, fencing: grant.FencingNumber, renewAt: requestedAt.Add(c.options.TTL / renewalsPerTTL)}
		return false
	}
	next := lease{
		held: true, holder: c.options.Holder, fencing: grant.FencingNumber, ordersEndedAt: c.lease.ordersEndedAt,
		expiresAt: requestedAt.Add(grant.TTL), renewAt: requestedAt.Add(grant.TTL / renewalsPerTTL),
	}
	if !c.lease.held || c.lease.fencing != grant.FencingNumber {
		next.ordersEndedAt = c.options.Now().Add(takeoverWait(c.options.OrderTimeout))
		c.resetOrderState()
		c.log.Info("Controller lease acquired.", zap.Uint64("fencing", grant.FencingNumber))
	}
	c.lease = next
	return true
}

// resetOrderState drops the state kept from an earlier lease, because another
// controller has given orders since.
func (c *Controller) resetOrderState() {
	c.loading = make(map[string]loadOrder)
	c.noEndpointSince = make(map[string]time.Time)
	c.usedTokens = make(map[string]bool)
}

// mayOrder reports whether an order that is given now ends before the lease can end.
func (c *Controller) mayOrder() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.held && !c.options.Now().Add(c.options.OrderTimeout).After(c.lease.expiresAt)
}

// orderContext renews the lease if a renewal is due and returns a context for one
// order. The context has a deadline rather than a timeout, so that a process that is
// paused after this check does not send the order late.
func (c *Controller) orderContext(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if !c.options.Now().Before(c.currentLease().renewAt) {
		c.renew(ctx)
	}
	now := c.options.Now()
	deadline := now.Add(c.options.OrderTimeout)
	if lease := c.currentLease(); !lease.held || deadline.After(lease.expiresAt) {
		return nil, nil, eris.Wrap(&LeaseError{Holder: lease.holder}, "give an order")
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	return ctx, cancel, nil
}

// dropLease gives the lease up after an endpoint has seen a larger fencing number,
// which shows that another holder was granted the lease.
func (c *Controller) dropLease() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease{}
	return eris.Wrap(&LeaseError{}, "an endpoint obeys a newer controller")
}

func (c *Controller) currentLease() lease {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

// release releases the lease. It must not be called while an order is running.
func (c *Controller) release() {
	if !c.currentLease().held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.options.OrderTimeout)
	defer cancel()
	c.mu.Lock()
	c.lease = lease{}
	c.mu.Unlock()
	if err := c.options.Ledger.ReleaseLease(ctx, LeaseName, c.options.Holder); err != nil {
		c.log.Warn("Controller lease not released; the next holder waits until it ends.", zap.Error(err))
	}
}
