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

const (
	// maxWaitingPerService bounds the requests that wait for endpoints of one service.
	maxWaitingPerService = 512
	// waitingBodyShare is the part of the memory for bodies that requests which wait for one
	// service may take.
	waitingBodyShare = 0.5
	// queueTick is the longest time between two looks at the endpoints while requests wait:
	// pauses, permits and turns at brittle endpoints come due without an event.
	queueTick = 15 * time.Millisecond
)

// errGateClosed reports that the endpoints of a service are full, as far as this entry knows.
var errGateClosed = errors.New("endpoints of the service are full")

// errReconsider tells a waiting request to choose again, because its service is cut off.
var errReconsider = errors.New("endpoints of the service are not reached")

// serviceQueue holds the requests of one service that wait for an endpoint.
type serviceQueue struct {
	entry   *Entry
	service string
	// waiting is the number of waiting requests, for requests that find none.
	waiting atomic.Int64

	mu    sync.Mutex
	queue *waiting.Queue
	gate  waiting.Gate
	// ticking is set while a timer for the next look runs.
	ticking bool
}

// queues holds the queues of all services.
type queues struct {
	entry *Entry

	mu   sync.RWMutex
	list map[string]*serviceQueue
}

func newQueues(e *Entry) *queues { return &queues{entry: e, list: make(map[string]*serviceQueue)} }

// of returns the queue of a service.
func (l *queues) of(service string) *serviceQueue {
	l.mu.RLock()
	q := l.list[service]
	l.mu.RUnlock()
	if q != nil {
		return q
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if q = l.list[service]; q == nil {
		q = &serviceQueue{entry: l.entry, service: service, queue: waiting.NewQueue(waiting.Limits{
			Requests: maxWaitingPerService, Bytes: int64(waitingBodyShare * float64(l.entry.bodies.limit)),
		})}
		l.list[service] = q
	}
	return q
}

// setSums gives the gates the sums of all entries. own is what this entry had reported.
func (l *queues) setSums(running, own map[string]int, now time.Time) {
	l.mu.RLock()
	list := make([]*serviceQueue, 0, len(l.list))
	for _, q := range l.list {
		list = append(list, q)
	}
	l.mu.RUnlock()
	for _, q := range list {
		sums := waiting.Sums{Running: running[q.service], Own: own[q.service], Share: l.entry.rateLimits.share(q.service, now)}
		slots := l.entry.board.ReadySlots(q.service)
		q.mu.Lock()
		q.gate.SetSlots(slots)
		q.gate.SetSums(sums, now)
		q.mu.Unlock()
		q.wake()
	}
}

// wakeAll looks for endpoints for all waiting requests, after the endpoints have changed.
func (l *queues) wakeAll() {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, q := range l.list {
		q.wake()
	}
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
	choice *pick.Choice
	err    error
}

// choose picks an endpoint at once if no other request waits; otherwise the request must wait.
// The error is that of the board, or errGateClosed.
func (q *serviceQueue) choose(c *call, request *pick.Request) (*pick.Choice, error) {
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
func (q *serviceQueue) chooseGated(c *call, request *pick.Request) (*pick.Choice, error) {
	gated := c.service.Engine == nil
	if gated {
		if !q.gate.Open(request.Now) {
			return nil, errGateClosed
		}
	}
	choice, err := c.chooseOnce(request)
	if err == nil && gated {
		q.gate.Start(request.Now)
	}
	return choice, err
}

// wait lets the request wait for an endpoint until its wait ends. giveUp is when it ends if no
// endpoint can become free, or zero. The error is a *waiting.RefusedError, errReconsider or that
// of ctx.
func (q *serviceQueue) wait(ctx context.Context, w *waiter, giveUp time.Time) (*pick.Choice, error) {
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
func (q *serviceQueue) accept(ctx context.Context, w *waiter, result waitResult) (*pick.Choice, error) {
	if result.choice == nil {
		return nil, result.err
	}
	if ctx.Err() != nil {
		q.giveBack(w, result.choice)
		return nil, ctx.Err()
	}
	return result.choice, nil
}

// leave ends the wait of a request whose context has ended.
func (q *serviceQueue) leave(ctx context.Context, w *waiter, ticket *waiting.Ticket) error {
	q.mu.Lock()
	removed := q.queue.Remove(ticket)
	q.noteLength()
	q.mu.Unlock()
	if !removed {
		if result := <-w.result; result.choice != nil {
			q.giveBack(w, result.choice)
		}
	}
	return ctx.Err()
}

// giveBack frees an endpoint that was chosen for a request that left.
func (q *serviceQueue) giveBack(w *waiter, choice *pick.Choice) {
	choice.End()
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

// wake looks for endpoints for the waiting requests.
func (q *serviceQueue) wake() {
	if q.waiting.Load() == 0 {
		return
	}
	now := time.Now()
	q.entry.reach.suspectIfQuiet(q.service, now)
	cutOff := q.entry.reach.monitor.CutOff(q.service)
	q.mu.Lock()
	defer q.mu.Unlock()
	if cutOff {
		q.reconsiderAll()
		return
	}
	q.end(q.queue.Expire(now), waiting.Expired, now)
	timeOfDay := q.entry.clock.Now()
	q.queue.Dispatch(now, func(t *waiting.Ticket) bool { return q.take(t, now, timeOfDay) })
	q.noteLength()
	q.scheduleTick()
}

// take finds an endpoint for a waiting request. The caller must hold mu.
func (q *serviceQueue) take(t *waiting.Ticket, now, timeOfDay time.Time) bool {
	w := t.Owner.(*waiter)
	w.request.Now, w.request.TimeOfDay = now, timeOfDay
	choice, err := q.chooseGated(w.call, w.request)
	if err != nil {
		w.lastErr = err
		q.limitHopeless(t, err, now)
		return false
	}
	w.result <- waitResult{choice: choice}
	q.entry.metrics.waited.Record(t.Waited(now))
	return true
}

// limitHopeless bounds the wait of a request for which none was found, and of all others that the
// same endpoints can take, while no endpoint can become free. The caller must hold mu.
func (q *serviceQueue) limitHopeless(t *waiting.Ticket, err error, now time.Time) {
	hopeless := !errors.Is(err, errGateClosed) && !q.entry.board.MayFree(t.Owner.(*waiter).request)
	if t.Request.Selective {
		limitWait(t, hopeless, now)
		return
	}
	q.queue.Each(func(other *waiting.Ticket) {
		if !other.Request.Selective {
			limitWait(other, hopeless, now)
		}
	})
}

// limitWait bounds the wait of a request while no endpoint can become free.
func limitWait(t *waiting.Ticket, hopeless bool, now time.Time) {
	w := t.Owner.(*waiter)
	switch {
	case hopeless == w.hopeless:
	case !hopeless:
		w.hopeless, t.Request.GiveUp = false, time.Time{}
	case t.Request.GiveUp.IsZero():
		w.hopeless, t.Request.GiveUp = true, now.Add(w.call.maxWait())
	}
}

// end tells requests that left the queue why. The caller must hold mu.
func (q *serviceQueue) end(tickets []*waiting.Ticket, reason waiting.Reason, now time.Time) {
	for _, t := range tickets {
		w := t.Owner.(*waiter)
		refused := q.queue.Refusal(reason, t, now)
		q.entry.metrics.waited.Record(refused.Waited)
		w.result <- waitResult{err: errors.Join(refused, w.lastErr)}
	}
}

// reconsiderAll ends all waits, because another entry has to take the requests. The caller must
// hold mu.
func (q *serviceQueue) reconsiderAll() {
	var all []*waiting.Ticket
	q.queue.Each(func(t *waiting.Ticket) { all = append(all, t) })
	for _, t := range all {
		q.queue.Remove(t)
		t.Owner.(*waiter).result <- waitResult{err: errReconsider}
	}
	q.noteLength()
}

// noteLength publishes the number of waiting requests. The caller must hold mu.
func (q *serviceQueue) noteLength() {
	length := int64(q.queue.Len())
	q.entry.metrics.waiting.Add(length - q.waiting.Swap(length))
}

// scheduleTick starts a timer for the next look, if requests wait. The caller must hold mu.
func (q *serviceQueue) scheduleTick() {
	if q.ticking || q.queue.Len() == 0 || q.entry.ctx.Err() != nil {
		return
	}
	q.ticking = true
	time.AfterFunc(queueTick, func() {
		q.mu.Lock()
		q.ticking = false
		q.mu.Unlock()
		q.wake()
	})
}

// workOf estimates the time from the start of an attempt to the answer, or to the first event of
// a stream. The caller must hold mu.
func (q *serviceQueue) workOf(c *call) time.Duration {
	if c.service.Engine == nil {
		return q.gate.Work()
	}
	return time.Duration(q.entry.board.PromptSeconds(q.service, c.meta.PromptTokens) * float64(time.Second))
}
