package pick

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// loadFresh is how long a load report counts in full. Reports are already
	// old when they arrive, and other entries send on in the meantime.
	loadFresh = 1500 * time.Millisecond
	// firstPause is the time without new work after a failure, doubled up to
	// longestPause with each further one.
	firstPause   = 300 * time.Millisecond
	longestPause = 3 * time.Second
	// speedWeight of one observation in the learned speed.
	speedWeight = 0.1
)

// stats is what this entry learned of one incarnation of an endpoint.
type stats struct {
	endpoint registry.Endpoint
	// inFlight counts the attempts of this entry, pending those without an answer yet.
	inFlight int
	pending  int
	// prefill is the sum of prompt tokens of attempts without a first event.
	prefill int
	// reported is the newest load and sentSince the attempts begun after it.
	reported   port.EndpointLoad
	reportedAt time.Time
	sentSince  int
	// failures counts failed attempts in a row; no new work before pausedUntil.
	failures int
	// errors counts answers with an error of the endpoint in a row.
	errors      int
	pausedUntil time.Time
	// sentUnheard is when the first request was sent after the last sign of
	// life; zero when something was heard since.
	sentUnheard time.Time
	// slowness is the learned ratio of its answer times to those of its service.
	slowness float64
	resident *residence
	// seed is the part of the endpoint in the choice of homes.
	seed uint64
}

// Board keeps the endpoints by service. It is safe for concurrent use.
type Board struct {
	filters []Filter
	scorers []Scorer
	picker  Picker

	mu        sync.Mutex
	endpoints map[string]*stats
	services  map[string][]*stats
	typical   map[string]*average
	// views and scores are the memory of decisions, used again by the next one:
	// with thousands of endpoints, most of the time would go to the allocator.
	views  []View
	scores []float64
}

// NewBoard returns an empty board with the standard filters, scorers and picker.
func NewBoard(random func() float64) *Board {
	return &Board{
		filters:   []Filter{ReadyFilter{}, AvoidFilter{}, PauseFilter{}, ConnectionFilter{}},
		scorers:   []Scorer{QueueScorer{}, PrefillScorer{}, DomainScorer{}, SilenceScorer{}},
		picker:    NearestPicker{Random: random},
		endpoints: make(map[string]*stats),
		services:  make(map[string][]*stats),
		typical:   make(map[string]*average),
	}
}

// Update takes the known endpoints and returns the addresses that are no longer used.
func (b *Board) Update(list []registry.Endpoint) (unused []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.endpoints
	b.endpoints = make(map[string]*stats, len(list))
	b.services = make(map[string][]*stats)
	used := make(map[string]bool, len(list))
	for _, e := range list {
		s := old[e.ID]
		if s == nil || s.endpoint.Born != e.Born || s.endpoint.Address != e.Address {
			s = &stats{slowness: 1, resident: newResidence(), seed: seedOf(e.ID)}
		}
		s.endpoint = e
		b.endpoints[e.ID] = s
		b.services[e.Service] = append(b.services[e.Service], s)
		used[e.Address] = true
	}
	for _, s := range old {
		if !used[s.endpoint.Address] {
			unused = append(unused, s.endpoint.Address)
		}
	}
	return unused
}

// Len returns the number of endpoints.
func (b *Board) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.endpoints)
}

// Load sums up the attempts of this entry by service.
func (b *Board) Load() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]int, len(b.services))
	for name, members := range b.services {
		for _, s := range members {
			list[name] += s.inFlight
		}
	}
	return list
}

// average is a moving average of seconds.
type average struct{ seconds float64 }

func (a *average) add(seconds float64) {
	if a.seconds == 0 {
		a.seconds = seconds
		return
	}
	a.seconds += speedWeight * (seconds - a.seconds)
}

// busy estimates the requests at an endpoint, of all entries.
func (s *stats) busy(now time.Time) int {
	if now.Sub(s.reportedAt) > loadFresh {
		return s.inFlight
	}
	return max(s.inFlight, s.reported.Running+s.reported.Waiting+s.sentSince)
}
