package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/entry"
)

const (
	// drainPollInterval is how often a drain checks whether requests still run.
	drainPollInterval = 50 * time.Millisecond
	// handOverShare is the share of the drain timeout after which requests that
	// still run are offered to peers. The rest of the time is for the hand-over,
	// and for requests that no peer takes.
	handOverShare = 0.7
)

// Drain shuts the daemon down without breaking off a request. It withdraws
// readiness, waits for the load balancer to notice, refuses new requests and
// lets running ones end. Requests that do not end within handOverShare of the
// timeout are offered to peers, and run on until one takes them or the timeout
// ends. Drain returns immediately; the channel of
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
		count := d.entry.HandOverAll(deadline)
		d.log.Info("Hand-over of running requests started.", zap.Int("requests", count))
		d.awaitIdle(deadline.Add(entry.HandOverGrace))
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
