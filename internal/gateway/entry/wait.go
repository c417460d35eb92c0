package entry

import (
	"context"
	"errors"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/waiting"
)

// waitForEndpoint lets the request wait for an endpoint. err is why there is none now, and waitEnd
// the end of the wait if none can become free by the end of other requests. The error is a
// *Refusal, errReconsider or that of ctx.
func (c *call) waitForEndpoint(ctx context.Context, queue *serviceQueue, request *pick.Request, err error, waitEnd time.Time) (*hop, error) {
	giveUp := time.Time{}
	if !errors.Is(err, errGateClosed) {
		if refusal := c.noEndpoint(err, request.Now, waitEnd); refusal != nil {
			return nil, refusal
		}
		if !c.entry.mayFree(request, err) {
			giveUp = waitEnd
		}
	}
	w := &waiter{call: c, request: request, result: make(chan waitResult, 1), lastErr: err, hopeless: !giveUp.IsZero()}
	if c.possiblyRan {
		giveUp, w.hopeless = waitEnd, false
	}
	began := request.Now
	h, err := queue.wait(ctx, w, giveUp)
	c.waited += time.Since(began)
	var refused *waiting.RefusedError
	if !errors.As(err, &refused) {
		drained := &waiting.RefusedError{Reason: waiting.Draining, Waited: c.waited}
		if err != nil && c.entry.requests.Err() != nil && !c.possiblyRan {
			return nil, c.waitRefusal(drained, errors.Join(drained, err))
		}
		return h, err
	}
	return nil, c.waitRefusal(refused, err)
}

// mayFree reports whether an endpoint may take the request once other requests end. err is why none
// takes it now. While software versions are not known, the end of other requests changes nothing.
func (e *Entry) mayFree(request *pick.Request, err error) bool {
	var stale *StaleViewError
	if errors.As(err, &stale) {
		return false
	}
	return errors.Is(err, errGateClosed) || e.board.MayFree(request)
}

// waitRefusal converts the end of a wait without an endpoint into the answer to the caller.
func (c *call) waitRefusal(refused *waiting.RefusedError, err error) *Refusal {
	c.entry.metrics.countWaitRefusal(refused.Reason)
	reason := ReasonWait
	none := &pick.NoEndpointError{}
	switch {
	case refused.Reason == waiting.Draining:
		reason = ReasonDraining
	case errors.As(err, &none):
		reason, c.excluded = ReasonNoEndpoint, none.Backoff
	}
	return &Refusal{
		Status: statusNotRun, Reason: reason, Err: err,
		RetryAfter: c.spreadRetryAfter(max(refused.Drain, defaultRetryAfter)),
	}
}

// waitRequest describes the request for the queue.
func (c *call) waitRequest(now, giveUp time.Time) waiting.Request {
	return waiting.Request{
		Workspace: c.workspace, Caller: c.meta.Key, Rank: c.priority, Bytes: int64(len(c.body.Data())),
		Target: c.receivedAt.Add(c.route.Target), Deadline: c.deadline.Add(-minAttemptTime), MayHaveRun: c.possiblyRan, GiveUp: giveUp,
		Selective: c.softwareVersion != nil || len(c.avoidedEndpoints()) > 0,
	}
}
