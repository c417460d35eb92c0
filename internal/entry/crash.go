package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// pingTimeout is how long an endpoint has to answer on a new connection
	// after a transport error of an attempt. It must be much shorter than the
	// idle timeout of a stream.
	pingTimeout = 500 * time.Millisecond
	// isolationPollInterval is the pause between checks while a suspect request
	// waits for another copy of it to end, or for its endpoint to become idle.
	isolationPollInterval = 100 * time.Millisecond
	// idleWait limits how long a suspect request waits for its endpoint to
	// become idle.
	idleWait = 30 * time.Second
)

// recordFailure updates the state of an endpoint after a failed attempt, and
// reports whether the endpoint crashed.
func (s *Service) recordFailure(state *endpointState, err error) bool {
	if state == nil {
		return false
	}
	var refused *port.RefusedError
	if errors.As(err, &refused) {
		if refused.Body.Code == endpoint.CodeLeaving {
			s.directory.blockLeaving(state)
		}
		return false
	}
	var transport *port.TransportError
	if !errors.As(err, &transport) {
		state.breaker.Failure(time.Now())
		return false
	}
	if transport.Silent {
		s.metrics.silent.Inc()
	}
	if state.crashed.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(s.ctx, pingTimeout)
	defer cancel()
	if s.options.Engine.Ping(ctx, state.baseURL) == nil {
		// Only the connection was lost; the endpoint still responds.
		return false
	}
	s.recordCrash(state)
	return true
}

// recordCrash marks an endpoint as crashed and the requests that ran there as
// suspects.
func (s *Service) recordCrash(state *endpointState) {
	if !s.directory.markCrashed(state, time.Now()) {
		return
	}
	s.metrics.crashes.Inc()
	// The requests of an endpoint that announced that it leaves are not
	// suspects: otherwise two reclaims in a row would quarantine the requests
	// that ran there.
	var running []suspect.Fingerprint
	if !state.isLeaving() {
		running = s.runningRequests.At(state.id)
	}
	s.tracker.Crash(state.id, state.incarnation, running, time.Now())
	s.router.SetBlocked(state.id, true)
	s.goroutines.Go(s.broadcastCrashRecords)
	s.log.Warn("Endpoint crashed.", zap.String("endpoint", state.id), zap.Uint64("incarnation", state.incarnation), zap.Int("running", len(running)))
}

// blockLeaving takes an endpoint out of use immediately after it refused a
// request because it is leaving.
func (d *directory) blockLeaving(state *endpointState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state.state = endpoint.StateLeaving
	state.markLeaving()
	d.service.router.SetBlocked(state.id, true)
}

// runPermit allows an attempt to run. The verdict says whether it must run
// alone on its endpoint.
type runPermit struct {
	service     *Service
	fingerprint suspect.Fingerprint
	verdict     suspect.Verdict
}

// acquireRunPermit asks the tracker whether and how a request may run. It waits
// while another copy of a suspect request runs alone.
func (s *Service) acquireRunPermit(ctx context.Context, req *Request) (*runPermit, error) {
	for {
		verdict, err := s.tracker.Begin(req.Fingerprint, time.Now())
		if err == nil {
			return &runPermit{service: s, fingerprint: req.Fingerprint, verdict: verdict}, nil
		}
		var busy *suspect.BusyError
		if !errors.As(err, &busy) {
			s.metrics.quarantined.Inc()
			return nil, err
		}
		if !wait.For(ctx, isolationPollInterval) {
			return nil, context.Cause(ctx)
		}
	}
}

// end records the end of the attempt; completed is set if the attempt completed
// the answer.
func (p *runPermit) end(completed bool) {
	p.service.tracker.End(p.fingerprint, p.verdict, completed, time.Now())
}

// isolateEndpoint reserves an endpoint for a suspect request and waits until
// the endpoint is idle. It returns false if the endpoint cannot be reserved.
func (s *Service) isolateEndpoint(ctx context.Context, state *endpointState, waitIdle bool) bool {
	if state == nil || !s.reserveIsolation() {
		return false
	}
	if !s.router.Isolate(state.id) {
		s.isolatedEndpoints.Add(-1)
		return false
	}
	deadline := time.Now().Add(idleWait)
	for waitIdle && s.router.InFlight(state.id) > 0 && time.Now().Before(deadline) {
		if !wait.For(ctx, isolationPollInterval) {
			s.releaseIsolation(state)
			return false
		}
	}
	return true
}

// reserveIsolation counts one more isolated endpoint. At most half of the
// endpoints are isolated at a time, so that a crash under load leaves capacity
// for other requests.
func (s *Service) reserveIsolation() bool {
	limit := int64(max(1, len(s.directory.readyCapacities())/2))
	if s.isolatedEndpoints.Add(1) <= limit {
		return true
	}
	s.isolatedEndpoints.Add(-1)
	return false
}

// releaseIsolation ends the isolation of an endpoint.
func (s *Service) releaseIsolation(state *endpointState) {
	s.router.SetIsolated(state.id, false)
	s.isolatedEndpoints.Add(-1)
}
