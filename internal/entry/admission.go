package entry

import (
	"context"
	"errors"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/admit"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// admission is an admitted request, which occupies a slot until done is called.
type admission struct {
	pool   *modelPool
	ticket *admit.Ticket
}

// admit waits until the request may start. The error is a *RefusalError or the
// cause of the cancelled context.
func (s *Service) admit(ctx context.Context, req *Request, resumed bool, record *telemetry.Record) (*admission, error) {
	ctx, span := s.options.Tracing.Start(ctx, telemetry.HopAdmission)
	defer span.End()
	pool := s.pools.get(req.Model, time.Now())
	// The channel is buffered because Ready may be called before Offer returns.
	ready := make(chan error, 1)
	offer := admit.Request{
		Workspace: req.Workspace, Caller: req.Caller, Rank: req.RankIndex, Resumed: resumed,
		Tokens: req.PromptTokens + s.lengths.Expect(req.Workspace, req.Model, req.MaxTokens),
		Ready:  func(err error) { ready <- err },
	}
	if s.options.Baseline.FIFO {
		offer = fifoOffer(offer)
	}
	ticket, started, err := pool.admitter.Offer(offer, time.Now())
	if err != nil {
		span.Fail(err)
		return nil, s.admissionRefusal(err)
	}
	if !started {
		record.Add(time.Now(), telemetry.Event{Type: telemetry.EventQueued})
		if err := s.awaitAdmission(ctx, pool, ticket, ready); err != nil {
			span.Fail(err)
			return nil, err
		}
	}
	record.Add(time.Now(), telemetry.Event{Type: telemetry.EventAdmitted})
	return &admission{pool: pool, ticket: ticket}, nil
}

// awaitAdmission waits until a queued ticket starts, is refused or the context
// ends.
func (s *Service) awaitAdmission(ctx context.Context, pool *modelPool, ticket *admit.Ticket, ready <-chan error) error {
	started := time.Now()
	defer s.metrics.queueWait.Since(started)
	select {
	case err := <-ready:
		if err != nil {
			return s.admissionRefusal(err)
		}
		return nil
	case <-ctx.Done():
		if !pool.admitter.Cancel(ticket, time.Now()) {
			// The ticket started before it could be cancelled: release its
			// slot.
			pool.admitter.Done(ticket, 0, time.Now())
		}
		return context.Cause(ctx)
	}
}

// done releases the slot and reports the tokens that the request actually used.
func (a *admission) done(tokens int) {
	a.pool.admitter.Done(a.ticket, tokens, time.Now())
}

// admissionRefusal converts a refusal of the admitter to a *RefusalError.
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

// fifoOffer gives all requests the same workspace, caller and rank, so that the
// admitter serves them in order of arrival.
func fifoOffer(offer admit.Request) admit.Request {
	offer.Workspace = "all"
	offer.Caller = "all"
	offer.Rank = 0
	return offer
}
