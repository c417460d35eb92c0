package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/payload"
)

// EndpointReport is what an entry reports to its peers about one endpoint.
type EndpointReport struct {
	Endpoint string
	Wanted   int
	// Limit is the limit that the entry measured and Samples is its weight. With 0
	// samples the limit is ignored and those of other entries count.
	Limit, Samples int
}

type peerReport struct {
	receivedAt time.Time
	reports    map[string]EndpointReport
}

// Shares divides the limits of endpoints between this entry and its live
// peers. It is safe for concurrent use.
type Shares struct {
	mu    sync.RWMutex
	self  string
	lease time.Duration
	peers map[string]peerReport
	own   map[string]EndpointReport
	// parts caches this entry's part of the limit, by endpoint, until reports change.
	parts map[string]int
}

// NewShares returns the shares of an entry. A peer counts as live until the lease
// has passed since its last report.
func NewShares(self string, lease time.Duration) *Shares {
	return &Shares{
		self: self, lease: lease, peers: make(map[string]peerReport),
		own: make(map[string]EndpointReport), parts: make(map[string]int),
	}
}

// SetOwn replaces the reports of this entry.
func (s *Shares) SetOwn(reports []EndpointReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = byEndpoint(reports)
	clear(s.parts)
}

// Payload encodes the reports of this entry for its peers. It omits endpoints
// without demand and without samples, and peers treat an omitted endpoint as such.
func (s *Shares) Payload() ([]byte, error) {
	s.mu.RLock()
	list := make([]EndpointReport, 0, len(s.own))
	for _, r := range s.own {
		if r.Wanted > 0 || r.Samples > 0 {
			list = append(list, r)
		}
	}
	s.mu.RUnlock()
	slices.SortFunc(list, func(a, b EndpointReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return payload.Encode(list)
}

// Merge replaces the reports of a peer by those in its payload.
func (s *Shares) Merge(peer string, data []byte, now time.Time) error {
	var list []EndpointReport
	if err := payload.Decode(data, &list); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer != s.self {
		s.peers[peer] = peerReport{receivedAt: now, reports: byEndpoint(list)}
	}
	clear(s.parts)
	return nil
}

// Expire removes peers whose lease ended, so that their parts go to the remaining
// entries. It is called several times a second.
func (s *Shares) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) > s.lease {
			delete(s.peers, name)
			clear(s.parts)
		}
	}
}

// Share returns the part of an endpoint's limit that this entry may use.
// fallback is used as the limit until an entry has measured one.
func (s *Shares) Share(endpoint string, fallback int) int {
	s.mu.RLock()
	part, known := s.parts[endpoint]
	s.mu.RUnlock()
	if known {
		return part
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	demands := []Demand{{Entry: s.self, Wanted: s.own[endpoint].Wanted}}
	for name, p := range s.peers {
		demands = append(demands, Demand{Entry: name, Wanted: p.reports[endpoint].Wanted})
	}
	part = Divide(endpoint, s.agreedLimit(endpoint, fallback), demands)[s.self]
	s.parts[endpoint] = part
	return part
}

// agreedLimit returns the mean of the limits that entries measured, weighted by
// their samples.
func (s *Shares) agreedLimit(endpoint string, fallback int) int {
	own := s.own[endpoint]
	sum, weight := own.Limit*own.Samples, own.Samples
	for _, p := range s.peers {
		r := p.reports[endpoint]
		sum += r.Limit * r.Samples
		weight += r.Samples
	}
	if weight <= 0 {
		return max(fallback, 1)
	}
	return max(sum/weight, 1)
}

// byEndpoint indexes reports by endpoint. It replaces negative numbers, which a
// faulty peer may report, by 0.
func byEndpoint(list []EndpointReport) map[string]EndpointReport {
	m := make(map[string]EndpointReport, len(list))
	for _, r := range list {
		r.Wanted, r.Limit, r.Samples = clamp(r.Wanted), clamp(r.Limit), clamp(r.Samples)
		m[r.Endpoint] = r
	}
	return m
}

// maxReported bounds reported numbers, so that sums and products of them cannot
// overflow.
const maxReported = 1 << 20

func clamp(n int) int { return min(max(n, 0), maxReported) }
