package entry

import (
	"errors"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/waiting"
)

// queueTick is the longest time between two looks at the endpoints while requests wait: pauses,
// permits and turns at brittle endpoints come due without an event.
const queueTick = 15 * time.Millisecond

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
	h, err := q.chooseGated(w.call, w.request)
	if err != nil {
		w.lastErr = err
		q.limitHopeless(t, err, now)
		return false
	}
	w.result <- waitResult{hop: h}
	q.entry.metrics.waited.Record(t.Waited(now))
	return true
}

// limitHopeless bounds the wait of a request for which no endpoint was found, and of all others
// that the same endpoints can take, while no endpoint can become free. The caller must hold mu.
func (q *serviceQueue) limitHopeless(t *waiting.Ticket, err error, now time.Time) {
	hopeless := !q.entry.mayFree(t.Owner.(*waiter).request, err)
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

// end reports to requests that left the queue why they were refused. The caller must hold mu.
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
