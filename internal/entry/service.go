package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/port"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 5

// Endpoints lists the endpoints that hold a model.
type Endpoints interface {
	Candidates(model string) []*route.Candidate
}

// Service answers requests.
type Service struct {
	endpoints Endpoints
	router    *route.Router
	engine    port.Engine
}

// New returns a service that sends work to the given engines.
func New(endpoints Endpoints, engine port.Engine) *Service {
	return &Service{endpoints: endpoints, router: route.New(), engine: engine}
}

// Complete answers a request in full or returns a *RefusalError.
func (s *Service) Complete(ctx context.Context, req *Request, sink Sink) (Result, error) {
	run := &generation{service: s, req: req, sink: sink, notRun: true}
	for range maxAttempts {
		done, err := run.attempt(ctx)
		if done {
			return run.result, nil
		}
		if err != nil {
			return run.result, err
		}
		if ctx.Err() != nil {
			return run.result, run.refusal(RefusedUpstream, "caller went away", ctx.Err())
		}
	}
	return run.result, run.refusal(RefusedRetryBudget, "too many attempts failed", run.lastErr)
}

// generation is the state of one request over its attempts.
type generation struct {
	service *Service
	req     *Request
	sink    Sink
	emitted strings.Builder
	offset  int
	avoid   []string
	result  Result
	notRun  bool
	lastErr error
	flight  route.Flight
}

// attempt runs one attempt. It returns done for a whole answer, an error when
// no further attempt makes sense, and neither when another may succeed.
func (g *generation) attempt(ctx context.Context) (bool, error) {
	router := g.service.router
	snapshot := router.Snapshot(g.service.endpoints.Candidates(g.req.Model))
	decision, err := router.Route(g.routeRequest(), snapshot, time.Now(), route.SharedRandom)
	if err != nil {
		return false, g.refusal(RefusedNoEndpoint, "no endpoint can serve the model", err)
	}
	g.result.Attempts++
	g.flight = decision.Start(time.Now())
	defer func() { g.flight.Done(time.Now()) }()
	engineReq := g.engineRequest()
	stream, err := g.service.engine.Generate(ctx, decision.Endpoint.BaseURL, engineReq)
	if err != nil {
		g.noteFailure(decision.Endpoint.ID, err)
		return false, nil
	}
	defer stream.Close()
	done, sinkErr, err := g.pump(stream, engineReq.AttemptID)
	if sinkErr != nil {
		return false, g.refusal(RefusedUpstream, "caller went away", sinkErr)
	}
	if err != nil {
		g.noteFailure(decision.Endpoint.ID, err)
	}
	return done, nil
}

func (g *generation) noteFailure(id string, err error) {
	g.lastErr = err
	g.avoid = append(g.avoid, id)
	var refused *port.RefusedError
	var transport *port.TransportError
	switch {
	case errors.As(err, &refused):
		g.notRun = g.notRun && refused.Body.Run == endpoint.NotRun
	case errors.As(err, &transport):
		g.notRun = g.notRun && !transport.Sent
	default:
		g.notRun = false
	}
}

// pump hands tokens to the sink until the answer is whole or the stream breaks.
func (g *generation) pump(stream port.FrameStream, attemptID string) (done bool, sinkErr, err error) {
	g.notRun = false
	var frame endpoint.Frame
	for {
		if err := stream.Next(&frame); err != nil {
			if errors.Is(err, io.EOF) {
				return true, nil, nil
			}
			return false, nil, err
		}
		if frame.AttemptID != attemptID {
			continue
		}
		switch frame.Type {
		case endpoint.FrameTokens:
			if frame.Offset != g.offset {
				return false, nil, &OffsetError{Want: g.offset, Got: frame.Offset}
			}
			if err := g.sink.Tokens(frame.Offset, frame.Count, frame.Text); err != nil {
				return false, err, nil
			}
			g.flight.Tokens(frame.Count, time.Now())
			g.offset += frame.Count
			g.emitted.WriteString(frame.Text)
		case endpoint.FrameDone:
			g.finish(&frame)
			return true, nil, nil
		case endpoint.FrameError:
			return false, nil, &EngineError{Message: frame.Error}
		}
	}
}

func (g *generation) finish(frame *endpoint.Frame) {
	g.result.FinishReason = frame.FinishReason
	g.result.Usage.PromptTokens = g.req.PromptTokens
	g.result.Usage.GeneratedTokens = g.offset
	if frame.Usage != nil {
		g.result.Usage.CachedTokens = frame.Usage.CachedTokens
	}
}

func (g *generation) routeRequest() *route.Request {
	return &route.Request{
		Model:        g.req.Model,
		Version:      g.req.Version,
		Adapter:      g.req.Adapter,
		PromptTokens: g.req.PromptTokens + g.offset,
		OutputTokens: g.req.MaxTokens - g.offset,
		RankIndex:    g.req.RankIndex,
		Avoid:        g.avoid,
	}
}

func (g *generation) engineRequest() *endpoint.GenerateRequest {
	return &endpoint.GenerateRequest{
		AttemptID:     uuid.NewString(),
		RequestID:     g.req.ID,
		Model:         g.req.Model,
		Version:       g.req.Version,
		Adapter:       g.req.Adapter,
		Prompt:        g.req.Prompt,
		Emitted:       g.emitted.String(),
		EmittedTokens: g.offset,
		MaxTokens:     g.req.MaxTokens,
		Priority:      g.req.RankIndex,
		Stop:          g.req.Stop,
		Temperature:   g.req.Temperature,
		TopP:          g.req.TopP,
		Seed:          g.req.Seed,
	}
}

func (g *generation) refusal(kind RefusalType, message string, err error) *RefusalError {
	state := endpoint.RunUnknown
	if g.notRun {
		state = endpoint.NotRun
	}
	return &RefusalError{Type: kind, Run: state, Message: message, Err: err}
}

// OffsetError says that an engine skipped or repeated tokens.
type OffsetError struct{ Want, Got int }

// Error implements error.
func (e *OffsetError) Error() string {
	return fmt.Sprintf("frame starts at token %d, token %d expected", e.Got, e.Want)
}

// EngineError says that an engine gave up a generation.
type EngineError struct{ Message string }

// Error implements error.
func (e *EngineError) Error() string { return "engine failed: " + e.Message }
