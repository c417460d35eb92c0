package entry

import (
	"context"
	"errors"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/admit"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// admission is a started ticket.
type admission struct {
	pool   *pool
	ticket *admit.Ticket
}

// admit waits until the request may start. The error is a *RefusalError or
// that of the context.
func (s *Service) admit(ctx context.Context, req *Request, resumed bool, record *telemetry.Record) (*admission, error) {
	ctx, span := s.options.Tracing.Start(ctx, telemetry.HopAdmission)
	defer span.End()
	one := s.pools.get(req.Model, time.Now())
	// Ready may be called before Offer returns, so the channel must not block it.
	ready := make(chan error, 1)
	offer := admit.Request{
		Workspace: req.Workspace, Caller: req.Caller, Rank: req.RankIndex, Resumed: resumed,
		Tokens: req.PromptTokens + s.lengths.Expect(req.Workspace, req.Model, req.MaxTokens),
		Ready:  func(err error) { ready <- err },
	}
	if s.options.Baseline.FIFO {
		offer = fifoOffer(offer)
	}
	ticket, started, err := one.admitter.Offer(offer, time.Now())
	if err != nil {
		span.Fail(err)
		return nil, s.admissionRefusal(err)
	}
	if !started {
		record.Add(time.Now(), telemetry.Event{Type: telemetry.EventQueued})
		if err := s.await(ctx, one, ticket, ready); err != nil {
			span.Fail(err)
			return nil, err
		}
	}
	record.Add(time.Now(), telemetry.Event{Type: telemetry.EventAdmitted})
	return &admission{pool: one, ticket: ticket}, nil
}

func (s *Service) await(ctx context.Context, one *pool, ticket *admit.Ticket, ready <-chan error) error {
	waited := time.Now()
	defer s.metrics.queueWait.Since(waited)
	select {
	case err := <-ready:
		if err != nil {
			return s.admissionRefusal(err)
		}
		return nil
	case <-ctx.Done():
		if !one.admitter.Cancel(ticket, time.Now()) {
			// The ticket started at the same moment; its slot is given back.
			one.admitter.Done(ticket, 0, time.Now())
		}
		return context.Cause(ctx)
	}
}

// done gives the slot back with the tokens that the request really cost.
func (a *admission) done(tokens int) {
	a.pool.admitter.Done(a.ticket, tokens, time.Now())
}

// admissionRefusal turns a refusal of the admitter into that of the pipeline.
func (s *Service) admissionRefusal(err error) error {
	var refused *admit.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	kind := RefusedOverload
	if refused.Reason == admit.DeadlineUnreachable || refused.Reason == admit.DeadlinePassed {
		kind = RefusedDeadline
	}
	return &RefusalError{Type: kind, Run: endpoint.NotRun, RetryAfter: refused.RetryAfter, Message: "the request was not admitted: " + string(refused.Reason), Err: err}
}

// fifoOffer makes all requests equal, so that the admitter serves them in order of arrival.
func fifoOffer(offer admit.Request) admit.Request {
	offer.Workspace = "all"
	offer.Caller = "all"
	offer.Rank = 0
	return offer
}
