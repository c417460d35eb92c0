package entry

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
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
	// budgetPause is the pause before a request asks for a retry again.
	budgetPause = 100 * time.Millisecond
	// noEndpointRetryAfter is the advice to callers when no endpoint holds their model.
	noEndpointRetryAfter = 2 * time.Second
	// maxPlaces bounds the endpoints looked at for one attempt.
	maxPlaces = 10
	// minPatience is how long at least a request that has run waits for an endpoint.
	minPatience = 60 * time.Second
)

// try answers an Ask of the machine: it decides whether an attempt is allowed,
// chooses its endpoint and carries it out.
func (g *generation) try(ask attempt.Action) {
	if err := g.allow(&ask); err != nil {
		g.event(func() []attempt.Action { return g.machine.Denied(err) })
		return
	}
	leave, err := g.service.clear(g.ctx, g.req)
	if err != nil {
		if ask.Reason != attempt.First {
			// This request was quarantined while it ran: its caller may resend at once through a peer.
			g.service.tellMarks()
		}
		g.event(func() []attempt.Action { return g.machine.Denied(quarantineRefusal(err)) })
		return
	}
	whole := false
	defer func() { leave.end(whole) }()
	alone := leave.verdict == suspect.Alone
	decision, state, err := g.place(&ask, alone)
	if err != nil {
		g.event(func() []attempt.Action { return g.machine.Denied(err) })
		return
	}
	if alone {
		defer g.service.release(state)
	}
	whole = g.send(&decision, state)
}

// allow spends the retry budget and waits the backoff of a further attempt.
func (g *generation) allow(ask *attempt.Action) error {
	if ask.Reason == attempt.First {
		return nil
	}
	kind := retryKind(ask)
	failures := 0
	if kind != retry.AfterReclaim {
		failures = g.noteFailure()
	}
	if err := g.spend(ask, kind, failures); err != nil {
		return err
	}
	g.noteRetry(ask)
	if kind == retry.AfterReclaim || sleep(g.ctx, retry.Backoff(g.doc.Retry, failures-1, route.SharedRandom)) {
		return nil
	}
	return context.Cause(g.ctx)
}

// retryKind says what a further attempt costs.
func retryKind(ask *attempt.Action) retry.Kind {
	var reclaimed *ReclaimedError
	var lost *LostError
	switch {
	case ask.Reason == attempt.Handover, errors.As(ask.Cause, &reclaimed):
		return retry.AfterReclaim
	case errors.As(ask.Cause, &lost), ask.Reason == attempt.Resume:
		// A stream that has begun is not left waiting for the budget: its number
		// is bounded by the work that was running, and breakers stop endpoints
		// that fail again and again.
		return retry.AfterLoss
	default:
		return retry.AfterFailure
	}
}

// spend takes a retry from the budget. The request was accepted: while the
// budget is spent it waits, so that it is answered late rather than not at all.
func (g *generation) spend(ask *attempt.Action, kind retry.Kind, failures int) error {
	for {
		err := g.service.budget.Retry(g.req.Workspace, kind, failures, time.Now())
		var spent *retry.BudgetError
		if err == nil || !errors.As(err, &spent) {
			return err
		}
		if spent.Scope == retry.ScopeRequest || time.Since(g.req.Arrived) > g.patience() {
			return &RefusalError{Type: RefusedRetryBudget, RetryAfter: noEndpointRetryAfter, Message: "attempts failed and no further one is allowed: " + err.Error(), Err: ask.Cause}
		}
		if !sleep(g.ctx, budgetPause) {
			return context.Cause(g.ctx)
		}
	}
}

func (g *generation) noteRetry(ask *attempt.Action) {
	g.service.metrics.retries.Inc()
	event := telemetry.Event{Type: telemetry.EventRetried, Tokens: ask.Offset}
	if ask.Reason != attempt.Retry {
		event.Type = telemetry.EventResumed
		g.service.metrics.resumptions.Inc()
	}
	if ask.Cause != nil {
		event.Message = ask.Cause.Error()
	}
	g.record.Add(time.Now(), event)
}

func (g *generation) noteFailure() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures++
	return g.failures
}

func (g *generation) avoidList() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.avoid)
}

func (g *generation) avoidEndpoint(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.avoid, id) {
		g.avoid = append(g.avoid, id)
	}
}

func (g *generation) forgetAvoided() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.avoid = nil
}

func quarantineRefusal(err error) error {
	var quarantined *suspect.QuarantinedError
	if !errors.As(err, &quarantined) {
		return err
	}
	return &RefusalError{Type: RefusedQuarantine, RetryAfter: quarantined.RetryAfter, Message: "the request crashed endpoints before", Err: err}
}

// place chooses an endpoint. An admitted request waits while the endpoints
// that could serve it are isolated or behind open breakers. One that has run
// waits for an endpoint to appear at all: it is not given up because its
// endpoints were reclaimed.
func (g *generation) place(ask *attempt.Action, alone bool) (route.Decision, *endpointState, error) {
	_, span := g.service.options.Tracing.Start(g.ctx, telemetry.HopRouting)
	defer span.End()
	for {
		decision, state, err := g.placeOnce(alone)
		if err == nil {
			span.Text("endpoint", state.id)
			g.record.Add(time.Now(), routedEvent(&decision))
			return decision, state, nil
		}
		if time.Since(g.req.Arrived) > g.waitFor(ask, err) {
			span.Fail(err)
			return decision, nil, &RefusalError{Type: RefusedNoEndpoint, RetryAfter: noEndpointRetryAfter, Message: "no endpoint can serve the model now", Err: err}
		}
		if !sleep(g.ctx, noEndpointPause) {
			return decision, nil, context.Cause(g.ctx)
		}
		g.forgetAvoided()
	}
}

// waitFor returns how long after its arrival a request waits for an endpoint.
func (g *generation) waitFor(ask *attempt.Action, err error) time.Duration {
	if ask.Reason != attempt.First {
		return g.patience()
	}
	var missing *route.NoEndpointError
	if errors.As(err, &missing) && missing.Fitting == 0 {
		return 0
	}
	return time.Duration(g.rank().MaxWaitMS) * time.Millisecond
}

func (g *generation) placeOnce(alone bool) (route.Decision, *endpointState, error) {
	for range maxPlaces {
		decision, err := g.route(alone)
		if err != nil {
			return decision, nil, err
		}
		state := g.service.directory.find(decision.Endpoint.ID)
		if g.usable(state, alone, decision.WaitIdle) {
			return decision, state, nil
		}
		g.avoidEndpoint(decision.Endpoint.ID)
	}
	return route.Decision{}, nil, &route.NoEndpointError{Model: g.req.Model, Fitting: maxPlaces}
}

func (g *generation) usable(state *endpointState, alone, waitIdle bool) bool {
	if state == nil || state.crashed.Load() || !state.breaker.Allow(time.Now()) {
		return false
	}
	return !alone || g.service.isolate(g.ctx, state, waitIdle)
}

func (g *generation) route(alone bool) (route.Decision, error) {
	started := time.Now()
	defer g.service.metrics.decision.Since(started)
	snapshot := g.service.directory.current()
	request := g.routeRequest(alone)
	if g.service.options.Baseline.RoundRobin {
		return g.service.directory.nextInTurn(g.req.Model, request.Avoid)
	}
	decision, err := g.service.router.Route(request, snapshot, started, route.SharedRandom)
	if err != nil && len(request.Avoid) > 0 {
		// Every endpoint failed once: better one of them than none.
		g.forgetAvoided()
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

// patience is how long after its arrival a request that has run waits for an endpoint.
func (g *generation) patience() time.Duration {
	return max(minPatience, time.Duration(g.rank().MaxWaitMS)*time.Millisecond)
}

// send carries out one attempt and reports whether it gave the whole answer.
func (g *generation) send(decision *route.Decision, state *endpointState) bool {
	s := g.service
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	ctx, span := s.options.Tracing.Start(ctx, telemetry.HopAttempt)
	defer span.End()
	span.Text("endpoint", state.id)
	p := &pump{generation: g, state: state, id: newUUID(), sentAt: time.Now()}
	source, wanted := p.grant(cancel)
	if !wanted {
		return false
	}
	req, wanted := p.request(ctx, source)
	if !wanted {
		return false
	}
	s.metrics.attempts.Inc()
	g.record.Add(time.Now(), telemetry.Event{Type: telemetry.EventAttemptStarted, Endpoint: state.id, Attempt: p.id, Tokens: req.EmittedTokens})
	s.running.Start(state.id, g.req.Fingerprint)
	defer s.running.End(state.id, g.req.Fingerprint)
	flight := decision.Start(time.Now())
	p.flight = &flight
	defer func() { flight.Done(time.Now()) }()
	err := p.run(ctx, req)
	span.Fail(err)
	g.noteEnd(p, err)
	return err == nil
}

func (g *generation) noteEnd(p *pump, err error) {
	event := telemetry.Event{Type: telemetry.EventAttemptEnded, Endpoint: p.state.id, Attempt: p.id, Tokens: g.journal.Tokens()}
	if err != nil {
		event.Message = err.Error()
	} else {
		p.state.breaker.Success()
	}
	g.record.Add(time.Now(), event)
}

// refused classifies the refusal of an endpoint for the machine.
func refused(err error) (*port.RefusedError, bool) {
	var refusal *port.RefusedError
	ok := errors.As(err, &refusal)
	return refusal, ok
}

func isLeavingRefusal(err error) bool {
	refusal, ok := refused(err)
	return ok && refusal.Body.Code == endpoint.CodeLeaving
}
