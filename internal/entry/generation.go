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

// generation is one request over its attempts. The attempt machine decides
// what happens; generation carries its actions out. At most two attempts run
// at a time: one, and the one that takes over from it.
type generation struct {
	service *Service
	req     *Request
	doc     *conf.Document
	journal *Journal
	record  *telemetry.Record
	// prefix holds the hashes of the prompt for the prefix cache index.
	prefix []uint64
	// slot is the admission of the request.
	slot *admission

	// mu serialises events of the machine and the delivery of tokens.
	mu      sync.Mutex
	machine *attempt.Machine
	sink    Sink
	// runCtx ends with the caller; its cause says why. ctx is that of the
	// attempts and ends with the answer as well.
	runCtx, ctx  context.Context
	stopAttempts context.CancelFunc
	// cancels end running attempts by their ID.
	cancels map[string]context.CancelFunc
	// lastToken is when the newest token arrived; zero before the first.
	lastToken time.Time
	result    Result
	err       error
	done      chan struct{}

	// avoid lists endpoints that attempts failed on.
	avoid []string
	// failures counts attempts that failed otherwise than by an announced reclaim.
	failures int
	attempts sync.WaitGroup
}

// Complete answers a request in full or returns a *RefusalError or a *MovedError.
func (s *Service) Complete(ctx context.Context, req *Request, sink Sink) (Result, error) {
	if s.draining.Load() {
		return Result{}, &RefusalError{Type: RefusedShutdown, Run: endpoint.NotRun, RetryAfter: time.Second, Message: "this daemon is shutting down"}
	}
	return s.run(ctx, NewJournal(req), sink)
}

// run answers a request from its journal on. The sink may be nil.
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
	g.end()
	return g.result, g.err
}

// sampled reports whether two runs of the request may differ.
func (r *Request) sampled() bool {
	return r.Seed == nil && r.Temperature != nil && *r.Temperature > 0
}

// watchCaller sets the context of the attempts. It ends with the caller,
// unless the request is resumable: then the caller may come back.
func (g *generation) watchCaller(ctx context.Context) func() {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	g.runCtx = runCtx
	g.ctx, g.stopAttempts = context.WithCancel(runCtx)
	g.journal.setCancel(cancel)
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

// answer admits the request and carries out attempts until it has ended.
func (g *generation) answer() {
	slot, err := g.service.admit(g.ctx, g.req, g.journal.Tokens() > 0, g.record)
	if err != nil {
		g.err = g.explain(g.handOver(err), endpoint.NotRun)
		return
	}
	g.slot = slot
	defer func() { slot.done(g.cost()) }()
	g.prefix = endpoint.PrefixHashes(g.req.Model, g.req.Adapter, g.req.Prompt)
	g.service.budget.First(g.req.Workspace, time.Now())
	stop := context.AfterFunc(g.runCtx, g.abandon)
	defer stop()
	g.begin()
	<-g.done
	g.stopAttempts()
	g.attempts.Wait()
}

// begin starts the machine. The first attempt runs on this goroutine, so that
// the usual request needs no other.
func (g *generation) begin() {
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
		g.carryOut(&actions[i])
	}
	g.mu.Unlock()
	if inline != nil {
		g.try(*inline)
	}
}

// abandon ends the request because its context ended.
func (g *generation) abandon() {
	g.event(func() []attempt.Action { return g.machine.Abandon(context.Cause(g.runCtx)) })
}

// event passes an event to the machine and carries out its actions.
func (g *generation) event(f func() []attempt.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	actions := f()
	for i := range actions {
		g.carryOut(&actions[i])
	}
}

// carryOut carries out one action. It is called with the lock held.
func (g *generation) carryOut(a *attempt.Action) {
	switch a.Kind {
	case attempt.Ask:
		ask := *a
		g.attempts.Go(func() { g.try(ask) })
	case attempt.Deliver:
		g.deliver(a)
	case attempt.Cancel:
		if cancel := g.cancels[a.Attempt]; cancel != nil {
			cancel()
		}
	case attempt.Finish:
		g.finish(a)
	case attempt.Fail:
		g.err = g.explain(a.Cause, a.Run)
		close(g.done)
	}
}

// deliver appends tokens to the journal and sends them to the caller.
func (g *generation) deliver(a *attempt.Action) {
	g.journal.Append(a.Count, a.Text)
	g.service.metrics.tokens.Add(int64(a.Count))
	g.observe(time.Now())
	if g.sink != nil {
		g.noteSink(g.sink.Tokens(a.Offset, a.Count, a.Text))
	}
}

// flush sends delivered tokens to the caller.
func (g *generation) flush() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sink != nil {
		g.noteSink(g.sink.Flush())
	}
}

// noteSink ends a request whose caller is gone.
func (g *generation) noteSink(err error) {
	if err == nil {
		return
	}
	g.sink = nil
	if !g.req.Resumable {
		// The machine is in use by the caller of this function.
		go g.journal.cancel(&CallerGoneError{Err: err})
	}
}

// observe measures what the caller sees.
func (g *generation) observe(now time.Time) {
	if g.lastToken.IsZero() {
		g.service.metrics.firstToken.Record(now.Sub(g.req.Arrived))
	} else {
		g.service.metrics.betweenTokens.Record(now.Sub(g.lastToken))
	}
	g.lastToken = now
}

func (g *generation) finish(a *attempt.Action) {
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

// cost is what the request really took, in tokens.
func (g *generation) cost() int {
	return g.req.PromptTokens + g.journal.Tokens() + g.result.RecomputedTokens
}

// explain turns the cause of an end into the error for the caller.
func (g *generation) explain(cause error, run endpoint.RunState) error {
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

// end hands over a request whose daemon stops, and records the outcome for the
// journal, the metrics and the explain record.
func (g *generation) end() {
	if cause := context.Cause(g.runCtx); g.err != nil && cause != nil {
		g.err = g.explain(g.handOver(cause), g.runState())
	}
	g.count()
	now := time.Now()
	var moved *MovedError
	if errors.As(g.err, &moved) {
		g.journal.MoveTo(moved.Peer, now)
		return
	}
	g.service.metrics.recomputed.Add(int64(g.result.RecomputedTokens))
	g.journal.End(g.result, g.err, now)
	if !g.req.Resumable && !g.journal.TakenOver() {
		// Nobody can ask for the stream again: the caller saw its end.
		g.service.journals.Remove(g.req.ID)
	}
}

// runState returns the run state that the error for the caller holds.
func (g *generation) runState() endpoint.RunState {
	var refusal *RefusalError
	if errors.As(g.err, &refusal) {
		return refusal.Run
	}
	return endpoint.RunUnknown
}

func (g *generation) count() {
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
		PrefixHashes:  g.prefix,
		RankIndex:     g.req.RankIndex,
		FailureDomain: g.service.options.FailureDomain,
		Avoid:         g.avoidList(),
		Alone:         alone,
	}
}
