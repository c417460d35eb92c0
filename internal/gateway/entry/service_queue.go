package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/waiting"
)

// errGateClosed reports that the endpoints of a service are full, as far as this entry knows, or
// that other requests wait for them.
var errGateClosed = errors.New("endpoints of the service are full")

// errReconsider tells a waiting request to choose again, because its service is cut off.
var errReconsider = errors.New("endpoints of the service are not reached")

// serviceQueue holds the requests of one service that wait for an endpoint.
type serviceQueue struct {
	entry   *Entry
	service string
	// waiting is the number of waiting requests, which can be read without the lock.
	waiting atomic.Int64

	mu    sync.Mutex
	queue *waiting.Queue
	gate  waiting.Gate
	// ticking is set while a timer for the next look runs.
	ticking bool
}

// waiter is a call that waits for an endpoint.
type waiter struct {
	call    *call
	request *pick.Request
	// result receives the endpoint, or why there is none, once the wait ends.
	result chan waitResult
	// hopeless is set while the end of the wait is limited because no endpoint can become free.
	hopeless bool
	// lastErr is why no endpoint was found last.
	lastErr error
}

type waitResult struct {
	hop *hop
	err error
}

// choose picks an endpoint at once if no other request waits; otherwise the request must wait.
// The error is that of the board, or errGateClosed.
func (q *serviceQueue) choose(c *call, request *pick.Request) (*hop, error) {
	if q.waiting.Load() > 0 {
		return nil, errGateClosed
	}
	if c.service.Engine != nil {
		return c.chooseOnce(request)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.chooseGated(c, request)
}

// chooseGated picks an endpoint if the gate is open. The caller must hold mu.
func (q *serviceQueue) chooseGated(c *call, request *pick.Request) (*hop, error) {
	gated := c.service.Engine == nil
	if gated && !q.gate.Open(request.Now) {
		return nil, errGateClosed
	}
	h, err := c.chooseOnce(request)
	if err == nil && gated {
		q.gate.Start(request.Now)
	}
	return h, err
}

// wait lets the request wait for an endpoint until its wait ends. giveUp is when it ends if no
// endpoint can become free, or zero. The error is a *waiting.RefusedError, errReconsider or that
// of ctx.
func (q *serviceQueue) wait(ctx context.Context, w *waiter, giveUp time.Time) (*hop, error) {
	request := w.call.waitRequest(w.request.Now, giveUp)
	q.mu.Lock()
	request.Work = q.workOf(w.call)
	ticket, displaced, err := q.queue.Add(request, w, w.request.Now)
	q.end(displaced, waiting.Displaced, w.request.Now)
	if err != nil {
		q.mu.Unlock()
		return nil, err
	}
	q.noteLength()
	q.mu.Unlock()
	q.wake()
	select {
	case result := <-w.result:
		return q.accept(ctx, w, result)
	case <-ctx.Done():
		return nil, q.leave(ctx, w, ticket)
	}
}

// accept hands over the result of a wait, unless the caller has left meanwhile.
func (q *serviceQueue) accept(ctx context.Context, w *waiter, result waitResult) (*hop, error) {
	if result.hop == nil {
		return nil, result.err
	}
	if ctx.Err() != nil {
		q.giveBack(w, result.hop)
		return nil, ctx.Err()
	}
	return result.hop, nil
}

// leave ends the wait of a request whose context has ended.
func (q *serviceQueue) leave(ctx context.Context, w *waiter, ticket *waiting.Ticket) error {
	q.mu.Lock()
	removed := q.queue.Remove(ticket)
	q.noteLength()
	q.mu.Unlock()
	if !removed {
		if result := <-w.result; result.hop != nil {
			q.giveBack(w, result.hop)
		}
	}
	return ctx.Err()
}

// giveBack frees an endpoint that was chosen for a request that left.
func (q *serviceQueue) giveBack(w *waiter, h *hop) {
	h.choice.End()
	q.entry.rollouts.Return(h.exposure)
	if w.call.service.Engine == nil {
		q.mu.Lock()
		q.gate.Cancel()
		q.mu.Unlock()
	}
	q.wake()
}

// ended records the end of an attempt, and looks for endpoints for those that wait. gated is set
// if the attempt passed the gate.
func (q *serviceQueue) ended(gated bool, took time.Duration, rejected bool) {
	if gated {
		q.mu.Lock()
		q.gate.End(took, rejected, rand.Float64(), time.Now())
		q.mu.Unlock()
	}
	q.wake()
}
