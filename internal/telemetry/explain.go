package telemetry

import (
	"hash/maphash"
	"sync"
	"time"
)

// maxEvents bounds the events of one request. A request that uses all the
// attempts that a document can allow has about 40.
const maxEvents = 64

// EventType is the type of an event in the processing of a request.
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

// Event is one event in the processing of a request. Fields that do not apply are empty.
type Event struct {
	Type EventType `json:"type"`
	// OffsetMS is the time since the request arrived; Add sets it.
	OffsetMS float64 `json:"offset_ms"`
	Endpoint string  `json:"endpoint,omitempty"`
	Attempt  string  `json:"attempt,omitempty"`
	// Tokens is the number of tokens emitted so far, or of those that the event concerns.
	Tokens int `json:"tokens,omitempty"`
	// Score is the score of the chosen endpoint, in seconds.
	Score float64 `json:"score,omitempty"`
	// Reasons lists the reasons for the decision.
	Reasons []string `json:"reasons,omitempty"`
	// Run is set for a refusal: not_run or unknown.
	Run     string `json:"run,omitempty"`
	Message string `json:"message,omitempty"`
}

// Subject identifies the request of an explain record.
type Subject struct {
	RequestID string `json:"request_id"`
	Daemon    string `json:"daemon"`
	Workspace string `json:"workspace,omitempty"`
	Caller    string `json:"caller,omitempty"`
	Rank      string `json:"rank,omitempty"`
	// Target is the name of the model or plain service.
	Target  string    `json:"target,omitempty"`
	Arrived time.Time `json:"arrived"`
	// Generation is the generation of the document under which the request was admitted.
	Generation uint64 `json:"generation,omitempty"`
}

// Explanation is the JSON form of an explain record.
type Explanation struct {
	Subject
	Events []Event `json:"events"`
	// DroppedEvents is the number of events that were dropped because the record was full.
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
		// The newest event replaces the last one, so that the record always shows
		// how the request ended.
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

// Explainer keeps the records of the newest requests in memory. Each shard holds
// at most as many records as its capacity and evicts the oldest one for a new one.
type Explainer struct {
	seed   maphash.Seed
	shards [shardCount]explainShard
}

type explainShard struct {
	mu      sync.Mutex
	records map[string]*Record
	// arrivals is a ring buffer of the request IDs in order of arrival; next is
	// the index of the oldest one.
	arrivals []string
	next     int
}

// NewExplainer returns an explainer that keeps the records of about the given
// number of requests. A record with six events takes about 1.3 KB.
func NewExplainer(capacity int) *Explainer {
	e := &Explainer{seed: maphash.MakeSeed()}
	shardCapacity := max(1, (capacity+shardCount-1)/shardCount)
	for i := range e.shards {
		e.shards[i].arrivals = make([]string, shardCapacity)
		e.shards[i].records = make(map[string]*Record, shardCapacity)
	}
	return e
}

func (e *Explainer) shard(id string) *explainShard {
	return &e.shards[maphash.String(e.seed, id)%shardCount]
}

// Begin starts the record of a request. A nil *Explainer returns a nil
// record. A second request with the same ID replaces the record of the first.
func (e *Explainer) Begin(subject Subject) *Record {
	if e == nil {
		return nil
	}
	record := &Record{subject: subject, events: make([]Event, 0, 6)}
	s := e.shard(subject.RequestID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.records[subject.RequestID]; !exists {
		if oldest := s.arrivals[s.next]; oldest != "" {
			delete(s.records, oldest)
		}
		s.arrivals[s.next] = subject.RequestID
		s.next = (s.next + 1) % len(s.arrivals)
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
