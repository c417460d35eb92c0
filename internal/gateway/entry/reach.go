package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/gateway/reach"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/wait"
)

// connectTimeout limits a connection that tells whether an endpoint can be reached.
const connectTimeout = dialTimeout

// doubtTime is the time before a cut was noticed in which failures are taken for a part of
// it.
const doubtTime = 2 * time.Second

const (
	// peerAnswerTTL is how long an answer of a peer shows that peers can be reached.
	peerAnswerTTL = time.Second
	// isolationFailures is the number of samples of peers in a row, none of which accepts a
	// connection, after which this entry counts as isolated.
	isolationFailures = 3
)

// reachability checks whether this entry reaches the endpoints of a service.
type reachability struct {
	entry   *Entry
	monitor *reach.Monitor
	// peerFailures counts the samples of peers in a row of which none accepted a connection,
	// while a service is cut off and no peer answers.
	peerFailures atomic.Int64
	// peerAnsweredAt is when a peer last answered, in Unix nanoseconds.
	peerAnsweredAt atomic.Int64
}

func newReachability(e *Entry) *reachability {
	return &reachability{entry: e, monitor: reach.NewMonitor()}
}

// suspect starts a check of a service in the background, unless one runs or the last one
// is too recent.
func (r *reachability) suspect(service string) {
	if r.monitor.Suspect(service, time.Now()) {
		r.entry.goTask(func() { r.check(service) })
	}
}

// suspectIfQuiet starts a check if all endpoints of a service at which requests run are
// silent.
func (r *reachability) suspectIfQuiet(service string, now time.Time) {
	if r.entry.board.IsQuiet(service, now) {
		r.suspect(service)
	}
}

// check connects to a sample of the endpoints until it is known that the service can be
// reached.
func (r *reachability) check(service string) {
	for {
		sample := r.entry.board.Sample(service, r.entry.options.Settings.FailureDomain, reach.SampleSize)
		check, lastErr := r.connect(sample)
		step := r.monitor.Record(service, check, time.Now())
		if step.Changed {
			r.noteChange(service, sample, step, lastErr)
		}
		if step.Again == 0 {
			return
		}
		if step.CutOff {
			r.checkPeers(time.Now())
		}
		if !wait.For(r.entry.ctx, step.Again) {
			return
		}
	}
}

// connect connects to all endpoints of a sample at the same time.
func (r *reachability) connect(sample []registry.Endpoint) (check reach.Check, lastErr error) {
	r.entry.metrics.reachChecks.Inc()
	return r.connectAll(r.entry.client, sample)
}

// connectAll connects to all addresses of a sample at the same time. The connections that are
// established are kept for later requests.
func (r *reachability) connectAll(client *exchange.Client, sample []registry.Endpoint) (check reach.Check, lastErr error) {
	ctx, cancel := context.WithTimeout(r.entry.ctx, connectTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range sample {
		group.Go(func() {
			err := client.Probe(ctx, sample[i].Address)
			mu.Lock()
			defer mu.Unlock()
			check.Tried++
			if err == nil {
				check.Reached++
			} else {
				lastErr = err
			}
		})
	}
	group.Wait()
	return check, lastErr
}

// notePeerAnswer records that a peer answered or accepted a connection.
func (r *reachability) notePeerAnswer(now time.Time) {
	r.peerAnsweredAt.Store(now.UnixNano())
	r.peerFailures.Store(0)
}

// checkPeers connects to some peers, unless one answered just now.
func (r *reachability) checkPeers(now time.Time) {
	if now.Sub(time.Unix(0, r.peerAnsweredAt.Load())) < peerAnswerTTL {
		return
	}
	check, _ := r.connectAll(r.entry.peerClient, r.entry.peers.Sample(reach.SampleSize))
	if check.Reached > 0 {
		r.notePeerAnswer(time.Now())
	} else if check.Tried > 0 {
		r.peerFailures.Add(1)
	}
}

// isolated reports whether this entry reaches neither the endpoints of any service nor other
// entries. Callers are then served better elsewhere.
func (r *reachability) isolated() bool {
	if r.peerFailures.Load() < isolationFailures {
		return false
	}
	for _, service := range r.entry.board.Services() {
		if !r.monitor.CutOff(service) {
			return false
		}
	}
	return true
}

// linksWork reports whether an endpoint other than a given one accepts a connection, so that
// the failure of that one is its own. It holds for the sole endpoint.
func (r *reachability) linksWork(endpoint *registry.Endpoint) bool {
	others := r.entry.board.Sample("", r.entry.options.Settings.FailureDomain, reach.SampleSize+1)
	others = slices.DeleteFunc(others, func(other registry.Endpoint) bool { return other.ID == endpoint.ID })
	if len(others) == 0 {
		return true
	}
	check, _ := r.connect(others[:min(len(others), reach.SampleSize)])
	return check.Reached > 0
}

// noteChange logs that a service was cut off or is reachable again. A cut is likely to
// concern the other services too, so they are checked at once.
func (r *reachability) noteChange(service string, sample []registry.Endpoint, step reach.Step, lastErr error) {
	e := r.entry
	e.metrics.servicesCutOff.Set(int64(len(r.monitor.List())))
	tried := make([]string, len(sample))
	for i := range sample {
		tried[i] = sample[i].ID
	}
	if !step.CutOff {
		r.peerFailures.Store(0)
		now := time.Now()
		e.board.ForgetFailures(service, now.Add(-step.CutFor-doubtTime))
		e.log.Info("Endpoints of a service are reached again.", zap.String("service", service), zap.Strings("tried", tried), zap.Int64("cut_ms", step.CutFor.Milliseconds()))
		return
	}
	e.log.Warn("Endpoints of a service cannot be reached.", zap.String("service", service), zap.Strings("tried", tried),
		zap.Int64("silent_ms", e.board.SilentFor(service, time.Now()).Milliseconds()), zap.Error(lastErr))
	for _, other := range e.board.Services() {
		if other != service {
			r.suspect(other)
		}
	}
}
