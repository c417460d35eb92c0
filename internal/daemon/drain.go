package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// drainPoll is how often a drain looks whether requests still run.
	drainPoll = 50 * time.Millisecond
	// handOverShare is the part of the drain's time after which requests that
	// still run are handed to peers; the rest is for the hand-over.
	handOverShare = 0.7
)

// Drain shuts the daemon down without cutting off a request: readiness goes
// off, the load balancer gets time to notice, new requests are refused,
// running ones end, and what cannot end within the deadline is handed to a
// peer. It returns at once; Drained tells the end.
func (d *Daemon) Drain(deadline time.Duration) {
	d.drainOnce.Do(func() {
		if deadline <= 0 {
			deadline = time.Duration(d.settings.DrainTimeoutMS) * time.Millisecond
		}
		go d.drain(time.Now().Add(deadline), deadline)
	})
}

func (d *Daemon) drain(end time.Time, deadline time.Duration) {
	defer close(d.drained)
	d.log.Info("Drain started.", zap.Duration("deadline", deadline), zap.Int("in_flight", d.entry.InFlight()))
	d.notReady.Store(true)
	wait := time.Duration(d.settings.DrainWaitMS) * time.Millisecond
	time.Sleep(min(wait, deadline/4))
	d.entry.Drain()
	handOver := end.Add(-time.Duration(float64(deadline) * (1 - handOverShare)))
	if !d.awaitIdle(handOver) {
		count := d.entry.HandOverAll()
		d.log.Info("Requests handed over.", zap.Int("requests", count))
		d.awaitIdle(end)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end.Add(closeTimeout))
	defer cancel()
	for _, server := range d.servers {
		d.logged("Listener not closed in time.", server.Shutdown(ctx))
	}
	d.log.Info("Drain ended.", zap.Int("in_flight", d.entry.InFlight()))
}

// awaitIdle waits until no request runs and reports whether that happened in time.
func (d *Daemon) awaitIdle(until time.Time) bool {
	for time.Now().Before(until) {
		if d.entry.InFlight() == 0 {
			return true
		}
		time.Sleep(drainPoll)
	}
	return d.entry.InFlight() == 0
}
