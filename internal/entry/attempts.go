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
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// endpointRetryInterval is the pause before a request searches for an
	// endpoint again.
	endpointRetryInterval = 50 * time.Millisecond
	// budgetRetryInterval is the pause before a request asks the retry budget
	// again.
	budgetRetryInterval = 100 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After recommendation when no endpoint
	// can serve the request.
	noEndpointRetryAfter = 2 * time.Second
	// maxCandidates limits the endpoints that are examined for one attempt.
	maxCandidates = 10
	// minRetryWindow is the minimum time after its arrival for which a request
	// that has run keeps waiting for an endpoint or the retry budget.
	minRetryWindow = 60 * time.Second
)

// runAttempt handles an Ask action of the machine: it decides whether an
// attempt is allowed, chooses its endpoint and carries it out.
func (g *generation) runAttempt(ask attempt.Action) {
	sent := false
	defer func() {
		if ask.Silent && !sent && retryKind(&ask) != retry.AfterReclaim {
			// The silent attempt has not failed yet.
			g.withdrawFailure()
		}
	}()
	if err := g.allowAttempt(&ask); err != nil {
		g.handleEvent(func() []attempt.Action { return g.machine.Denied(err) })
		return
	}
	permit, err := g.service.acquireRunPermit(g.ctx, g.req)
	if err != nil {
		if ask.Reason != attempt.First {
			// The request was quarantined while it ran. Its caller may
			// immediately resend it through a peer, which must know about the
			// quarantine.
			g.service.broadcastCrashRecords()
		}
		g.handleEvent(func() []attempt.Action { return g.machine.Denied(quarantineRefusal(err)) })
		return
	}
	completed := false
	defer func() { permit.end(completed) }()
	alone := permit.verdict == suspect.Alone
	decision, state, err := g.chooseEndpoint(&ask, alone)
	if err != nil {
		g.handleEvent(func() []attempt.Action { return g.machine.Denied(err) })
		return
	}
	if alone {
		defer g.service.releaseIsolation(state)
	}
	sent, completed = g.executeAttempt(&decision, state, alone)
}

// allowAttempt takes a retry from the budget and waits for the backoff before a
// further attempt. The first attempt needs neither.
func (g *generation) allowAttempt(ask *attempt.Action) error {
	if ask.Reason == attempt.First {
		return nil
	}
	kind := retryKind(ask)
	failures := 0
	if kind != retry.AfterReclaim {
		failures = g.countFailure()
	}
	if err := g.spendRetryBudget(ask, kind, failures); err != nil {
		return err
	}
	g.recordRetry(ask)
	if kind == retry.AfterReclaim || wait.For(g.ctx, retry.Backoff(g.doc.Retry, failures-1, route.SharedRandom)) {
		return nil
	}
	return context.Cause(g.ctx)
}

// retryKind classifies a further attempt for the retry budget.
func retryKind(ask *attempt.Action) retry.Kind {
	var reclaimed *ReclaimedError
	var lost *LostError
	switch {
	case ask.Reason == attempt.Handover, errors.As(ask.Cause, &reclaimed):
		return retry.AfterReclaim
	case errors.As(ask.Cause, &lost), ask.Reason == attempt.Resume:
		// A stream that has started does not wait for the budget. The number of
		// such retries is limited by the work that was running, and circuit
		// breakers block endpoints that fail repeatedly.
		return retry.AfterLoss
	default:
		return retry.AfterFailure
	}
}

// spendRetryBudget takes a retry from the budget. The request was accepted, so
// while the budget is exhausted it waits: a late answer is better than none.
func (g *generation) spendRetryBudget(ask *attempt.Action, kind retry.Kind, failures int) error {
	for {
		err := g.service.budget.Retry(g.req.Workspace, kind, failures, time.Now())
		var spent *retry.BudgetError
		if err == nil || !errors.As(err, &spent) {
			return err
		}
		if spent.Scope == retry.ScopeRequest || time.Since(g.req.Arrived) > g.retryWindow() {
			return &RefusalError{Type: RefusedRetryBudget, RetryAfter: noEndpointRetryAfter, Message: "attempts failed and no further one is allowed: " + err.Error(), Err: ask.Cause}
		}
		if !wait.For(g.ctx, budgetRetryInterval) {
			return context.Cause(g.ctx)
		}
	}
}

func (g *generation) recordRetry(ask *attempt.Action) {
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

func (g *generation) countFailure() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures++
	return g.failures
}

// withdrawFailure takes back countFailure for a silent attempt that nothing has
// replaced.
func (g *generation) withdrawFailure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures--
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

func (g *generation) clearAvoidList() {
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

// chooseEndpoint chooses an endpoint. An admitted request waits while the
// endpoints that could serve it are isolated or blocked by open circuit
// breakers. A request that has already run also waits if no endpoint exists at
// the moment, so that it does not fail because its endpoints were reclaimed.
func (g *generation) chooseEndpoint(ask *attempt.Action, alone bool) (route.Decision, *endpointState, error) {
	_, span := g.service.options.Tracing.Start(g.ctx, telemetry.HopRouting)
	defer span.End()
	for {
		decision, state, err := g.findUsableEndpoint(alone)
		if err == nil {
			span.Text("endpoint", state.id)
			g.record.Add(time.Now(), routedEvent(&decision))
			return decision, state, nil
		}
		if time.Since(g.req.Arrived) > g.endpointWait(ask, err) {
			span.Fail(err)
			return decision, nil, &RefusalError{Type: RefusedNoEndpoint, RetryAfter: noEndpointRetryAfter, Message: "no endpoint can serve the model now", Err: err}
		}
		if !wait.For(g.ctx, endpointRetryInterval) {
			return decision, nil, context.Cause(g.ctx)
		}
		g.clearAvoidList()
	}
}

// endpointWait returns how long after its arrival a request waits for an
// endpoint.
func (g *generation) endpointWait(ask *attempt.Action, err error) time.Duration {
	if ask.Reason != attempt.First {
		return g.retryWindow()
	}
	var missing *route.NoEndpointError
	if errors.As(err, &missing) && missing.Eligible == 0 {
		return 0
	}
	return time.Duration(g.rank().MaxWaitMS) * time.Millisecond
}

func (g *generation) findUsableEndpoint(alone bool) (route.Decision, *endpointState, error) {
	for range maxCandidates {
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
	return route.Decision{}, nil, &route.NoEndpointError{Model: g.req.Model, Eligible: maxCandidates}
}

func (g *generation) usable(state *endpointState, alone, waitIdle bool) bool {
	if state == nil || state.crashed.Load() || !state.breaker.Allow(time.Now()) {
		return false
	}
	return !alone || g.service.isolateEndpoint(g.ctx, state, waitIdle)
}

func (g *generation) route(alone bool) (route.Decision, error) {
	started := time.Now()
	defer g.service.metrics.decision.Since(started)
	snapshot := g.service.directory.current()
	request := g.routeRequest(alone)
	if g.service.options.Baseline.RoundRobin {
		return g.service.directory.nextRoundRobin(g.req.Model, request.Avoid)
	}
	decision, err := g.service.router.Route(request, snapshot, started, route.SharedRandom)
	if err != nil && len(request.Avoid) > 0 {
		// Every endpoint has failed once. Using one of them again is better
		// than using none.
		g.clearAvoidList()
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

// retryWindow returns how long after its arrival a request that has run waits
// for an endpoint or the retry budget.
func (g *generation) retryWindow() time.Duration {
	return max(minRetryWindow, time.Duration(g.rank().MaxWaitMS)*time.Millisecond)
}

// executeAttempt carries out one attempt, and reports whether it was sent and
// whether it completed the answer.
func (g *generation) executeAttempt(decision *route.Decision, state *endpointState, alone bool) (sent, completed bool) {
	s := g.service
	ctx, cancel := context.WithCancel(g.ctx)
	defer cancel()
	ctx, span := s.options.Tracing.Start(ctx, telemetry.HopAttempt)
	defer span.End()
	span.Text("endpoint", state.id)
	runner := &attemptRunner{generation: g, state: state, id: newUUID(), sentAt: time.Now(), alone: alone}
	source, wanted := runner.registerAttempt(cancel)
	if !wanted {
		return false, false
	}
	req, wanted := runner.buildRequest(ctx, source)
	if !wanted {
		return false, false
	}
	s.metrics.attempts.Inc()
	g.record.Add(time.Now(), telemetry.Event{Type: telemetry.EventAttemptStarted, Endpoint: state.id, Attempt: runner.id, Tokens: req.EmittedTokens})
	s.runningRequests.Start(state.id, g.req.Fingerprint)
	defer s.runningRequests.End(state.id, g.req.Fingerprint)
	flight := decision.Start(time.Now())
	runner.flight = &flight
	defer func() { flight.Done(time.Now()) }()
	err := runner.run(ctx, req)
	span.Fail(err)
	g.recordAttemptEnd(runner, err)
	return true, err == nil
}

func (g *generation) recordAttemptEnd(runner *attemptRunner, err error) {
	event := telemetry.Event{Type: telemetry.EventAttemptEnded, Endpoint: runner.state.id, Attempt: runner.id, Tokens: g.journal.Tokens()}
	if err != nil {
		event.Message = err.Error()
	} else {
		runner.state.breaker.Success()
	}
	g.record.Add(time.Now(), event)
}

// asRefusal returns the error as a refusal of an endpoint and reports whether
// it is one.
func asRefusal(err error) (*port.RefusedError, bool) {
	var refusal *port.RefusedError
	ok := errors.As(err, &refusal)
	return refusal, ok
}

func isLeavingRefusal(err error) bool {
	refusal, ok := asRefusal(err)
	return ok && refusal.Body.Code == endpoint.CodeLeaving
}
