package entry

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/waiting"
)

const (
	// maxWaitingPerService bounds the requests that wait for endpoints of one service.
	maxWaitingPerService = 512
	// waitingBodyShare is the part of the memory for bodies that requests which wait for one
	// service may take.
	waitingBodyShare = 0.5
)

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
			Requests: maxWaitingPerService, Bytes: int64(waitingBodyShare * float64(l.entry.inlet.Budget().Limit())),
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
