package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/port"
)

// attemptRunner carries out one attempt: it sends the request and passes the
// received frames to the attempt machine.
type attemptRunner struct {
	generation *generation
	state      *endpointState
	id         string
	flight     *route.Flight
	sentAt     time.Time
	tokens     int
	tokenGaps  gapMeter
	restart    restartFilter
	// moveAt is when the request moves away from a leaving endpoint; zero until
	// the endpoint announces that it leaves.
	moveAt        time.Time
	moveRequested bool
	complete      bool
	// alone is set if the request must run alone on its endpoint.
	alone   bool
	silence *silenceWatch
}

// gapMeter accumulates the time between tokens for the limiter.
type gapMeter struct {
	last  time.Time
	sum   time.Duration
	count int
}

// limiterSampleTokens is the number of tokens after which the average time
// between tokens is reported to the limiter.
const limiterSampleTokens = 16

// registerAttempt tells the machine which endpoint the attempt uses. It returns
// the running attempt whose KV cache can be exported, if there is one, and
// whether the attempt is still wanted.
func (r *attemptRunner) registerAttempt(cancel context.CancelFunc) (*kvSource, bool) {
	g := r.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	var source *kvSource
	wanted := false
	for _, action := range g.machine.Granted(r.id, r.state.id) {
		wanted = wanted || action.Kind == attempt.Send
		if action.Kind != attempt.Send {
			g.performAction(&action)
		}
		if action.Source != "" {
			source = &kvSource{attempt: action.Source, endpoint: action.SourceEndpoint}
		}
	}
	g.cancels[r.id] = cancel
	return source, wanted
}

// buildRequest builds the request of the attempt, which resumes after the
// delivered tokens. It reports whether the attempt is still wanted.
func (r *attemptRunner) buildRequest(ctx context.Context, source *kvSource) (*endpoint.GenerateRequest, bool) {
	g := r.generation
	req := &endpoint.GenerateRequest{
		AttemptID:   r.id,
		RequestID:   g.req.ID,
		Model:       g.req.Model,
		Version:     g.req.Version,
		Adapter:     g.req.Adapter,
		Prompt:      g.req.Prompt,
		MaxTokens:   g.req.MaxTokens,
		Priority:    g.req.RankIndex,
		KVHandle:    g.transferKV(ctx, source, r.state),
		Stop:        g.req.Stop,
		Temperature: g.req.Temperature,
		TopP:        g.req.TopP,
		Seed:        g.req.Seed,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	emitted, offset, wanted := g.machine.Sent(r.id)
	if g.service.options.Baseline.Restart {
		r.restart = restartFilter{bytes: len(emitted), tokens: offset}
		return req, wanted
	}
	req.Emitted, req.EmittedTokens = emitted, offset
	return req, wanted
}

// run sends the attempt and reads its frames. The error is nil if the answer is
// complete.
func (r *attemptRunner) run(ctx context.Context, req *endpoint.GenerateRequest) error {
	if !r.alone {
		r.silence = watchSilence(headerTimeout, r.reportSilence)
		defer r.silence.stop()
	}
	stream, err := r.generation.service.options.Engine.Generate(ctx, r.state.baseURL, req)
	if err != nil {
		r.reportLoss(err)
		return err
	}
	defer stream.Close()
	r.limitSilence(stream)
	buffered, _ := stream.(port.BufferedStream)
	var frame endpoint.Frame
	for {
		r.silence.begin()
		err := stream.Next(&frame)
		r.silence.end()
		if err != nil {
			if errors.Is(err, io.EOF) && r.complete {
				return nil
			}
			r.reportLoss(err)
			return err
		}
		r.handleFrame(&frame)
		if buffered == nil || !buffered.Pending() {
			r.generation.flush()
		}
		if r.shouldMove(time.Now()) {
			r.requestMove()
		}
	}
}

// handleFrame passes one frame to the machine.
func (r *attemptRunner) handleFrame(frame *endpoint.Frame) {
	g := r.generation
	if frame.Type == endpoint.FrameTokens && frame.AttemptID == r.id {
		if !r.restart.trim(frame) {
			return
		}
		r.recordTokens(frame.Count, time.Now())
	}
	if frame.Type == endpoint.FrameDone && frame.AttemptID == r.id {
		r.complete = true
	}
	g.handleEvent(func() []attempt.Action {
		actions := g.machine.Frame(r.id, frame)
		if !r.complete && !g.machine.Ended() && !g.machine.Running(r.id) {
			// The machine ended the attempt because the endpoint sent an
			// invalid frame.
			g.avoid = append(g.avoid, r.state.id)
			r.state.breaker.Failure(time.Now())
		}
		return actions
	})
}

// reportLoss reports to the machine that the attempt ended early. The endpoint
// is checked first: if it crashed, the requests that ran there are marked as
// suspects before any of them is retried.
func (r *attemptRunner) reportLoss(err error) {
	g := r.generation
	cause := err
	if g.ctx.Err() == nil && !r.cancelled() {
		cause = r.attributeFailure(err)
	}
	g.handleEvent(func() []attempt.Action {
		if refusal, ok := asRefusal(err); ok {
			return g.machine.Refused(r.id, refusal.Body.Run, cause)
		}
		var transport *port.TransportError
		sent := !errors.As(err, &transport) || transport.Sent
		return g.machine.Lost(r.id, sent, cause)
	})
}

// cancelled reports whether the machine no longer needs the attempt.
func (r *attemptRunner) cancelled() bool {
	g := r.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Ended() || !g.machine.Running(r.id)
}

// attributeFailure records the failure for the endpoint and returns the error
// that explains why the attempt ended.
func (r *attemptRunner) attributeFailure(err error) error {
	r.generation.avoidEndpoint(r.state.id)
	crashed := r.generation.service.recordFailure(r.state, err)
	if r.isLeaving() || isLeavingRefusal(err) {
		return &ReclaimedError{Endpoint: r.state.id, Err: err}
	}
	if crashed || isSilentStream(err) {
		return &LostError{Endpoint: r.state.id, Err: err}
	}
	if _, refusal := asRefusal(err); !refusal {
		r.state.breaker.Failure(time.Now())
	}
	return err
}

func isSilentStream(err error) bool {
	var transport *port.TransportError
	return errors.As(err, &transport) && transport.Silent
}

// recordTokens passes the timing of received tokens to the speed estimates of
// the router and to the limiter.
func (r *attemptRunner) recordTokens(count int, now time.Time) {
	r.flight.Tokens(count, now)
	inFlight := max(r.generation.service.router.InFlight(r.state.id), int(r.state.reportedRunning.Load()))
	if r.tokens == 0 {
		r.state.limiter.ObserveFirst(now.Sub(r.sentAt), inFlight, now)
	} else {
		r.tokenGaps.sum += now.Sub(r.tokenGaps.last)
		r.tokenGaps.count += count
	}
	r.tokenGaps.last = now
	r.tokens += count
	if r.tokenGaps.count >= limiterSampleTokens {
		r.state.limiter.ObserveTokens(r.tokenGaps.sum/time.Duration(r.tokenGaps.count), r.tokenGaps.count, inFlight, now)
		r.tokenGaps.sum, r.tokenGaps.count = 0, 0
	}
}

func (r *attemptRunner) isLeaving() bool { return r.state.isLeaving() }

const (
	// stayShare is the share of the notice within which a generation must be
	// expected to finish to stay at a leaving endpoint.
	stayShare = 0.5
	// spreadShare is the share of the notice over which moves are spread, so
	// that the prefills of many moved requests do not reach the other endpoints
	// at once.
	spreadShare = 0.25
	// maxSpread limits the spread: a longer one brings no benefit, and notices
	// can be cut short.
	maxSpread = 2 * time.Second
	// defaultNotice is assumed for an endpoint that leaves without a deadline.
	defaultNotice = 2 * time.Second
)

// shouldMove reports whether the request must now move away from its leaving
// endpoint.
func (r *attemptRunner) shouldMove(now time.Time) bool {
	if r.moveRequested || !r.isLeaving() || r.generation.service.options.Baseline.Restart {
		return false
	}
	if r.moveAt.IsZero() {
		r.moveAt = r.planMove(now)
	}
	return now.After(r.moveAt)
}

// planMove returns when to move. A generation that is expected to finish within
// stayShare of the notice moves only after stayShare and spreadShare of it have
// passed.
func (r *attemptRunner) planMove(now time.Time) time.Time {
	notice := r.state.remainingNotice(now)
	if r.estimateRemaining() < time.Duration(float64(notice)*stayShare) {
		return now.Add(time.Duration(float64(notice) * (stayShare + spreadShare)))
	}
	spread := min(time.Duration(float64(notice)*spreadShare), maxSpread)
	return now.Add(rand.N(spread + 1))
}

// requestMove makes the machine move the request to another endpoint. The
// attempt continues until the new one takes over.
func (r *attemptRunner) requestMove() {
	r.moveRequested = true
	g := r.generation
	g.avoidEndpoint(r.state.id)
	g.handleEvent(func() []attempt.Action { return g.machine.Notice(r.state.id) })
}

// estimateRemaining estimates the time until the answer is complete.
func (r *attemptRunner) estimateRemaining() time.Duration {
	g := r.generation
	expected := g.service.lengths.Expect(g.req.Workspace, g.req.Model, g.req.MaxTokens)
	left := max(expected-g.journal.Tokens(), 1)
	if r.tokens < 2 {
		return time.Duration(left*g.rank().PerTokenMS) * time.Millisecond
	}
	return time.Since(r.sentAt) / time.Duration(r.tokens) * time.Duration(left)
}

// rank returns the configuration of the request's rank.
func (g *generation) rank() conf.Rank {
	if g.req.RankIndex < 0 || g.req.RankIndex >= len(g.doc.Ranks) {
		return conf.Rank{}
	}
	return g.doc.Ranks[g.req.RankIndex]
}

// restartFilter drops the text that a restarted generation repeats. A restarted
// generation begins with the same text, so the positions can be compared by
// length.
type restartFilter struct {
	bytes, tokens int
}

// trim removes from a frame the tokens that the caller already has, and reports
// whether any are left.
func (r *restartFilter) trim(frame *endpoint.Frame) bool {
	if r.tokens == 0 {
		return true
	}
	if frame.Offset+frame.Count <= r.tokens {
		r.bytes -= len(frame.Text)
		return false
	}
	repeated := r.tokens - frame.Offset
	frame.Offset = r.tokens
	frame.Count -= repeated
	frame.Text = frame.Text[min(max(r.bytes, 0), len(frame.Text)):]
	r.tokens, r.bytes = 0, 0
	return true
}
