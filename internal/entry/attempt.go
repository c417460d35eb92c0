package entry

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/retry"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// noEndpointPause is the pause before a request that already ran looks for
	// an endpoint again.
	noEndpointPause = 50 * time.Millisecond
	// noEndpointRetryAfter is the advice to callers when no endpoint holds their model.
	noEndpointRetryAfter = 2 * time.Second
	// maxAlonePlaces bounds the tries to get an endpoint for a suspect request.
	maxAlonePlaces = 10
)

// outcome says how an attempt ended.
type outcome struct {
	whole bool
	// err is why the attempt ended early; nil with whole.
	err error
	// reclaimed is set when the attempt ended because its endpoint leaves.
	reclaimed bool
	// unplaced is set when no endpoint was found.
	unplaced bool
}

// attempt chooses an endpoint and streams from it until the answer is whole
// or the stream ends early.
func (g *generation) attempt(ctx context.Context) outcome {
	leave, err := g.service.clear(ctx, g.req)
	if err != nil {
		return outcome{err: g.quarantineRefusal(err)}
	}
	decision, state, err := g.place(ctx, leave.verdict == suspect.Alone)
	if err != nil {
		leave.end(false)
		return outcome{err: err, unplaced: true}
	}
	if leave.verdict == suspect.Alone {
		defer g.service.router.SetIsolated(state.id, false)
	}
	result := g.send(ctx, &decision, state)
	leave.end(result.whole)
	return result
}

func (g *generation) quarantineRefusal(err error) error {
	var quarantined *suspect.QuarantinedError
	if !errors.As(err, &quarantined) {
		return err
	}
	return g.refuse(RefusedQuarantine, quarantined.RetryAfter, "the request crashed endpoints before", err)
}

// place chooses an endpoint. Suspect requests get one for themselves.
func (g *generation) place(ctx context.Context, alone bool) (route.Decision, *endpointState, error) {
	_, span := g.service.options.Tracing.Start(ctx, telemetry.HopRouting)
	defer span.End()
	for range maxAlonePlaces {
		decision, err := g.route(alone)
		if err != nil {
			span.Fail(err)
			return decision, nil, err
		}
		state := g.service.directory.find(decision.Endpoint.ID)
		if !g.usable(ctx, state, alone, decision.WaitIdle) {
			g.avoid = append(g.avoid, decision.Endpoint.ID)
			continue
		}
		span.Text("endpoint", decision.Endpoint.ID)
		g.record.Add(time.Now(), routedEvent(&decision))
		return decision, state, nil
	}
	return route.Decision{}, nil, &route.NoEndpointError{Model: g.req.Model}
}

func (g *generation) usable(ctx context.Context, state *endpointState, alone, waitIdle bool) bool {
	if state == nil || state.crashed.Load() || !state.breaker.Allow(time.Now()) {
		return false
	}
	return !alone || g.service.isolate(ctx, state, waitIdle)
}

func (g *generation) route(alone bool) (route.Decision, error) {
	started := time.Now()
	defer g.service.metrics.decision.Since(started)
	snapshot := g.service.directory.current()
	if g.service.options.Baseline.RoundRobin {
		return g.service.directory.nextInTurn(g.req.Model, g.avoid)
	}
	request := g.routeRequest(alone)
	decision, err := g.service.router.Route(request, snapshot, started, route.SharedRandom)
	if err != nil && len(g.avoid) > 0 {
		// Every endpoint failed once: better one of them than none.
		g.avoid = nil
		request.Avoid = nil
		decision, err = g.service.router.Route(request, snapshot, started, route.SharedRandom)
	}
	return decision, err
}

func routedEvent(decision *route.Decision) telemetry.Event {
	event := telemetry.Event{Type: telemetry.EventRouted, Endpoint: decision.Endpoint.ID, Score: decision.Score, Tokens: decision.CachedTokens}
	if decision.Probe {
		event.Reasons = append(event.Reasons, "probe of a straggler")
	}
	if decision.CachedTokens > 0 {
		event.Reasons = append(event.Reasons, strconv.Itoa(decision.CachedTokens)+" prompt tokens cached")
	}
	return event
}

// send runs one attempt at an endpoint.
func (g *generation) send(ctx context.Context, decision *route.Decision, state *endpointState) outcome {
	s := g.service
	ctx, span := s.options.Tracing.Start(ctx, telemetry.HopAttempt)
	defer span.End()
	span.Text("endpoint", state.id)
	req := g.engineRequest()
	g.noteStart(state, req)
	s.running.Start(state.id, g.req.Fingerprint)
	defer s.running.End(state.id, g.req.Fingerprint)
	flight := decision.Start(time.Now())
	defer func() { flight.Done(time.Now()) }()
	stream, err := s.options.Engine.Generate(ctx, state.baseURL, req)
	if err != nil {
		return g.ended(span, state, req, g.failed(ctx, state, err))
	}
	defer stream.Close()
	g.sent = true
	p := &pump{generation: g, state: state, stream: stream, flight: &flight, req: req, sentAt: time.Now(), offset: req.EmittedTokens}
	return g.ended(span, state, req, p.run(ctx))
}

// noteStart counts an attempt, and what a further one computes again.
func (g *generation) noteStart(state *endpointState, req *endpoint.GenerateRequest) {
	g.result.Attempts++
	g.service.metrics.attempts.Inc()
	if g.result.Attempts > 1 {
		again := g.req.PromptTokens + g.journal.Tokens()
		if g.kv.handle != "" {
			again -= g.kv.tokens
		}
		g.result.RecomputedTokens += max(again, 0)
		g.service.metrics.resumptions.Inc()
	}
	g.kv = kvTransfer{}
	g.record.Add(time.Now(), telemetry.Event{Type: telemetry.EventAttemptStarted, Endpoint: state.id, Attempt: req.AttemptID, Tokens: req.EmittedTokens})
}

func (g *generation) ended(span telemetry.Span, state *endpointState, req *endpoint.GenerateRequest, result outcome) outcome {
	event := telemetry.Event{Type: telemetry.EventAttemptEnded, Endpoint: state.id, Attempt: req.AttemptID, Tokens: g.journal.Tokens()}
	if result.err != nil {
		span.Fail(result.err)
		event.Message = result.err.Error()
	}
	if result.whole {
		state.breaker.Success()
	}
	g.record.Add(time.Now(), event)
	return result
}

// failed classifies an attempt that got no stream.
func (g *generation) failed(ctx context.Context, state *endpointState, err error) outcome {
	if cause := context.Cause(ctx); cause != nil {
		g.noteSent(err)
		return outcome{err: cause}
	}
	g.noteSent(err)
	crashed := g.service.noteFailure(state, err)
	var refused *port.RefusedError
	leaving := errors.As(err, &refused) && refused.Body.Code == endpoint.CodeLeaving
	if !crashed && !leaving && !isRefusal(err) {
		state.breaker.Failure(time.Now())
	}
	return outcome{err: err, reclaimed: leaving}
}

// noteSent keeps the truth about whether any attempt may have run.
func (g *generation) noteSent(err error) {
	var refused *port.RefusedError
	var transport *port.TransportError
	switch {
	case errors.As(err, &refused):
		g.sent = g.sent || refused.Body.Run != endpoint.NotRun
	case errors.As(err, &transport):
		g.sent = g.sent || transport.Sent
	default:
		g.sent = true
	}
}

func isRefusal(err error) bool {
	var refused *port.RefusedError
	return errors.As(err, &refused)
}

// next decides whether another attempt is made, and waits until it may be.
func (g *generation) next(ctx context.Context, last outcome) error {
	if cause := context.Cause(ctx); cause != nil {
		return g.handOver(ctx, cause)
	}
	var refusal *RefusalError
	if errors.As(last.err, &refusal) {
		return refusal
	}
	if last.unplaced {
		return g.awaitEndpoint(ctx, last.err)
	}
	g.lastErr = last.err
	kind := retry.AfterFailure
	if last.reclaimed {
		kind = retry.AfterReclaim
	} else {
		g.failures++
	}
	if err := g.service.budget.Retry(g.req.Workspace, kind, g.failures, time.Now()); err != nil {
		return g.refuse(RefusedRetryBudget, noEndpointRetryAfter, "attempts failed and no further one is allowed: "+err.Error(), last.err)
	}
	g.service.metrics.retries.Inc()
	if kind == retry.AfterReclaim {
		return nil
	}
	if !sleep(ctx, retry.Backoff(g.doc.Retry, g.failures-1, route.SharedRandom)) {
		return g.handOver(ctx, context.Cause(ctx))
	}
	return nil
}

// awaitEndpoint waits for an endpoint to appear, if the request has run: an
// accepted request is not given up because its endpoints were reclaimed.
func (g *generation) awaitEndpoint(ctx context.Context, err error) error {
	var missing *route.NoEndpointError
	if !errors.As(err, &missing) {
		return err
	}
	waited := time.Since(g.req.Arrived)
	if !g.sent || waited > g.patience() {
		return g.refuse(RefusedNoEndpoint, noEndpointRetryAfter, "no endpoint can serve the model now", err)
	}
	if !sleep(ctx, noEndpointPause) {
		return g.handOver(ctx, context.Cause(ctx))
	}
	return nil
}

// patience is how long after its arrival a request that has run waits for an endpoint.
func (g *generation) patience() time.Duration {
	const floor = 60 * time.Second
	index := g.req.RankIndex
	if index < 0 || index >= len(g.doc.Ranks) {
		return floor
	}
	return max(floor, time.Duration(g.doc.Ranks[index].MaxWaitMS)*time.Millisecond)
}

// isEnd reports whether a stream ended after its last frame.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
