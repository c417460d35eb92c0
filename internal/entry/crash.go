package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// pingTimeout is how long a suspected endpoint has to answer on a new
	// connection: it must stay well below the idle deadline of a stream.
	pingTimeout = 500 * time.Millisecond
	// busyPause is the pause while another copy of a suspect request runs alone.
	busyPause = 100 * time.Millisecond
	// idleWait bounds how long a suspect request waits for its endpoint to run empty.
	idleWait = 30 * time.Second
)

// noteFailure records what a failed attempt says about its endpoint, and
// reports whether the endpoint crashed.
func (s *Service) noteFailure(state *endpointState, err error) bool {
	if state == nil {
		return false
	}
	var refused *port.RefusedError
	if errors.As(err, &refused) {
		if refused.Body.Code == endpoint.CodeLeaving {
			s.directory.leave(state)
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
		// A connection was lost, the endpoint lives.
		return false
	}
	s.crash(state)
	return true
}

// crash marks an endpoint as dead and its requests as suspects.
func (s *Service) crash(state *endpointState) {
	if !s.directory.noteCrash(state, time.Now()) {
		return
	}
	s.metrics.crashes.Inc()
	// The end of an endpoint that announced it leaves is no sign of a poison
	// request: two reclaims in a row would quarantine requests that ran there.
	var running []suspect.Fingerprint
	if !state.isLeaving() {
		running = s.running.At(state.id)
	}
	s.tracker.Crash(state.id, state.incarnation, running, time.Now())
	s.router.SetBlocked(state.id, true)
	s.group.Go(s.tellMarks)
	s.log.Warn("Endpoint crashed.", zap.String("endpoint", state.id), zap.Uint64("incarnation", state.incarnation), zap.Int("running", len(running)))
}

// leave takes an endpoint that refuses work because it leaves out of use at once.
func (d *directory) leave(state *endpointState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state.state = endpoint.StateLeaving
	state.markLeaving()
	d.service.router.SetBlocked(state.id, true)
}

// clearance says how an attempt may run.
type clearance struct {
	service *Service
	print   suspect.Fingerprint
	verdict suspect.Verdict
}

// clear asks how a request may run. It waits while another copy of a suspect
// request runs alone.
func (s *Service) clear(ctx context.Context, req *Request) (*clearance, error) {
	for {
		verdict, err := s.tracker.Begin(req.Fingerprint, time.Now())
		if err == nil {
			return &clearance{service: s, print: req.Fingerprint, verdict: verdict}, nil
		}
		var busy *suspect.BusyError
		if !errors.As(err, &busy) {
			s.metrics.quarantined.Inc()
			return nil, err
		}
		if !sleep(ctx, busyPause) {
			return nil, context.Cause(ctx)
		}
	}
}

// end notes the end of the attempt; whole is set for a whole answer.
func (c *clearance) end(whole bool) {
	c.service.tracker.End(c.print, c.verdict, whole, time.Now())
}

// isolate reserves an endpoint for a suspect request and waits until it has
// run empty. It reports false when it may not have the endpoint.
func (s *Service) isolate(ctx context.Context, state *endpointState, waitIdle bool) bool {
	if state == nil || !s.mayIsolate() {
		return false
	}
	if !s.router.Isolate(state.id) {
		s.isolated.Add(-1)
		return false
	}
	deadline := time.Now().Add(idleWait)
	for waitIdle && s.router.InFlight(state.id) > 0 && time.Now().Before(deadline) {
		if !sleep(ctx, busyPause) {
			s.release(state)
			return false
		}
	}
	return true
}

// mayIsolate counts one more isolated endpoint. Half of the endpoints at most
// are isolated, so that a crash under load leaves room for other work.
func (s *Service) mayIsolate() bool {
	most := int64(max(1, len(s.directory.supplies())/2))
	if s.isolated.Add(1) <= most {
		return true
	}
	s.isolated.Add(-1)
	return false
}

// release ends the isolation of an endpoint.
func (s *Service) release(state *endpointState) {
	s.router.SetIsolated(state.id, false)
	s.isolated.Add(-1)
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
