package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// drainPollInterval is how often a drain checks whether requests still run.
	drainPollInterval = 50 * time.Millisecond
	// handOverShare is the share of the drain timeout after which requests that
	// still run are handed over to peers. The rest of the time is for the hand-over.
	handOverShare = 0.7
)

// Drain shuts the daemon down without breaking off a request. It withdraws
// readiness, waits for the load balancer to notice, refuses new requests and
// lets running ones end. Requests that do not end within handOverShare of the
// timeout are handed over to a peer. Drain returns immediately; the channel of
// Drained is closed at the end. A timeout of 0 means the one in the settings.
func (d *Daemon) Drain(timeout time.Duration) {
	d.drainOnce.Do(func() {
		if timeout <= 0 {
			timeout = time.Duration(d.settings.DrainTimeoutMS) * time.Millisecond
		}
		go d.drain(time.Now().Add(timeout), timeout)
	})
}

func (d *Daemon) drain(deadline time.Time, timeout time.Duration) {
	defer close(d.drained)
	d.log.Info("Drain started.", zap.Duration("deadline", timeout), zap.Int("in_flight", d.entry.InFlight()))
	d.notReady.Store(true)
	wait := time.Duration(d.settings.DrainWaitMS) * time.Millisecond
	time.Sleep(min(wait, timeout/4))
	d.entry.Drain()
	handOverAt := deadline.Add(-time.Duration(float64(timeout) * (1 - handOverShare)))
	if !d.awaitIdle(handOverAt) {
		count := d.entry.HandOverAll()
		d.log.Info("Requests handed over.", zap.Int("requests", count))
		d.awaitIdle(deadline)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(closeTimeout))
	defer cancel()
	for _, server := range d.servers {
		d.warnOnError("HTTP server did not shut down in time.", server.Shutdown(ctx))
	}
	d.log.Info("Drain ended.", zap.Int("in_flight", d.entry.InFlight()))
}

// awaitIdle waits until no request is in flight or the deadline passes. It
// reports whether no request is in flight.
func (d *Daemon) awaitIdle(deadline time.Time) bool {
	for time.Now().Before(deadline) {
		if d.entry.InFlight() == 0 {
			return true
		}
		time.Sleep(drainPollInterval)
	}
	return d.entry.InFlight() == 0
}
