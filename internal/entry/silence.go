package entry

import (
	"errors"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/attempt"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// headerTimeout is how long an endpoint may take to accept or refuse a
	// generation before another attempt is requested. Engines answer when they
	// queue a generation, not when they run it.
	headerTimeout = 2 * time.Second
	// MaxSilence is the deadline of a silent attempt that nothing replaces. Within
	// it the request may still get another attempt.
	MaxSilence = minRetryWindow
)

// errSilent is the cause of the failure of a silent attempt.
var errSilent = errors.New("no frame arrived in time")

// silenceWatch calls report once when an attempt has received no frame for its
// time-out, and again for each later silence.
type silenceWatch struct {
	report func()
	timer  *time.Timer

	mu      sync.Mutex
	timeout time.Duration
	// since is when the wait for a frame began; zero while a frame is handled, so
	// that a slow caller does not count as a silent endpoint.
	since    time.Time
	reported bool
}

// watchSilence starts to watch an attempt that waits for the head of its answer.
func watchSilence(timeout time.Duration, report func()) *silenceWatch {
	w := &silenceWatch{report: report, timeout: timeout, since: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

// check reports the silence once it has lasted for the time-out, and runs again later.
func (w *silenceWatch) check() {
	w.mu.Lock()
	waited := time.Duration(0)
	if !w.since.IsZero() {
		waited = time.Since(w.since)
	}
	due := waited >= w.timeout && !w.reported
	w.reported = w.reported || due
	w.timer.Reset(max(w.timeout-waited, w.timeout/idleChecks))
	w.mu.Unlock()
	if due {
		w.report()
	}
}

// idleChecks divides the time-out into the interval of checks while an attempt
// stays silent.
const idleChecks = 4

// begin marks the start of a wait for a frame.
func (w *silenceWatch) begin() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.since = time.Now()
	w.mu.Unlock()
}

// end marks the end of a wait for a frame.
func (w *silenceWatch) end() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.since, w.reported = time.Time{}, false
	w.mu.Unlock()
}

// setTimeout sets how long the attempt may wait for a frame.
func (w *silenceWatch) setTimeout(d time.Duration) {
	w.mu.Lock()
	w.timeout = d
	w.timer.Reset(d)
	w.mu.Unlock()
}

// stop ends the watch.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	w.timeout = MaxSilence
	w.since = time.Time{}
	w.mu.Unlock()
	w.timer.Stop()
}

// limitSilence sets how long the stream may be silent. A request that must run
// alone gets no second attempt while the first one runs, so its stream ends
// with its silence.
func (r *attemptRunner) limitSilence(stream port.FrameStream) {
	timeout := time.Duration(r.generation.doc.Limits.SilentStreamMS) * time.Millisecond
	idle, ok := stream.(port.IdleStream)
	if r.silence == nil {
		if ok {
			idle.SetIdle(timeout)
		}
		return
	}
	if ok {
		idle.SetIdle(max(MaxSilence, timeout))
	}
	if timeout <= 0 {
		timeout = MaxSilence
	}
	r.silence.setTimeout(timeout)
}

// reportSilence requests another attempt. The silent one ends only when that has
// generated its first token.
func (r *attemptRunner) reportSilence() {
	g := r.generation
	if g.ctx.Err() != nil || r.cancelled() {
		return
	}
	if engine, ok := g.service.options.Engine.(port.SilenceChecker); ok {
		engine.CheckSilent(r.state.baseURL)
	}
	err := &port.TransportError{Sent: true, Silent: true, Err: errSilent}
	cause := r.attributeFailure(err)
	g.handleEvent(func() []attempt.Action { return g.machine.Silent(r.id, cause) })
}
