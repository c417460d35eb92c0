package entry

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// generation is one request over its attempts. It is used by one goroutine.
type generation struct {
	service *Service
	req     *Request
	doc     *conf.Document
	sink    Sink
	journal *Journal
	record  *telemetry.Record
	// prefix holds the hashes of the prompt for the prefix cache index.
	prefix []uint64
	avoid  []string
	result Result
	// sent is set once a byte of an attempt may have left and no refusal proved that it did not run.
	sent bool
	// failures counts attempts that failed otherwise than by an announced reclaim.
	failures int
	lastErr  error
	// lastToken is when the newest token arrived; zero before the first.
	lastToken time.Time
	// kv is a KV cache that the next attempt continues from.
	kv kvTransfer
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
	g := &generation{service: s, req: req, doc: active.Document, sink: sink, journal: journal}
	g.record = s.options.Explainer.Begin(telemetry.Subject{
		RequestID: req.ID, Daemon: s.options.Name, Workspace: req.Workspace, Caller: req.Caller,
		Rank: req.Rank, Target: req.Model, Arrived: req.Arrived, Generation: active.Generation,
	})
	runCtx, stop := g.runContext(ctx)
	defer stop()
	err := g.answer(runCtx)
	g.end(err)
	return g.result, err
}

// runContext returns the context of the attempts. It ends with the caller,
// unless the request is resumable: then the caller may come back.
func (g *generation) runContext(ctx context.Context) (context.Context, func()) {
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
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
	return runCtx, func() {
		stopCaller()
		stopService()
		cancel(nil)
	}
}

// answer admits the request and makes attempts until the answer is whole.
func (g *generation) answer(ctx context.Context) error {
	slot, err := g.service.admit(ctx, g.req, g.journal.Tokens() > 0, g.record)
	if err != nil {
		return g.explain(g.handOver(ctx, err))
	}
	defer func() { slot.done(g.cost()) }()
	g.prefix = endpoint.PrefixHashes(g.req.Model, g.req.Adapter, g.req.Prompt)
	g.service.budget.First(g.req.Workspace, time.Now())
	for {
		outcome := g.attempt(ctx)
		if outcome.whole {
			return nil
		}
		if err := g.next(ctx, outcome); err != nil {
			return g.explain(err)
		}
	}
}

// cost is what the request really took, in tokens.
func (g *generation) cost() int {
	return g.req.PromptTokens + g.journal.Tokens() + g.result.RecomputedTokens
}

// explain turns the cause of an end into the error for the caller.
func (g *generation) explain(err error) error {
	var refusal *RefusalError
	var moved *MovedError
	var gone *CallerGoneError
	switch {
	case errors.As(err, &refusal), errors.As(err, &moved):
		return err
	case errors.As(err, &gone):
		return g.refuse(RefusedUpstream, 0, "the caller went away", err)
	default:
		return g.refuse(RefusedUpstream, 0, "the request could not be answered", err)
	}
}

// refuse makes a refusal whose run state is the truth about all attempts.
func (g *generation) refuse(kind RefusalType, retryAfter time.Duration, message string, err error) *RefusalError {
	state := endpoint.NotRun
	if g.sent {
		state = endpoint.RunUnknown
	}
	return &RefusalError{Type: kind, Run: state, RetryAfter: retryAfter, Message: message, Err: err}
}

// end records the outcome for the journal, the metrics and the explain record.
func (g *generation) end(err error) {
	s := g.service
	now := time.Now()
	var moved *MovedError
	var gone *CallerGoneError
	switch {
	case err == nil:
		s.metrics.finished.Inc()
		s.lengths.Observe(g.req.Workspace, g.req.Model, g.journal.Tokens())
		g.record.Add(now, telemetry.Event{Type: telemetry.EventFinished, Tokens: g.journal.Tokens()})
	case errors.As(err, &moved):
		s.metrics.handedOver.Inc()
		g.record.Add(now, telemetry.Event{Type: telemetry.EventHandedOver, Message: moved.Peer, Tokens: g.journal.Tokens()})
		g.journal.MoveTo(moved.Peer, now)
		return
	case errors.As(err, &gone):
		s.metrics.callerGone.Inc()
		g.record.Add(now, telemetry.Event{Type: telemetry.EventRefused, Message: "caller went away"})
	default:
		s.metrics.refused.Inc()
		g.record.Add(now, refusalEvent(err))
	}
	s.metrics.recomputed.Add(int64(g.result.RecomputedTokens))
	g.journal.End(g.result, err, now)
	if !g.req.Resumable && !g.journal.TakenOver() {
		// Nobody can ask for the stream again: the caller saw its end.
		s.journals.Remove(g.req.ID)
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
		Avoid:         g.avoid,
		Alone:         alone,
	}
}

func (g *generation) engineRequest() *endpoint.GenerateRequest {
	req := &endpoint.GenerateRequest{
		AttemptID:   uuid.NewString(),
		RequestID:   g.req.ID,
		Model:       g.req.Model,
		Version:     g.req.Version,
		Adapter:     g.req.Adapter,
		Prompt:      g.req.Prompt,
		MaxTokens:   g.req.MaxTokens,
		Priority:    g.req.RankIndex,
		KVHandle:    g.kv.handle,
		Stop:        g.req.Stop,
		Temperature: g.req.Temperature,
		TopP:        g.req.TopP,
		Seed:        g.req.Seed,
	}
	if !g.service.options.Baseline.Restart {
		snapshot := g.journal.Read(0)
		req.Emitted = snapshot.Chunk.Text
		req.EmittedTokens = snapshot.Chunk.Count
	}
	return req
}
