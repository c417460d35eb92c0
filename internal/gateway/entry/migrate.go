package entry

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// moveLeadTime is how long before an endpoint shuts down its streams are
	// moved. A shorter time spares the moves of streams that end before; a longer
	// one is needed because all copies share the network link of the endpoint.
	moveLeadTime = 800 * time.Millisecond
	// maxConcurrentMoves limits the concurrent moves that this entry requests
	// from one endpoint: a run stops when its move is requested, and then waits
	// for the network link.
	maxConcurrentMoves = 2
	// moveTimeout limits a move with its repeated order; after that time the endpoint no longer exists.
	moveTimeout = 1500 * time.Millisecond
	// returnMargin is how long before the end of its drain a draining endpoint gets the last
	// requests: it began to drain before this entry learned of it.
	returnMargin = 250 * time.Millisecond
	// busyOrderPause is the pause before an order is repeated while an earlier one is carried
	// out.
	busyOrderPause = 50 * time.Millisecond
	// maxMoveReplyBytes limits the body of an endpoint's answer to a move.
	maxMoveReplyBytes = 4 << 10
)

// migrations moves the running streams of this entry, with their KV caches, away
// from endpoints that are about to shut down.
type migrations struct {
	entry  *Entry
	drains *drains

	mu sync.Mutex
	// running holds the running streams by endpoint ID.
	running map[string]map[*streamRun]struct{}
}

// streamRun is a stream that runs at an endpoint.
type streamRun struct {
	attemptID string
	request   pick.Request
	// attempt describes the move for the roll-out of the service.
	attempt rollout.Attempt
	// mayBeStopped is set if an order for an earlier run of the attempt may still stop this one.
	mayBeStopped bool
	move         *move
}

// move is the move of a run to another endpoint.
type move struct {
	moveRequest port.Move
	service     string
	// returnBy is when the current endpoint may last receive the request again.
	returnBy time.Time
	// done is closed when the move has ended. The fields below are set before.
	done chan struct{}
	// orders is what the orders did to the run. choice is set for port.MoveDone, and kvHandle
	// also for port.MoveKept.
	orders   runOrders
	choice   *pick.Choice
	kvHandle string
	err      error
}

func newMove(run *streamRun, returnBy time.Time) *move {
	mv := &move{service: run.request.Service, done: make(chan struct{}), returnBy: returnBy}
	mv.orders.unanswered = run.mayBeStopped
	return mv
}

// goesOn reports whether the run can go on from its KV cache, after an order with the given
// effect. If the cache is kept at the current endpoint of the run, it chooses that one again.
func (mv *move) goesOn(effect port.MoveEffect, current *hop) bool {
	switch effect {
	case port.MoveDone:
		return true
	case port.MoveKept:
		now := time.Now()
		if now.Before(mv.returnBy) {
			mv.choice = current.choice.Again(now)
			return true
		}
	}
	return false
}

// isUnsent reports whether the move has ended and none of its orders was sent.
func (mv *move) isUnsent() bool {
	select {
	case <-mv.done:
		return mv.orders.effect == port.MoveNone
	default:
		return false
	}
}

// hop returns the hop of the attempt that continues the run.
func (mv *move) hop() *hop {
	h := directHop(mv.choice)
	if mv.orders.effect == port.MoveKept {
		h.returnBy, h.mayBeStopped = mv.returnBy, mv.orders.unanswered
	}
	return h
}

func newMigrations(e *Entry) *migrations {
	return &migrations{entry: e, drains: newDrains(), running: make(map[string]map[*streamRun]struct{})}
}

// trackRun records a stream that runs at an endpoint. The caller must call
// untrackRun when the stream ends.
func (m *migrations) trackRun(c *call, h *hop) *streamRun {
	endpoint := h.endpoint.ID
	run := &streamRun{attemptID: c.meta.AttemptID, request: *c.pickRequest(), attempt: c.rolloutAttempt(), mayBeStopped: h.mayBeStopped}
	run.request.Avoid = slices.Clone(c.tried)
	// The KV cache is copied, so the new endpoint does not process the prompt again.
	run.request.PromptTokens, run.request.Prefix = 0, nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[endpoint] == nil {
		m.running[endpoint] = make(map[*streamRun]struct{})
	}
	m.running[endpoint][run] = struct{}{}
	return run
}

// untrackRun removes a stream that no longer runs at an endpoint, and returns its
// move if one was started.
func (m *migrations) untrackRun(run *streamRun, endpoint string) *move {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.running[endpoint], run)
	if len(m.running[endpoint]) == 0 {
		delete(m.running, endpoint)
	}
	return run.move
}

// moveFromDraining schedules the moves of streams from endpoints that drain
// and shut down before their work has ended.
func (m *migrations) moveFromDraining(list []registry.Endpoint) {
	now := time.Now()
	for i := range list {
		e := &list[i]
		if e.State != registry.Draining {
			continue
		}
		if d, unhandled := m.drains.takeUnhandled(e, now); unhandled {
			m.entry.goTask(func() { m.evacuate(e, noticeOf(e), d.since) })
		}
	}
}

// evacuate moves the streams that still run at an endpoint shortly before it shuts
// down. It has drained since the given time.
func (m *migrations) evacuate(from *registry.Endpoint, notice time.Duration, since time.Time) {
	returnBy := since.Add(m.entry.options.Settings.Bounds.Drain() - returnMargin)
	if !wait.For(m.entry.ctx, notice-moveLeadTime) {
		return
	}
	m.mu.Lock()
	running := make([]*streamRun, 0, len(m.running[from.ID]))
	for run := range m.running[from.ID] {
		running = append(running, run)
	}
	m.mu.Unlock()
	m.entry.log.Info("Endpoint shuts down soon; its streams are moved.", zap.String("endpoint", from.ID), zap.Int64("born", from.Born), zap.Duration("notice", notice), zap.Int("streams", len(running)))
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentMoves)
	for _, run := range running {
		slots <- struct{}{}
		group.Go(func() {
			m.moveRun(run, from, returnBy)
			<-slots
		})
	}
	group.Wait()
}

// moveRun moves one run, unless the run has already ended or been ordered to move.
func (m *migrations) moveRun(run *streamRun, from *registry.Endpoint, returnBy time.Time) {
	e := m.entry
	mv := newMove(run, returnBy)
	defer close(mv.done)
	m.mu.Lock()
	_, running := m.running[from.ID][run]
	begins := running && (run.move == nil || run.move.isUnsent())
	if begins {
		run.move = mv
	}
	m.mu.Unlock()
	if !begins {
		return
	}
	if mv.err = m.requestMove(mv, run, from); mv.err != nil {
		e.metrics.movesFailed.Inc()
		e.log.Warn("Stream not moved.", zap.String("request", run.attemptID), zap.String("from", from.ID), zap.Stringer("effect", mv.orders.effect), zap.Stringers("orders", mv.orders.effects), zap.Error(mv.err))
		return
	}
	e.metrics.moves.Inc()
	e.log.Info("Stream moved.", zap.String("request", run.attemptID), zap.String("from", from.ID), zap.String("to", mv.choice.Endpoint.ID), zap.Stringers("orders", mv.orders.effects))
}

// requestMove chooses another endpoint and asks the current one to move the run there.
func (m *migrations) requestMove(mv *move, run *streamRun, from *registry.Endpoint) error {
	e := m.entry
	if !e.retries.AllowRepeat(run.request.Service, time.Now()) {
		return &BudgetError{Service: run.request.Service}
	}
	err := m.callMove(mv, run, from)
	if err != nil && mv.orders.effect != port.MoveKept {
		e.retries.ReturnRepeat(run.request.Service, time.Now())
	}
	return err
}

// callMove chooses the other endpoint and calls the current one.
func (m *migrations) callMove(mv *move, run *streamRun, from *registry.Endpoint) error {
	e := m.entry
	decision := e.rollouts.Split(run.attempt, e.clock.Now(), bootclock.Now())
	if decision.Side == rollout.Old {
		return &WithdrawnError{Endpoint: from.ID}
	}
	request := run.request
	request.Now, request.TimeOfDay = time.Now(), e.clock.Now()
	choice, err := e.board.Choose(&request)
	if err != nil {
		e.rollouts.Return(decision.Exposure)
		return err
	}
	mv.moveRequest = port.Move{EndpointID: from.ID, AttemptID: run.attemptID, From: from.Address, To: choice.Endpoint.Address}
	if mv.kvHandle, err = m.sendOrder(&mv.orders, mv.moveRequest); err != nil {
		choice.End()
		e.rollouts.Return(decision.Exposure)
		return err
	}
	mv.choice = choice
	return nil
}

// sendOrder orders an endpoint to move a run, and again while an earlier order is carried out, or
// once if the connection breaks off without an answer. It records the orders. The handle of the KV
// cache is valid also with an error.
func (m *migrations) sendOrder(orders *runOrders, request port.Move) (kvHandle string, err error) {
	ctx, cancel := context.WithTimeout(m.entry.ctx, moveTimeout)
	defer cancel()
	for repeated := false; ; {
		answer, err := m.sendOrderOnce(ctx, request)
		var refused *port.MoveError
		answered := err == nil || errors.As(err, &refused)
		orders.add(answer.Effect, answered)
		switch {
		case answer.Effect == port.MoveBusy && wait.For(ctx, busyOrderPause):
			continue
		case answer.Effect == port.MoveUncertain && !answered && !repeated && ctx.Err() == nil:
			repeated = true
			continue
		}
		return answer.KVHandle, err
	}
}

func (m *migrations) sendOrderOnce(ctx context.Context, request port.Move) (port.MoveAnswer, error) {
	dialect := m.entry.options.Dialect
	order, err := dialect.MoveCall(request)
	if err != nil {
		return port.MoveAnswer{Effect: port.MoveNone}, err
	}
	status, body, err := m.entry.callEndpoint(ctx, request.From, &order)
	if err != nil {
		return port.MoveAnswer{Effect: effectOfFailure(err)}, err
	}
	return dialect.ParseMoveAnswer(request, status, body)
}

// effectOfFailure returns what an order to move a run did whose answer did not arrive.
func effectOfFailure(err error) port.MoveEffect {
	var transport *port.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return port.MoveNone
	}
	return port.MoveUncertain
}

// releaseUnused waits for a move and frees the KV cache of a run that is not continued.
func (m *migrations) releaseUnused(mv *move) {
	<-mv.done
	if mv.choice != nil {
		mv.choice.End()
	}
	if mv.kvHandle == "" {
		return
	}
	m.entry.retries.ReturnRepeat(mv.service, time.Now())
	releaseCall := m.entry.options.Dialect.ReleaseCall(mv.moveRequest, mv.kvHandle)
	ctx, cancel := context.WithTimeout(m.entry.ctx, moveTimeout)
	defer cancel()
	if _, _, err := m.entry.callEndpoint(ctx, mv.moveRequest.From, &releaseCall); err != nil {
		m.entry.log.Warn("Copied KV cache of an unused move was not freed.", zap.String("request", mv.moveRequest.AttemptID), zap.String("at", mv.moveRequest.To), zap.Error(err))
	}
}

// callEndpoint sends a request of the gateway itself to an endpoint.
func (e *Entry) callEndpoint(ctx context.Context, address string, c *port.EndpointCall) (status int, body []byte, err error) {
	// The answer carries no ID, so that a late second copy of an earlier one could not be told
	// apart on a kept connection. For the same reason the connection is not kept.
	answer, err := e.client.Do(ctx, address, &wire.Request{Method: c.Method, Target: c.Target, Host: address, Header: c.Header, Body: c.Body, Fresh: true})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Discard()
	body, err = io.ReadAll(io.LimitReader(answer, maxMoveReplyBytes))
	return answer.StatusCode, body, err
}
