package entry

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// answerTokens is the length of a complete answer of the fake engine.
const answerTokens = 6

// script describes how the fake engine answers one attempt.
type script struct {
	refused *endpoint.ErrorBody
	// tokens is the token offset at which the stream breaks. With answerTokens
	// the answer is complete.
	tokens int
	// silent keeps the stream open without further frames instead of breaking
	// it.
	silent bool
	// gate, if set, makes the stream wait at tokens for the next offset up to
	// which it goes on. A negative offset breaks it.
	gate chan int
	// headDelay delays the acceptance of the attempt.
	headDelay time.Duration
}

// fakeEngine answers each attempt by the next script. The last script is
// repeated.
type fakeEngine struct {
	mu       sync.Mutex
	scripts  []script
	requests []endpoint.GenerateRequest
	// cancelled counts the silent attempts whose context ended.
	cancelled int
}

func (f *fakeEngine) Generate(ctx context.Context, _ string, req *endpoint.GenerateRequest) (port.FrameStream, error) {
	f.mu.Lock()
	step := f.scripts[min(len(f.requests), len(f.scripts)-1)]
	f.requests = append(f.requests, *req)
	f.mu.Unlock()
	select {
	case <-time.After(step.headDelay):
	case <-ctx.Done():
		return nil, &port.TransportError{Sent: true, Err: ctx.Err()}
	}
	if step.refused != nil {
		return nil, &port.RefusedError{Status: 503, Body: *step.refused}
	}
	return &fakeStream{ctx: ctx, engine: f, script: step, attempt: req.AttemptID, next: req.EmittedTokens}, nil
}

func (f *fakeEngine) receivedRequests() []endpoint.GenerateRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.requests)
}

func (*fakeEngine) Ping(context.Context, string) error           { return nil }
func (*fakeEngine) Cancel(context.Context, string, string) error { return nil }
func (*fakeEngine) KVExport(context.Context, string, string) (endpoint.KVHandle, error) {
	return endpoint.KVHandle{}, errors.ErrUnsupported
}

func (*fakeEngine) KVImport(context.Context, string, endpoint.KVImportRequest) error {
	return errors.ErrUnsupported
}

func (*fakeEngine) Order(context.Context, string, endpoint.Order) (endpoint.OrderResult, error) {
	return endpoint.OrderResult{}, errors.ErrUnsupported
}

type fakeStream struct {
	ctx     context.Context
	engine  *fakeEngine
	script  script
	attempt string
	next    int
	ended   bool
	idle    <-chan time.Time
}

func (s *fakeStream) Next(frame *endpoint.Frame) error {
	for s.script.gate != nil && s.next >= s.script.tokens && s.next < answerTokens {
		select {
		case s.script.tokens = <-s.script.gate:
			if s.script.tokens < 0 {
				return &port.TransportError{Sent: true, Err: io.ErrUnexpectedEOF}
			}
		case <-s.idle:
			return &port.TransportError{Sent: true, Silent: true, Err: os.ErrDeadlineExceeded}
		case <-s.ctx.Done():
			s.engine.mu.Lock()
			defer s.engine.mu.Unlock()
			s.engine.cancelled++
			return &port.TransportError{Sent: true, Err: s.ctx.Err()}
		}
	}
	switch {
	case s.ended:
		return io.EOF
	case s.next < min(s.script.tokens, answerTokens):
		*frame = endpoint.Frame{AttemptID: s.attempt, Type: endpoint.FrameTokens, Offset: s.next, Count: 1, Text: string(rune('a' + s.next))}
		s.next++
	case s.next >= answerTokens:
		*frame = endpoint.Frame{AttemptID: s.attempt, Type: endpoint.FrameDone, Offset: s.next, FinishReason: "stop"}
		s.ended = true
	case s.script.silent:
		<-s.ctx.Done()
		s.engine.mu.Lock()
		s.engine.cancelled++
		s.engine.mu.Unlock()
		return &port.TransportError{Sent: true, Err: s.ctx.Err()}
	default:
		return &port.TransportError{Sent: true, Err: io.ErrUnexpectedEOF}
	}
	return nil
}

func (*fakeStream) Close() error { return nil }

// SetIdle implements port.IdleStream. The fake stream breaks after the idle
// timeout while it waits at its gate.
func (s *fakeStream) SetIdle(d time.Duration) {
	if d > 0 {
		s.idle = time.After(d)
	}
}

// fakeSink stores the received text. It calls onTokens for each group of
// tokens.
type fakeSink struct {
	text     string
	onTokens func()
}

func (s *fakeSink) Tokens(_, _ int, text string) error {
	s.text += text
	if s.onTokens != nil {
		s.onTokens()
	}
	return nil
}

func (*fakeSink) Flush() error { return nil }

// newTestService starts a service with two endpoints of the same model.
func newTestService(t *testing.T, engine *fakeEngine, options ...func(*Options)) *Service {
	store, registry := conf.NewStore(), member.NewRegistry()
	store.Install(1, &conf.Document{
		Ranks: []conf.Rank{{Name: "urgent", MaxWaitMS: 500, PerTokenMS: 100, FirstTokenMS: 1000}},
		Retry: conf.Retry{BudgetShare: 0.5, MaxAttempts: 4, BackoffBaseMS: 1, BackoffMaxMS: 2, QuarantineCrashes: 5, QuarantineS: 1},
	}, "digest", time.Now())
	for _, id := range []string{"e1", "e2"} {
		registry.Announce(endpoint.Announcement{
			ID: id, Incarnation: 1, BaseURL: "http://" + id, FailureDomain: "a", Kind: endpoint.KindEngine, Slots: 4,
			State: endpoint.StateReady, LeaseMS: 60_000, KVCapacityTokens: 100_000, Models: []endpoint.LoadedModel{{Name: "m"}},
		}, time.Now())
	}
	all := Options{
		Name: "d", FailureDomain: "a", Config: store, Registry: registry, Cluster: singleDaemonCluster{}, Engine: engine,
		Explainer: telemetry.NewExplainer(10), Metrics: telemetry.NewRegistry(), Log: zap.NewNop(),
	}
	for _, change := range options {
		change(&all)
	}
	s := New(all)
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func testRequest() *Request {
	return &Request{ID: "r", Workspace: "w", Caller: "c", Model: "m", Prompt: "p", PromptTokens: 1, MaxTokens: answerTokens, Arrived: time.Now()}
}

// Guards against lost or repeated tokens after an attempt breaks off, and
// against a resumed attempt that starts again from the prompt.
func TestBrokenStreamIsResumed(t *testing.T) {
	g := NewWithT(t)
	engine := &fakeEngine{scripts: []script{{tokens: 2}, {tokens: 4}, {tokens: answerTokens}}}
	sink := &fakeSink{}
	result, err := newTestService(t, engine).Complete(t.Context(), testRequest(), sink)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sink.text).To(Equal("abcdef"))
	g.Expect(result.Attempts).To(Equal(3))
	requests := engine.receivedRequests()
	g.Expect(requests).To(HaveLen(3))
	g.Expect(requests[1].EmittedTokens).To(Equal(2))
	g.Expect(requests[1].Emitted).To(Equal("ab"))
	g.Expect(requests[2].EmittedTokens).To(Equal(4))
	g.Expect(requests[0].AttemptID).NotTo(Equal(requests[1].AttemptID))
}

// Guards against a refusal that reports "not run" although an attempt may have
// run, and against one that reports "unknown" although none ran.
func TestRefusalReportsRunState(t *testing.T) {
	refused := func(run endpoint.RunState) script {
		return script{refused: &endpoint.ErrorBody{Code: endpoint.CodeBadRequest, Run: run}}
	}
	for name, c := range map[string]struct {
		scripts []script
		run     endpoint.RunState
	}{
		"refused by the endpoint": {[]script{refused(endpoint.NotRun)}, endpoint.NotRun},
		"unknown to the endpoint": {[]script{refused(endpoint.RunUnknown)}, endpoint.RunUnknown},
		"broken, then refused":    {[]script{{tokens: 0}, refused(endpoint.NotRun)}, endpoint.RunUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := newTestService(t, &fakeEngine{scripts: c.scripts}).Complete(t.Context(), testRequest(), nil)
			var refusal *RefusalError
			g.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
			g.Expect(refusal.Run).To(Equal(c.run), "%v", err)
		})
	}
}

// Guards against attempts that continue after the caller has disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	g := NewWithT(t)
	engine := &fakeEngine{scripts: []script{{tokens: 1, silent: true}}}
	ctx, cancel := context.WithCancel(t.Context())
	_, err := newTestService(t, engine).Complete(ctx, testRequest(), &fakeSink{onTokens: cancel})
	var gone *CallerGoneError
	g.Expect(errors.As(err, &gone)).To(BeTrue(), "%v", err)
	g.Expect(engine.receivedRequests()).To(HaveLen(1))
	engine.mu.Lock()
	defer engine.mu.Unlock()
	g.Expect(engine.cancelled).To(Equal(1))
}

// Guards against requests that hang, or are reported as possibly run, when no
// endpoint serves their model.
func TestModelWithoutEndpoints(t *testing.T) {
	g := NewWithT(t)
	engine := &fakeEngine{scripts: []script{{tokens: answerTokens}}}
	request := testRequest()
	request.Model = "absent"
	started := time.Now()
	_, err := newTestService(t, engine).Complete(t.Context(), request, nil)
	var refusal *RefusalError
	g.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	g.Expect(refusal.Run).To(Equal(endpoint.NotRun))
	g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
	g.Expect(engine.receivedRequests()).To(BeEmpty())
}

// Guards against an attempt that keeps running at its leaving endpoint after the
// machine cancelled it in favour of the granted one.
func TestGrantedAttemptEndsTheOneItReplaces(t *testing.T) {
	g := NewWithT(t)
	m := attempt.New(attempt.Config{MaxTokens: answerTokens})
	tokens := func(id string, offset, count int) {
		m.Frame(id, &endpoint.Frame{AttemptID: id, Type: endpoint.FrameTokens, Offset: offset, Count: count, Text: "abcdef"[offset : offset+count]})
	}
	m.Begin()
	m.Granted("a", "A")
	m.Sent("a")
	tokens("a", 0, 1)
	m.Notice("A")
	m.Granted("b", "B")
	m.Sent("b")
	tokens("a", 1, 2)
	m.Lost("a", true, io.ErrUnexpectedEOF)
	m.Notice("B")
	cancelled := false
	generation := &generation{machine: m, cancels: map[string]context.CancelFunc{"b": func() { cancelled = true }}}
	runner := &attemptRunner{generation: generation, id: "c", state: &endpointState{id: "C"}}
	_, wanted := runner.registerAttempt(func() {})
	g.Expect(wanted).To(BeTrue())
	g.Expect(cancelled).To(BeTrue())
}
