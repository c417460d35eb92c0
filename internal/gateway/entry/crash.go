package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// quarantineCrashes is the number of endpoint crashes after which a request is
	// refused.
	quarantineCrashes = 3
	// quarantineSeconds is how long the request is refused after its last crash.
	quarantineSeconds = 120
	// probeTimeout limits the probe that distinguishes a crash of the endpoint from
	// a lost connection.
	probeTimeout = 250 * time.Millisecond
	// minProbeInterval is the minimum time between two probes of an endpoint. A crash
	// within this time after a probe is not recognized.
	minProbeInterval = 250 * time.Millisecond
)

// crashDetector finds requests and prompt parts that crash the endpoints that run
// them. Entries exchange their crash records through the state replicas.
type crashDetector struct {
	entry   *Entry
	tracker *suspect.Tracker
	running *suspect.RunningRequests

	mu sync.Mutex
	// reported is the version of the own records that report has sent.
	reported uint64
	// probes holds the last probe of each endpoint.
	probes map[string]*endpointProbe
}

// endpointProbe is a probe of an endpoint; done is closed when it has ended.
type endpointProbe struct {
	startedAt time.Time
	done      chan struct{}
}

// Quarantine is the policy for requests that crash endpoints. State replicas, which
// forward crash records between entries, use the same policy.
var Quarantine = conf.Retry{QuarantineCrashes: quarantineCrashes, QuarantineS: quarantineSeconds}

func newCrashDetector(e *Entry) *crashDetector {
	return &crashDetector{entry: e, tracker: suspect.NewTracker(Quarantine), running: suspect.NewRunningRequests(), probes: make(map[string]*endpointProbe)}
}

// answerLost records that the connection to an endpoint failed before its answer
// was complete. It probes the endpoint in the background; if the endpoint has
// crashed, a crash is recorded for every request that ran there. The returned
// channel is closed when the probe has ended.
func (c *crashDetector) answerLost(endpoint *registry.Endpoint) <-chan struct{} {
	c.entry.metrics.answerLost.Inc()
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := c.probes[endpoint.ID]; last != nil && now.Sub(last.startedAt) < minProbeInterval {
		return last.done
	}
	for id, probe := range c.probes {
		if now.Sub(probe.startedAt) > quarantineSeconds*time.Second {
			delete(c.probes, id)
		}
	}
	probe := &endpointProbe{startedAt: now, done: make(chan struct{})}
	c.probes[endpoint.ID] = probe
	// The list is read before the attempts end, so that it contains all of them.
	fingerprints := c.running.At(endpoint.ID)
	if endpoint.State != registry.Ready || len(fingerprints) == 0 {
		close(probe.done)
		return probe.done
	}
	target := *endpoint
	c.entry.goTask(func() {
		defer close(probe.done)
		c.probe(&target, fingerprints)
	})
	return probe.done
}

// probe connects to an endpoint once. If the connection is refused, and others are not, it
// records a crash.
func (c *crashDetector) probe(endpoint *registry.Endpoint, fingerprints []suspect.Fingerprint) {
	ctx, cancel := context.WithTimeout(c.entry.ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	err := c.entry.client.Probe(ctx, endpoint.Address)
	if err == nil || c.entry.ctx.Err() != nil {
		return
	}
	if !showsCrash(err) {
		c.entry.log.Warn("Endpoint not reached.", zap.String("endpoint", endpoint.ID), zap.Int("running", len(fingerprints)), zap.Error(err))
		return
	}
	if !c.entry.reach.linksWork(endpoint) {
		c.entry.log.Warn("Endpoint refuses connections, as all do.", zap.String("endpoint", endpoint.ID), zap.Int("running", len(fingerprints)))
		return
	}
	c.entry.board.RecordRefused(endpoint.ID, endpoint.Born, began, time.Now())
	c.tracker.Crash(endpoint.ID, uint64(endpoint.Born), fingerprints, time.Now())
	c.entry.log.Warn("Endpoint crashed.", zap.String("endpoint", endpoint.ID), zap.Int64("born", endpoint.Born), zap.Int("running", len(fingerprints)), zap.Error(err))
	c.report(ctx)
}

// report sends the records that changed since the last report to the leader. The next
// polls send them as well, to all replicas.
func (c *crashDetector) report(ctx context.Context) {
	c.mu.Lock()
	data, next := c.ownRecords(c.reported)
	c.reported = next
	c.mu.Unlock()
	if data == nil {
		return
	}
	if err := c.entry.replicaClient.notifyLeader(ctx, link.MethodCrashes, &link.CrashRequest{Entry: c.entry.options.Settings.Name, Crashes: data}); err != nil {
		c.entry.log.Warn("Crash not reported; the next polls report it.", zap.Error(err))
	}
}

// showsCrash reports whether a failed connection shows that the process of the
// endpoint has ended. A VM that is lost or behind a network partition does not answer
// at all, and then the requests that ran there are no suspects.
func showsCrash(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// ownRecords encodes the crash records that this entry made after a version, or
// returns nil if there are none. next is the version for the next call.
func (c *crashDetector) ownRecords(version uint64) (data []byte, next uint64) {
	data, next, err := c.tracker.Changes(version, true, time.Now())
	if err != nil {
		c.entry.log.Warn("Crash records could not be encoded; the next poll retries it.", zap.Error(err))
		return nil, version
	}
	return data, next
}

// merge adds the crash records of other entries, which a replica sent.
func (c *crashDetector) merge(replica string, data []byte) {
	if len(data) == 0 {
		return
	}
	changed, err := c.tracker.Merge(data, time.Now())
	if err != nil {
		c.entry.log.Warn("Crash records of other entries could not be decoded and are ignored.", zap.String("replica", replica), zap.Error(err))
		return
	}
	if changed > 0 {
		c.entry.log.Info("Crash records received.", zap.String("replica", replica), zap.Int("changed", changed), zap.Int("bytes", len(data)))
	}
}

// crashWatch is an attempt that is suspect if its endpoint crashes.
type crashWatch struct {
	detector    *crashDetector
	endpoint    string
	fingerprint suspect.Fingerprint
	// parts holds the prompt parts that are suspect, none once the run has survived.
	parts   []suspect.Fingerprint
	verdict suspect.Verdict
}

// beginAttempt records the start of an attempt if the request may run. The caller
// must call end when the attempt ends. The error is a *suspect.QuarantinedError or,
// while another copy of the request runs, a *suspect.BusyError.
func (c *crashDetector) beginAttempt(fingerprint suspect.Fingerprint, parts []suspect.Fingerprint, endpoint string) (*crashWatch, error) {
	verdict, err := c.tracker.Begin(fingerprint, time.Now())
	if err != nil {
		return nil, err
	}
	c.running.Start(endpoint, fingerprint)
	for _, part := range parts {
		c.running.Start(endpoint, part)
	}
	return &crashWatch{detector: c, endpoint: endpoint, fingerprint: fingerprint, parts: parts, verdict: verdict}, nil
}

// survived records that the run has written enough of its answer to show that its
// prompt parts do not crash the endpoint.
func (w *crashWatch) survived() {
	if w == nil || len(w.parts) == 0 {
		return
	}
	w.detector.tracker.Survived(w.parts, time.Now())
	w.endParts()
}

func (w *crashWatch) endParts() {
	for _, part := range w.parts {
		w.detector.running.End(w.endpoint, part)
	}
	w.parts = nil
}

// end records the end of the attempt, and whether its answer was complete.
func (w *crashWatch) end(complete bool) {
	w.endParts()
	w.detector.running.End(w.endpoint, w.fingerprint)
	w.detector.tracker.End(w.fingerprint, w.verdict, complete, time.Now())
}

// suspectRefusal converts an error of the crash detector into a refusal. The time
// of a quarantine is not limited to what callers accept: an earlier return would be
// refused again.
func (c *call) suspectRefusal(err error) *Refusal {
	wait := c.retryAfter(defaultRetryAfter)
	var quarantined *suspect.QuarantinedError
	if errors.As(err, &quarantined) {
		wait = quarantined.RetryAfter
	}
	return &Refusal{Status: statusNotRun, Reason: ReasonQuarantined, RetryAfter: wait, Err: err}
}
