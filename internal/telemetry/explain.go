package telemetry

import (
	"hash/maphash"
	"sync"
	"time"
)

// maxEvents bounds the events of one request. A request with the most
// attempts a document allows needs about 40.
const maxEvents = 64

// EventType classifies an event in the life of a request.
type EventType string

// Types of events.
const (
	EventAdmitted       EventType = "admitted"
	EventQueued         EventType = "queued"
	EventRouted         EventType = "routed"
	EventAttemptStarted EventType = "attempt_started"
	EventAttemptEnded   EventType = "attempt_ended"
	EventRetried        EventType = "retried"
	EventResumed        EventType = "resumed"
	EventForwarded      EventType = "forwarded"
	EventHandedOver     EventType = "handed_over"
	EventClaimed        EventType = "claimed"
	EventRefused        EventType = "refused"
	EventFinished       EventType = "finished"
)

// Event is one event of a request. Fields that do not apply stay empty.
type Event struct {
	Type EventType `json:"type"`
	// OffsetMS is the time since the request arrived; Add sets it.
	OffsetMS float64 `json:"offset_ms"`
	Endpoint string  `json:"endpoint,omitempty"`
	Attempt  string  `json:"attempt,omitempty"`
	// Tokens counts the tokens emitted so far, or those of the event.
	Tokens int `json:"tokens,omitempty"`
	// Score is the score of the chosen endpoint, in seconds.
	Score float64 `json:"score,omitempty"`
	// Reasons lists why the decision fell as it did.
	Reasons []string `json:"reasons,omitempty"`
	// Run is not_run or unknown on a refusal.
	Run     string `json:"run,omitempty"`
	Message string `json:"message,omitempty"`
}

// Subject is what an explain record is about.
type Subject struct {
	RequestID string `json:"request_id"`
	Daemon    string `json:"daemon"`
	Workspace string `json:"workspace,omitempty"`
	Caller    string `json:"caller,omitempty"`
	Rank      string `json:"rank,omitempty"`
	// Target is the model, or the plain service.
	Target  string    `json:"target,omitempty"`
	Arrived time.Time `json:"arrived"`
	// Generation is the configuration that the request was admitted under.
	Generation uint64 `json:"generation,omitempty"`
}

// Explanation is the JSON form of an explain record.
type Explanation struct {
	Subject
	Events []Event `json:"events"`
	// DroppedEvents counts events beyond the bound of a record.
	DroppedEvents int `json:"dropped_events,omitempty"`
}

// Record collects the events of one request. A nil *Record ignores them.
type Record struct {
	mu      sync.Mutex
	subject Subject
	events  []Event
	dropped int
}

// Add appends an event at the given time.
func (r *Record) Add(now time.Time, event Event) {
	if r == nil {
		return
	}
	event.OffsetMS = float64(now.Sub(r.subject.Arrived).Microseconds()) / 1000
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) >= maxEvents {
		// The last place always shows how the request ended.
		r.dropped++
		r.events[maxEvents-1] = event
		return
	}
	r.events = append(r.events, event)
}

// Explanation returns a copy of the record.
func (r *Record) Explanation() Explanation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Explanation{Subject: r.subject, Events: append([]Event{}, r.events...), DroppedEvents: r.dropped}
}

// Explainer keeps the records of the newest requests in memory. Invariant:
// each shard holds at most its capacity; the oldest record makes room.
type Explainer struct {
	seed   maphash.Seed
	shards [shardCount]explainShard
}

type explainShard struct {
	mu      sync.Mutex
	records map[string]*Record
	// ring holds the request IDs in order of arrival; next is the oldest.
	ring []string
	next int
}

// NewExplainer returns an explainer for about the given number of requests.
// A record with six events takes about 1.3 KB.
func NewExplainer(capacity int) *Explainer {
	e := &Explainer{seed: maphash.MakeSeed()}
	each := max(1, (capacity+shardCount-1)/shardCount)
	for i := range e.shards {
		e.shards[i].ring = make([]string, each)
		e.shards[i].records = make(map[string]*Record, each)
	}
	return e
}

func (e *Explainer) shard(id string) *explainShard {
	return &e.shards[maphash.String(e.seed, id)%shardCount]
}

// Begin starts the record of a request. A nil *Explainer returns a nil
// record. A second request of the same ID replaces the first.
func (e *Explainer) Begin(subject Subject) *Record {
	if e == nil {
		return nil
	}
	record := &Record{subject: subject, events: make([]Event, 0, 6)}
	s := e.shard(subject.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.records[subject.RequestID]; !exists {
		if oldest := s.ring[s.next]; oldest != "" {
			delete(s.records, oldest)
		}
		s.ring[s.next] = subject.RequestID
		s.next = (s.next + 1) % len(s.ring)
	}
	s.records[subject.RequestID] = record
	return record
}

// Lookup returns the record of a request, if it is still kept.
func (e *Explainer) Lookup(requestID string) (Explanation, bool) {
	if e == nil {
		return Explanation{}, false
	}
	s := e.shard(requestID)
	s.mu.Lock()
	record := s.records[requestID]
	s.mu.Unlock()
	if record == nil {
		return Explanation{}, false
	}
	return record.Explanation(), true
}
