package pick

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/limit"
	"github.com/boragelead/boragelead/internal/gateway/demand"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// loadReportTTL is how long a load report is used. Reports are already old
	// when they arrive, and other entries send further requests in the meantime.
	loadReportTTL = 1500 * time.Millisecond
	// minPause is how long an endpoint gets no new requests after a failure. Each
	// further failure doubles the pause, up to maxPause.
	minPause = 300 * time.Millisecond
	maxPause = 3 * time.Second
	// averageWeight is the weight of one observation in the moving averages.
	averageWeight = 0.1
)

// stats holds what this entry observed of one incarnation of an endpoint.
type stats struct {
	endpoint registry.Endpoint
	// inFlight counts the running attempts of this entry, and pending those of them
	// without an answer yet.
	inFlight int
	pending  int
	// withdrawn is set if the endpoint is no longer listed because it withdrew.
	withdrawn bool
	// prefillTokens is the sum of the uncached prompt tokens of the pending attempts.
	prefillTokens int
	// reportedLoad is the newest load report, and sentSinceReport counts the
	// attempts that started after it.
	reportedLoad    port.EndpointLoad
	reportedAt      time.Time
	sentSinceReport int
	// consecutiveFailures counts attempts that failed one after the other. The
	// endpoint gets no new requests before pausedUntil.
	consecutiveFailures int
	// consecutiveErrors counts answers with a server error that followed each other.
	consecutiveErrors int
	pausedUntil       time.Time
	// silentSince is when the first request was sent after the last byte was
	// received; zero if bytes were received since.
	silentSince time.Time
	// slowness is the average ratio of its times to the first byte to those of its
	// service.
	slowness      float64
	residentParts *partCache
	// permits is this entry's share of the request rate that the endpoint limits; nil
	// if the endpoint names no limit.
	permits *limit.Permits
	// rejections limits how often the endpoint rejects requests of this entry; nil unless it
	// is brittle.
	rejections *limit.Rejections
	// backoff is the time in which the endpoint wants no requests.
	backoff backoff
	// refusedAt is when the endpoint last refused a connection: its process had ended,
	// and the next one may have another software version. refusalBegan is when the first of
	// the connections was tried that it refused lately.
	refusedAt, refusalBegan time.Time
	// pace is the learned time between the events of its streams.
	pace pace
	// slowdown is the ratio of the last time between two events to the pace, at slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// remotePromptsUntil is when the long prompts of other entries are estimated to be processed.
	remotePromptsUntil time.Time
	// idHash is the hash of the endpoint's ID, for rendezvous hashing.
	idHash uint64
	// lastByteAt is when the last byte of an answer was received.
	lastByteAt time.Time
}

// Board holds the known endpoints and their statistics by service. It is safe for concurrent use.
type Board struct {
	random  func() float64
	filters []Filter
	scorers []Scorer
	picker  Picker

	mu        sync.Mutex
	endpoints map[string]*stats
	services  map[string][]*stats
	// models holds what was learned of the endpoints of each service, and work the
	// demand for their time to process prompts.
	models map[string]*prefillModel
	work   map[string]*demand.Meter
	paces  map[string]*usualPace
	// unlisted holds the endpoints that are not listed at present and of which something must
	// not be forgotten, in case that they are listed again meanwhile.
	unlisted map[string]*stats
	// brittle holds the services whose endpoints fail if they reject too many requests.
	brittle map[string]*brittleness
	// lastByteAt is when the last byte of an endpoint of each service was received.
	lastByteAt map[string]time.Time
	// views and scores are buffers that each choice reuses: with thousands of
	// endpoints, allocating them would take most of its time.
	views  []View
	scores []float64
}

// NewBoard returns an empty board with the standard filters, scorers and picker.
func NewBoard(random func() float64) *Board {
	return &Board{
		random:    random,
		filters:   []Filter{ReadyFilter{}, VersionFilter{}, RolloutFilter{}, AvoidFilter{}, PauseFilter{}, BackoffFilter{}, ConnectionFilter{}, RateFilter{}, RoomFilter{}},
		scorers:   []Scorer{QueueScorer{}, PrefillScorer{}, DomainScorer{}, SilenceScorer{}, RemotePromptsScorer{}},
		picker:    LowestScorePicker{Random: random},
		endpoints: make(map[string]*stats),
		services:  make(map[string][]*stats),
		models:    make(map[string]*prefillModel),
		work:      make(map[string]*demand.Meter),
		paces:     make(map[string]*usualPace),
		unlisted:  make(map[string]*stats),

		lastByteAt: make(map[string]time.Time),
		brittle:    make(map[string]*brittleness),
	}
}

// Update replaces the known endpoints and returns the addresses that are no longer
// used. It keeps the statistics of endpoints with the same incarnation and address.
func (b *Board) Update(list []registry.Endpoint) (unused []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.endpoints
	b.endpoints = make(map[string]*stats, len(list))
	b.services = make(map[string][]*stats)
	used := make(map[string]bool, len(list))
	for _, e := range list {
		s := old[e.ID]
		if s == nil {
			s = b.unlisted[e.ID]
			delete(b.unlisted, e.ID)
		}
		former := s
		if s == nil || s.endpoint.Born != e.Born || s.endpoint.Address != e.Address {
			s = &stats{slowness: 1, residentParts: newPartCache(), idHash: hashID(e.ID)}
		}
		s.endpoint, s.withdrawn = e, false
		if former != nil && former != s {
			s.inheritBackoff(former)
		}
		if state := b.brittle[e.Service]; state != nil {
			b.guard(s, state)
		}
		b.endpoints[e.ID] = s
		b.services[e.Service] = append(b.services[e.Service], s)
		used[e.Address] = true
	}
	for id, s := range old {
		if !used[s.endpoint.Address] {
			unused = append(unused, s.endpoint.Address)
		}
		if b.endpoints[id] == nil && s.isKeptUnlisted() {
			b.unlisted[id] = s
		}
	}
	return unused
}

// isKeptUnlisted reports whether the statistics outlive the listing of the endpoint: it wants no
// requests, refused a connection, or has attempts that run, whose endpoint the same incarnation
// is once it is listed again.
func (s *stats) isKeptUnlisted() bool {
	return !s.backoff.until.IsZero() || !s.refusedAt.IsZero() || s.inFlight > 0
}

// isForgettable reports whether an endpoint that is not listed need not be remembered any more.
func (s *stats) isForgettable(now time.Time) bool {
	return !s.backoff.active(now) && !s.mayHaveRestarted(now) && s.inFlight == 0
}

// restartDoubt is how long the announcement of a restarted endpoint may be late.
const restartDoubt = 8 * time.Second

// mayHaveRestarted reports whether the process of the endpoint may be another one than
// that which announced itself.
func (s *stats) mayHaveRestarted(now time.Time) bool {
	return !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < restartDoubt
}

// noteRefusal records a refused connection.
func (s *stats) noteRefusal(began, now time.Time) {
	if !s.mayHaveRestarted(now) || began.Before(s.refusalBegan) {
		s.refusalBegan = began
	}
	s.refusedAt = now
}

// RecordRefused records that an endpoint refused a connection that was tried since began.
func (b *Board) RecordRefused(id string, born int64, began, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[id]
	if s == nil {
		s = b.unlisted[id]
	}
	if s != nil && s.endpoint.Born == born {
		s.noteRefusal(began, now)
	}
}

// RecordDraining records that an incarnation of an endpoint must not get new requests.
// It holds until the next update names the endpoint as ready.
func (b *Board) RecordDraining(id string, born int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[id]; s != nil && s.endpoint.Born == born && s.endpoint.State == registry.Ready {
		s.endpoint.State = registry.Draining
	}
}

// SetRates sets this entry's shares of the request rates that endpoints limit, in
// requests per second by endpoint ID. Other endpoints are not limited.
func (b *Board) SetRates(perS map[string]float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.endpoints {
		rate, limited := perS[id]
		switch {
		case !limited:
			s.permits = nil
		case s.permits == nil:
			s.permits = limit.NewPermits(rate, b.random(), now)
		default:
			s.permits.SetRate(rate, now)
		}
	}
}

// Endpoint returns an endpoint, or false if it is not known.
func (b *Board) Endpoint(id string) (registry.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.endpoints[id]; s != nil {
		return s.endpoint, true
	}
	return registry.Endpoint{}, false
}

// Len returns the number of endpoints.
func (b *Board) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.endpoints)
}

// Load returns the number of running attempts of this entry by service.
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

// model returns the prefill model of a service. The caller must hold mu.
func (b *Board) model(service string) *prefillModel {
	m := b.models[service]
	if m == nil {
		m = &prefillModel{}
		b.models[service] = m
	}
	return m
}

// countWork counts the demand of an attempt. The caller must hold mu.
func (b *Board) countWork(service string, uncachedTokens int, now time.Time) {
	perToken, known := b.model(service).secondsPerToken()
	if !known {
		return
	}
	m := b.work[service]
	if m == nil {
		m = &demand.Meter{}
		b.work[service] = m
	}
	m.Add(perToken*float64(uncachedTokens), now)
}

// Work returns the demand of this entry for the time of endpoints to process prompts, by
// service, in seconds per second.
func (b *Board) Work(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]float64, len(b.work))
	for service, m := range b.work {
		if perS := m.PerS(now); perS > 0 {
			list[service] = perS
		}
	}
	return list
}

// requests estimates the number of requests of all entries at an endpoint.
func (s *stats) requests(now time.Time) int {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > loadReportTTL {
		return s.inFlight
	}
	return max(s.inFlight, s.reportedLoad.Running+s.reportedLoad.Waiting+s.sentSinceReport)
}
