package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// generation is the execution of one request over all its attempts. The attempt
// machine decides what happens next, and generation carries out its actions. At
// most two attempts run at a time: the current one and the one that takes over
// from it.
type generation struct {
	service *Service
	req     *Request
	doc     *conf.Document
	journal *Journal
	record  *telemetry.Record
	// prefixHashes holds the hashes of the prompt for the prefix cache index.
	prefixHashes []uint64
	// slot is the admission slot of the request.
	slot *admission

	// mu serialises the events of the machine and the delivery of tokens.
	mu      sync.Mutex
	machine *attempt.Machine
	sink    Sink
	// runCtx ends when the caller is gone, a peer has taken the request over,
	// the daemon stops or the service closes; its cause says why. ctx is the
	// context of the attempts: it also ends when the answer is complete.
	runCtx, ctx  context.Context
	stopAttempts context.CancelFunc
	// cancels holds the cancel functions of the attempts by attempt ID.
	cancels map[string]context.CancelFunc
	// lastToken is when the newest token arrived; zero before the first token.
	lastToken time.Time
	result    Result
	err       error
	done      chan struct{}

	// avoid lists the endpoints at which attempts have failed.
	avoid []string
	// failures counts the failed attempts, except those ended by an announced
	// reclaim.
	failures int
	attempts sync.WaitGroup

	// offer is the hand-over that a peer is asked for; nil if there is none.
	offer *offer
	// closing is set when no further offer may begin.
	closing bool
}

// Complete answers a request. The error is a *RefusalError or a *MovedError.
func (s *Service) Complete(ctx context.Context, req *Request, sink Sink) (Result, error) {
	if s.draining.Load() {
		return Result{}, &RefusalError{Type: RefusedShutdown, Run: req.RunState(endpoint.NotRun), RetryAfter: time.Second, Message: "this daemon is shutting down"}
	}
	return s.run(ctx, NewJournal(req), sink)
}

// run answers a request, starting from the tokens in its journal. The sink may
// be nil.
func (s *Service) run(ctx context.Context, journal *Journal, sink Sink) (Result, error) {
	req := journal.Request()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.metrics.requests.Inc()
	s.journals.Add(journal)
	active := s.configure()
	g := &generation{
		service: s, req: req, doc: active.Document, journal: journal, sink: sink,
		machine: attempt.New(attempt.Config{MaxTokens: req.MaxTokens, PromptTokens: req.PromptTokens, Sampled: req.sampled()}),
		cancels: make(map[string]context.CancelFunc), done: make(chan struct{}),
	}
	g.record = s.options.Explainer.Begin(telemetry.Subject{
		RequestID: req.ID, Daemon: s.options.Name, Workspace: req.Workspace, Caller: req.Caller,
		Rank: req.Rank, Target: req.Model, Arrived: req.Arrived, Generation: active.Generation,
	})
	stop := g.watchCaller(ctx)
	defer stop()
	g.answer()
	g.finalize()
	return g.result, g.err
}

// sampled reports whether two runs of the request may generate different
// tokens.
func (r *Request) sampled() bool {
	return r.Seed == nil && r.Temperature != nil && *r.Temperature > 0
}

// watchCaller creates the contexts of the generation. They end when the caller
// disconnects, unless the request is resumable: then the caller may return
// within ResumeGrace. The returned function releases the contexts.
func (g *generation) watchCaller(ctx context.Context) func() {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	g.runCtx = runCtx
	g.ctx, g.stopAttempts = context.WithCancel(runCtx)
	g.journal.setRun(cancel, g.handOver)
	g.journal.Attach()
	stopCaller := context.AfterFunc(ctx, func() {
		if g.req.Resumable {
			g.journal.Detach(time.Now(), ResumeGrace)
			return
		}
		cancel(&CallerGoneError{})
	})
	stopService := context.AfterFunc(g.service.ctx, func() { cancel(&CallerGoneError{}) })
	return func() {
		stopCaller()
		stopService()
		cancel(nil)
	}
}

// answer admits the request and carries out attempts until the request has
// ended.
func (g *generation) answer() {
	slot, err := g.service.admit(g.ctx, g.req, g.journal.Tokens() > 0, g.record)
	if err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.err == nil {
			g.err = g.callerError(err, endpoint.NotRun)
		}
		return
	}
	g.slot = slot
	defer func() { slot.done(g.tokenCost()) }()
	g.prefixHashes = endpoint.PrefixHashes(g.req.Model, g.req.Adapter, g.req.Prompt)
	g.service.budget.First(g.req.Workspace, time.Now())
	stop := context.AfterFunc(g.runCtx, g.abandon)
	defer stop()
	g.startMachine()
	<-g.done
	g.stopAttempts()
	g.attempts.Wait()
}

// startMachine starts the machine. The first attempt runs on this goroutine, so
// that most requests do not need another one.
func (g *generation) startMachine() {
	snapshot := g.journal.Read(0)
	g.mu.Lock()
	if snapshot.Chunk.Count > 0 {
		g.machine.Restore(snapshot.Chunk.Text, snapshot.Chunk.Count)
	}
	first := true
	actions := g.machine.Begin()
	var inline *attempt.Action
	for i := range actions {
		if actions[i].Kind == attempt.Ask && first {
			ask := actions[i]
			inline = &ask
			first = false
			continue
		}
		g.performAction(&actions[i])
	}
	g.mu.Unlock()
	if inline != nil {
		g.runAttempt(*inline)
	}
}

// abandon ends the request because its context has ended.
func (g *generation) abandon() {
	g.handleEvent(func() []attempt.Action { return g.machine.Abandon(context.Cause(g.runCtx)) })
}

// handleEvent passes an event to the machine and performs the resulting
// actions.
func (g *generation) handleEvent(f func() []attempt.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	actions := f()
	for i := range actions {
		g.performAction(&actions[i])
	}
}

// performAction performs one action of the machine. The caller holds the lock.
func (g *generation) performAction(a *attempt.Action) {
	switch a.Kind {
	case attempt.Ask:
		ask := *a
		g.attempts.Go(func() { g.runAttempt(ask) })
	case attempt.Deliver:
		g.deliver(a)
	case attempt.Cancel:
		if cancel := g.cancels[a.Attempt]; cancel != nil {
			cancel()
		}
	case attempt.Finish:
		g.finish(a)
	case attempt.Fail:
		g.err = g.callerError(a.Cause, a.Run)
		close(g.done)
	}
}

// deliver appends tokens to the journal and sends them to the caller, or holds
// them back while a peer is asked to take the request over.
func (g *generation) deliver(a *attempt.Action) {
	if g.offer != nil {
		g.offer.held = append(g.offer.held, *a)
		return
	}
	g.deliverNow(a)
}

// deliverNow delivers tokens regardless of a pending hand-over.
func (g *generation) deliverNow(a *attempt.Action) {
	g.journal.Append(a.Count, a.Text)
	g.service.metrics.tokens.Add(int64(a.Count))
	g.recordLatency(time.Now())
	if g.sink != nil {
		g.handleSinkError(g.sink.Tokens(a.Offset, a.Count, a.Text))
	}
}

// flush sends the delivered tokens to the caller.
func (g *generation) flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sink != nil {
		g.handleSinkError(g.sink.Flush())
	}
}

// handleSinkError stops the delivery after an error of the sink, and ends the
// request unless it is resumable.
func (g *generation) handleSinkError(err error) {
	if err == nil {
		return
	}
	g.sink = nil
	if !g.req.Resumable {
		// The caller of this function uses the machine, so the cancellation
		// must run on another goroutine.
		go g.journal.cancel(&CallerGoneError{Err: err})
	}
}

// recordLatency records the token latencies that the caller sees.
func (g *generation) recordLatency(now time.Time) {
	if g.lastToken.IsZero() {
		g.service.metrics.firstToken.Record(now.Sub(g.req.Arrived))
	} else {
		g.service.metrics.betweenTokens.Record(now.Sub(g.lastToken))
	}
	g.lastToken = now
}

func (g *generation) finish(a *attempt.Action) {
	g.deliverHeld()
	stats := g.machine.Stats()
	g.result = Result{
		FinishReason: a.FinishReason, Attempts: stats.Attempts, RecomputedTokens: stats.RecomputedTokens,
		Usage: endpoint.Usage{PromptTokens: g.req.PromptTokens, GeneratedTokens: g.machine.Offset()},
	}
	if a.Usage != nil {
		g.result.Usage.CachedTokens = min(a.Usage.CachedTokens, g.req.PromptTokens)
		if stats.Attempts > 1 {
			g.result.RecomputedTokens = max(0, stats.RecomputedTokens-a.Usage.CachedTokens)
		}
	}
	close(g.done)
}

// tokenCost returns the number of tokens that the request actually used.
func (g *generation) tokenCost() int {
	return g.req.PromptTokens + g.journal.Tokens() + g.result.RecomputedTokens
}

// callerError converts the cause of a failed request to the error for the
// caller. The run state is that of the attempts by this daemon.
func (g *generation) callerError(cause error, here endpoint.RunState) error {
	run := g.req.RunState(here)
	var moved *MovedError
	if errors.As(cause, &moved) {
		return moved
	}
	var refusal *RefusalError
	if errors.As(cause, &refusal) {
		refusal.Run = run
		return refusal
	}
	var gone *CallerGoneError
	message := "the request could not be answered"
	if errors.As(cause, &gone) {
		message = "the caller went away"
	}
	return &RefusalError{Type: RefusedUpstream, Run: run, Message: message, Err: cause}
}

// finalize records the outcome in the journal, the metrics and the explain
// record.
func (g *generation) finalize() {
	g.awaitOffer()
	if cause := context.Cause(g.runCtx); g.err != nil && cause != nil {
		g.err = g.callerError(cause, g.runState())
	}
	g.recordOutcome()
	now := time.Now()
	var moved *MovedError
	if errors.As(g.err, &moved) {
		g.journal.MoveTo(moved.Peer, now)
		return
	}
	g.service.metrics.recomputed.Add(int64(g.result.RecomputedTokens))
	g.journal.End(g.result, g.err, now)
	if !g.req.Resumable && !g.journal.TakenOver() {
		// No reader can ask for the stream again: the caller has received its
		// end.
		g.service.journals.Remove(g.req.ID)
	}
}

// runState returns the run state in the error for the caller.
func (g *generation) runState() endpoint.RunState {
	var refusal *RefusalError
	if errors.As(g.err, &refusal) {
		return refusal.Run
	}
	return endpoint.RunUnknown
}

// recordOutcome records the outcome in the metrics and the explain record.
func (g *generation) recordOutcome() {
	s := g.service
	now := time.Now()
	var moved *MovedError
	var gone *CallerGoneError
	switch {
	case g.err == nil:
		s.metrics.finished.Inc()
		s.lengths.Observe(g.req.Workspace, g.req.Model, g.journal.Tokens())
		g.record.Add(now, telemetry.Event{Type: telemetry.EventFinished, Tokens: g.journal.Tokens()})
	case errors.As(g.err, &moved):
		s.metrics.handedOver.Inc()
		g.record.Add(now, telemetry.Event{Type: telemetry.EventHandedOver, Message: moved.Peer, Tokens: g.journal.Tokens()})
	case errors.As(g.err, &gone):
		s.metrics.callerGone.Inc()
		g.record.Add(now, telemetry.Event{Type: telemetry.EventRefused, Message: "caller went away"})
	default:
		s.metrics.refused.Inc()
		g.record.Add(now, refusalEvent(g.err))
	}
}

func refusalEvent(err error) telemetry.Event {
	event := telemetry.Event{Type: telemetry.EventRefused, Message: err.Error()}
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		event.Run = string(refusal.Run)
		event.Reasons = []string{string(refusal.Type)}
	}
	return event
}

func (g *generation) routeRequest(alone bool) *route.Request {
	emitted := g.journal.Tokens()
	expected := g.service.lengths.Expect(g.req.Workspace, g.req.Model, g.req.MaxTokens)
	return &route.Request{
		Model:         g.req.Model,
		Version:       g.req.Version,
		Adapter:       g.req.Adapter,
		PromptTokens:  g.req.PromptTokens + emitted,
		OutputTokens:  max(expected-emitted, 1),
		PrefixHashes:  g.prefixHashes,
		RankIndex:     g.req.RankIndex,
		FailureDomain: g.service.options.FailureDomain,
		Avoid:         g.avoidList(),
		Alone:         alone,
	}
}
