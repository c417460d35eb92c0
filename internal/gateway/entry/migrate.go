package entry

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// moveReserve before an endpoint goes its streams are moved. Those that end
	// before need no move, and the copies of all its streams queue on one link.
	moveReserve = 800 * time.Millisecond
	// leastNotice is how long a reclaimable endpoint that drains stays at least,
	// where it does not say for how long.
	leastNotice = 1500 * time.Millisecond
	// movesAtOnce bounds the moves that this entry asks of one endpoint at a
	// time: a run stops when its move is asked for, and then waits for the link.
	movesAtOnce = 2
	// moveTimeout bounds a move; the endpoint is gone by then.
	moveTimeout = 1500 * time.Millisecond
	// maxMoveReply bounds the answer of an endpoint, in bytes.
	maxMoveReply = 4 << 10
)

// migrations moves the running streams of this entry away from endpoints that
// are about to go, with the memory that they have there.
type migrations struct {
	entry *Entry

	mu sync.Mutex
	// runs holds the streams by endpoint.
	runs map[string]map[*streamRun]struct{}
	// born holds the incarnations of leaving endpoints that are taken care of.
	born map[string]int64
}

// streamRun is a stream that runs at an endpoint.
type streamRun struct {
	attemptID string
	request   pick.Request
	move      *move
}

// move is the move of a run to another endpoint.
type move struct {
	ask port.Move
	// done is closed at the end; choice and memory are set where err is nil.
	done   chan struct{}
	choice *pick.Choice
	memory string
	err    error
}

func newMigrations(e *Entry) *migrations {
	return &migrations{entry: e, runs: make(map[string]map[*streamRun]struct{}), born: make(map[string]int64)}
}

// begin notes a stream that runs at an endpoint. End must be called.
func (m *migrations) begin(x *call, endpoint string) *streamRun {
	run := &streamRun{attemptID: x.meta.AttemptID, request: *x.pickRequest()}
	run.request.Avoid = slices.Clone(x.tried)
	// The prompt comes with the memory.
	run.request.PromptTokens, run.request.Prefix = 0, nil
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs[endpoint] == nil {
		m.runs[endpoint] = make(map[*streamRun]struct{})
	}
	m.runs[endpoint][run] = struct{}{}
	return run
}

// end notes that a stream no longer runs at an endpoint, and returns its move
// if one was begun.
func (m *migrations) end(run *streamRun, endpoint string) *move {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.runs[endpoint], run)
	if len(m.runs[endpoint]) == 0 {
		delete(m.runs, endpoint)
	}
	return run.move
}

// leaving takes note of endpoints that drain and go before their work has ended.
func (m *migrations) leaving(list []registry.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range list {
		e := &list[i]
		notice := noticeOf(e)
		if notice <= 0 || m.born[e.ID] == e.Born {
			continue
		}
		m.born[e.ID] = e.Born
		m.entry.group.Go(func() { m.evacuate(e, notice) })
	}
}

// noticeOf returns how long an endpoint stays that goes before its work has
// ended; 0 for others.
func noticeOf(e *registry.Endpoint) time.Duration {
	switch {
	case e.State != registry.Draining:
		return 0
	case e.LeavesMS > 0:
		return time.Duration(e.LeavesMS) * time.Millisecond
	case e.Reclaimable:
		return leastNotice
	}
	return 0
}

// forget drops endpoints that are no longer known.
func (m *migrations) forget(list []registry.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.born {
		if !slices.ContainsFunc(list, func(e registry.Endpoint) bool { return e.ID == id }) {
			delete(m.born, id)
		}
	}
}

// evacuate moves what still runs at an endpoint shortly before it goes.
func (m *migrations) evacuate(from *registry.Endpoint, notice time.Duration) {
	select {
	case <-time.After(notice - moveReserve):
	case <-m.entry.ctx.Done():
		return
	}
	m.mu.Lock()
	runs := make([]*streamRun, 0, len(m.runs[from.ID]))
	for run := range m.runs[from.ID] {
		runs = append(runs, run)
	}
	m.mu.Unlock()
	m.entry.log.Info("Endpoint goes soon.", zap.String("endpoint", from.ID), zap.Duration("notice", notice), zap.Int("streams", len(runs)))
	var group sync.WaitGroup
	places := make(chan struct{}, movesAtOnce)
	for _, run := range runs {
		places <- struct{}{}
		group.Go(func() {
			m.moveRun(run, from)
			<-places
		})
	}
	group.Wait()
}

// moveRun moves one run, unless it has ended in the meantime.
func (m *migrations) moveRun(run *streamRun, from *registry.Endpoint) {
	e := m.entry
	mv := &move{done: make(chan struct{})}
	defer close(mv.done)
	m.mu.Lock()
	_, runs := m.runs[from.ID][run]
	if runs {
		run.move = mv
	}
	m.mu.Unlock()
	if !runs {
		return
	}
	if mv.err = m.ask(mv, run, from); mv.err != nil {
		e.metrics.movesFailed.Inc()
		e.log.Warn("Stream not moved.", zap.String("request", run.attemptID), zap.String("from", from.ID), zap.Error(mv.err))
		return
	}
	e.metrics.moves.Inc()
	e.log.Info("Stream moved.", zap.String("request", run.attemptID), zap.String("from", from.ID), zap.String("to", mv.choice.Endpoint.ID))
}

// ask chooses another endpoint and calls the present one.
func (m *migrations) ask(mv *move, run *streamRun, from *registry.Endpoint) error {
	e := m.entry
	if !e.repeats.Repeat(run.request.Service, time.Now()) {
		return &BudgetError{Service: run.request.Service}
	}
	request := run.request
	request.Now = time.Now()
	choice, err := e.board.Choose(&request)
	if err != nil {
		return err
	}
	mv.ask = port.Move{EndpointID: from.ID, AttemptID: run.attemptID, From: from.Address, To: choice.Endpoint.Address}
	call, err := e.options.Dialect.Move(mv.ask)
	if err == nil {
		var status int
		var body []byte
		if status, body, err = e.callEndpoint(from.Address, &call); err == nil {
			mv.memory, err = e.options.Dialect.Moved(mv.ask, status, body)
		}
	}
	if err != nil {
		choice.End()
		return err
	}
	mv.choice = choice
	return nil
}

// unused frees what a move holds that nobody goes on with.
func (m *migrations) unused(mv *move) {
	<-mv.done
	if mv.choice == nil {
		return
	}
	mv.choice.End()
	call := m.entry.options.Dialect.Release(mv.ask, mv.memory)
	if _, _, err := m.entry.callEndpoint(mv.ask.From, &call); err != nil {
		m.entry.log.Warn("Copy of a run not freed.", zap.String("request", mv.ask.AttemptID), zap.String("at", mv.ask.To), zap.Error(err))
	}
}

// callEndpoint makes a call of the gateway's own.
func (e *Entry) callEndpoint(address string, c *port.EndpointCall) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(e.ctx, moveTimeout)
	defer cancel()
	answer, err := e.client.Do(ctx, address, &wire.Request{Method: c.Method, Target: c.Target, Host: address, Header: c.Header, Body: c.Body})
	if err != nil {
		return 0, nil, err
	}
	defer answer.Close()
	body, err = io.ReadAll(io.LimitReader(answer, maxMoveReply))
	return answer.StatusCode, body, err
}
