package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/failover"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/guard"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// silenceRecheck is the time between two decisions on an attempt that stays silent.
	silenceRecheck = 100 * time.Millisecond
	// similarSilence is the part of the own silence for which another endpoint must be silent
	// to count as silent for the same reason.
	similarSilence = 0.5
)

// silenceWatch observes an attempt that another one may replace. It ends the attempt only
// once the replacement is reserved: the endpoint is chosen, and the retry is taken from the
// budget. The endpoint may still reject it, since two runs of one request at a time are not
// allowed.
type silenceWatch struct {
	call    *call
	hop     *hop
	timeout time.Duration
	// started is the number of attempts including this one.
	started int
	// giveUp ends the attempt.
	giveUp func()
	timer  *time.Timer

	mu sync.Mutex
	// silentSince is when the attempt last made progress; zero while the call handles what
	// it received.
	silentSince time.Time
	probe       failover.Probe
	probing     bool
	// denied is set once a replacement was denied, so that it is logged once.
	denied      bool
	stopped     bool
	replacement *hop
}

// watchSilence starts to watch the attempt at a hop. The caller must call stop when the
// attempt has ended. It returns nil if nothing may replace the attempt.
func (c *call) watchSilence(h *hop, timeout time.Duration, started int, giveUp func()) *silenceWatch {
	if !c.route.Repeatable() || started >= c.route.MaxAttempts {
		return nil
	}
	w := &silenceWatch{call: c, hop: h, timeout: timeout, started: started, giveUp: giveUp, silentSince: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, func() {
		if err := guard.Run(w.check); err != nil {
			c.entry.metrics.panics.Inc()
			c.entry.log.Error("Watch of a silent attempt failed unexpectedly.", zap.String("request", c.meta.AttemptID), zap.Error(err))
		}
	})
	return w
}

// pause suspends the watch while the call handles what it received. If the watch has just ended
// the attempt, the attempt goes on, since what was received may rule the replacement out. The
// caller must then undo what giveUp did.
func (w *silenceWatch) pause() (undo bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentSince = time.Time{}
	if w.replacement == nil {
		return false
	}
	w.call.releaseReplacement(w.replacement)
	w.replacement = nil
	w.timer.Reset(w.timeout)
	return true
}

// resume goes on with the watch. The silence begins now if the attempt has made progress.
func (w *silenceWatch) resume(since time.Time) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentSince = since
}

// stop ends the watch once nothing more is received, and returns the replacement if the watch has
// ended the attempt. The caller must use it or release it.
func (w *silenceWatch) stop() *hop {
	if w == nil {
		return nil
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	replacement := w.replacement
	w.replacement = nil
	return replacement
}

// check decides on the attempt, and runs again later unless the attempt has ended.
func (w *silenceWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.replacement != nil {
		return
	}
	if w.silentSince.IsZero() {
		w.timer.Reset(w.timeout)
		return
	}
	now := time.Now()
	situation := w.situation(now)
	switch failover.Decide(situation) {
	case failover.Replace:
		if w.replace(now, &situation) {
			w.giveUp()
			return
		}
	case failover.WaitAndProbe:
		w.startProbe()
	case failover.Wait:
	}
	w.timer.Reset(max(w.timeout-situation.Waited, silenceRecheck))
}

// situation describes the silence. The caller must hold mu.
func (w *silenceWatch) situation(now time.Time) failover.Silence {
	e, service := w.call.entry, w.call.service.Name
	s := failover.Silence{Waited: now.Sub(w.silentSince), Timeout: w.timeout, Probe: w.probe, LinksLost: e.reach.monitor.CutOff(service)}
	if !w.hop.viaPeer() {
		s.Silent, s.Busy = e.board.CountSilent(service, similarTo(s.Waited), now)
	}
	return s
}

// replace reserves the replacement of the attempt, and reports whether there is one. The
// caller must hold mu.
func (w *silenceWatch) replace(now time.Time, s *failover.Silence) bool {
	c := w.call
	next, err := c.reserveReplacement(w.hop, s, now)
	if err != nil {
		if !w.denied {
			w.denied = true
			c.entry.metrics.silencesKept.Inc()
			c.entry.log.Info("Silent attempt is kept; nothing can replace it.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", w.hop.endpoint.ID),
				zap.Int64("silent_ms", s.Waited.Milliseconds()), zap.Int("silent", s.Silent), zap.Int("busy", s.Busy), zap.Error(err))
		}
		return false
	}
	w.replacement = next
	c.entry.metrics.silencesReplaced.Inc()
	c.entry.log.Info("Silent attempt is replaced.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", w.hop.endpoint.ID), zap.String("next", next.choice.Endpoint.ID),
		zap.Int64("silent_ms", s.Waited.Milliseconds()), zap.Int("silent", s.Silent), zap.Int("busy", s.Busy), zap.Bool("links_lost", s.LinksLost))
	return true
}

// startProbe connects to the endpoint in the background. The caller must hold mu.
func (w *silenceWatch) startProbe() {
	if w.probing {
		return
	}
	w.probing = true
	e, endpoint := w.call.entry, w.hop.choice.Endpoint
	e.goTask(func() {
		probe := e.probes.probe(&endpoint)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.probe = probe
	})
}

// errReplaced is the failure of an attempt whose answer arrived after a silenceWatch had ended
// it.
var errReplaced = &port.TransportError{Sent: true, Silent: true, Err: errors.New("attempt ended by its silence")}

// errNotResumable reports a stream that no other endpoint can continue.
var errNotResumable = errors.New("stream cannot be resumed elsewhere")

// reserveReplacement chooses what would replace a silent attempt, and takes the retry from
// the budget. The error tells what prevents it.
func (c *call) reserveReplacement(silent *hop, s *failover.Silence, now time.Time) (*hop, error) {
	if time.Until(c.deadline) < minAttemptTime {
		return nil, context.DeadlineExceeded
	}
	if c.responseStarted && (c.lastEventID == noID || c.originUnknown) {
		return nil, errNotResumable
	}
	for i, part := range c.parts {
		if err := c.entry.crashes.tracker.CheckPart(part, now); err != nil {
			return nil, &PartError{Part: c.meta.Prefix[i].ID, Err: err}
		}
	}
	if !c.entry.retries.AllowRepeat(c.service.Name, now) {
		c.entry.metrics.repeatsDenied.Inc()
		return nil, &BudgetError{Service: c.service.Name}
	}
	next, err := c.chooseReplacement(silent, s, now)
	if err != nil {
		c.entry.retries.ReturnRepeat(c.service.Name, now)
	}
	return next, err
}

// chooseReplacement picks another endpoint, or a peer while this entry reaches no endpoint of the
// service.
func (c *call) chooseReplacement(silent *hop, s *failover.Silence, now time.Time) (*hop, error) {
	if c.entry.reach.monitor.CutOff(c.service.Name) {
		avoided := c.avoidedPeers
		if silent.viaPeer() {
			avoided = append(slices.Clone(avoided), silent.choice.Endpoint.ID)
		}
		return c.choosePeer(avoided, now)
	}
	request := c.pickRequest()
	request.Now, request.TimeOfDay = now, c.entry.clock.Now()
	request.Avoid = append(slices.Clone(request.Avoid), silent.endpoint.ID)
	request.WithRoom = true
	requireEvidence(request, s)
	return c.chooseOnce(request)
}

// requireEvidence restricts the choice of a replacement to endpoints that are likely to answer.
func requireEvidence(request *pick.Request, s *failover.Silence) {
	evidence := s.Evidence()
	if evidence == failover.NoneNeeded {
		return
	}
	request.MaxSilence = similarTo(s.Waited)
	request.PreferHeard = evidence == failover.HeardPreferred
	request.OnlyHeard = evidence == failover.HeardOnly
}

// similarTo returns for how long another endpoint must be silent to count as silent for the same
// reason as one that is silent for a time.
func similarTo(silence time.Duration) time.Duration {
	return time.Duration(similarSilence * float64(silence))
}

// releaseReplacement gives back what was reserved for an attempt that is not made, since the
// silent one has ended by itself.
func (c *call) releaseReplacement(next *hop) {
	if next == nil {
		return
	}
	next.choice.End()
	c.entry.rollouts.Return(next.exposure)
	c.entry.retries.ReturnRepeat(c.service.Name, time.Now())
}
