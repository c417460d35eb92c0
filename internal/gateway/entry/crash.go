package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// quarantineCrashes is the number of crashes after which a request is refused.
	quarantineCrashes = 3
	// quarantineSeconds is how long it is refused after the last crash.
	quarantineSeconds = 120
	// probeTimeout bounds the dial that tells a crash from a lost connection.
	probeTimeout = 250 * time.Millisecond
	// probePause is the least time between two probes of an endpoint.
	probePause = time.Second
)

// crashWatch finds requests that crash the endpoints that run them. Entries
// exchange their marks through the replicas.
type crashWatch struct {
	entry   *Entry
	tracker *suspect.Tracker
	running *suspect.Running

	mu     sync.Mutex
	probed map[string]time.Time
}

// Quarantine is the rule for requests that crash endpoints. Replicas that pass
// marks on use the same.
var Quarantine = conf.Retry{QuarantineCrashes: quarantineCrashes, QuarantineS: quarantineSeconds}

func newCrashWatch(e *Entry) *crashWatch {
	return &crashWatch{entry: e, tracker: suspect.NewTracker(Quarantine), running: suspect.NewRunning(), probed: make(map[string]time.Time)}
}

// lost notes that a connection to an endpoint ended before its answer did. If
// the endpoint is gone, every request that ran there is marked.
func (c *crashWatch) lost(endpoint *registry.Endpoint) {
	c.entry.metrics.lost.Inc()
	now := time.Now()
	c.mu.Lock()
	if now.Sub(c.probed[endpoint.ID]) < probePause {
		c.mu.Unlock()
		return
	}
	c.probed[endpoint.ID] = now
	for id, at := range c.probed {
		if now.Sub(at) > quarantineSeconds*time.Second {
			delete(c.probed, id)
		}
	}
	c.mu.Unlock()
	// The list is taken before the attempts end, so that none is missing.
	prints := c.running.At(endpoint.ID)
	if endpoint.State != registry.Ready || len(prints) == 0 {
		return
	}
	target := *endpoint
	c.entry.group.Go(func() { c.probe(&target, prints) })
}

// probe dials an endpoint once.
func (c *crashWatch) probe(endpoint *registry.Endpoint, prints []suspect.Fingerprint) {
	ctx, cancel := context.WithTimeout(c.entry.ctx, probeTimeout)
	defer cancel()
	err := c.entry.client.Probe(ctx, endpoint.Address)
	if err == nil || c.entry.ctx.Err() != nil {
		return
	}
	c.tracker.Crash(endpoint.ID, uint64(endpoint.Born), prints, time.Now())
	c.entry.log.Warn("Endpoint crashed.", zap.String("endpoint", endpoint.ID), zap.Int64("born", endpoint.Born), zap.Int("running", len(prints)), zap.Error(err))
}

// observed encodes the marks that this entry set after a version, and returns
// the version to ask for next; nil without any.
func (c *crashWatch) observed(version uint64) (data []byte, next uint64) {
	data, next, err := c.tracker.Changes(version, true, time.Now())
	if err != nil {
		c.entry.log.Warn("Marks of crashes not encoded.", zap.Error(err))
		return nil, version
	}
	return data, next
}

// merge takes the marks of other entries.
func (c *crashWatch) merge(data []byte) {
	if len(data) == 0 {
		return
	}
	if err := c.tracker.Merge(data, time.Now()); err != nil {
		c.entry.log.Warn("Marks of crashes not taken.", zap.Error(err))
	}
}

// mayRun asks whether a request may run. The function must be called at the end
// of the attempt; whole is set for a whole answer. The error is a
// *suspect.QuarantinedError or, while another copy runs, a *suspect.BusyError.
func (c *crashWatch) mayRun(print suspect.Fingerprint, endpoint string) (end func(whole bool), err error) {
	verdict, err := c.tracker.Begin(print, time.Now())
	if err != nil {
		return nil, err
	}
	c.running.Start(endpoint, print)
	return func(whole bool) {
		c.running.End(endpoint, print)
		c.tracker.End(print, verdict, whole, time.Now())
	}, nil
}

// suspectRefusal turns the reason why a request may not run into a refusal.
func (x *call) suspectRefusal(err error) *Refusal {
	wait := retrySoon
	var quarantined *suspect.QuarantinedError
	if errors.As(err, &quarantined) {
		wait = quarantined.RetryAfter
	}
	return &Refusal{Status: statusNotRun, Reason: ReasonQuarantined, RetryAfter: x.advice(wait), Err: err}
}
