package limit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/payload"
)

// EndpointReport is what an entry tells its peers of one endpoint.
type EndpointReport struct {
	Endpoint string
	Wanted   int
	// Limit is the limit that the entry measured and Samples how much it rests
	// on; 0 samples leave the limit to the others.
	Limit, Samples int
}

type peerReport struct {
	at      time.Time
	reports map[string]EndpointReport
}

// Shares divides the limits of endpoints between this entry and its live
// peers. It is safe for concurrent use.
type Shares struct {
	mu    sync.RWMutex
	self  string
	lease time.Duration
	peers map[string]peerReport
	own   map[string]EndpointReport
	// parts caches the own part per endpoint until reports change.
	parts map[string]int
}

// NewShares returns the shares of an entry whose peers count for the lease
// after each report.
func NewShares(self string, lease time.Duration) *Shares {
	return &Shares{
		self: self, lease: lease, peers: make(map[string]peerReport),
		own: make(map[string]EndpointReport), parts: make(map[string]int),
	}
}

// SetOwn replaces what this entry reports.
func (s *Shares) SetOwn(reports []EndpointReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = byEndpoint(reports)
	clear(s.parts)
}

// Payload encodes the own reports for peers. Endpoints without demand and
// measurement are left out, which peers read as such.
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

// Merge takes the payload of a peer.
func (s *Shares) Merge(peer string, data []byte, now time.Time) error {
	var list []EndpointReport
	if err := payload.Decode(data, &list); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if peer != s.self {
		s.peers[peer] = peerReport{at: now, reports: byEndpoint(list)}
	}
	clear(s.parts)
	return nil
}

// Expire drops peers whose lease ended; their part returns to the others. It
// is called several times a second.
func (s *Shares) Expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.peers {
		if now.Sub(p.at) > s.lease {
			delete(s.peers, name)
			clear(s.parts)
		}
	}
}

// Share returns the part of an endpoint's limit that this entry may use.
// fallback is the limit while no entry has measured one.
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
	part = Divide(endpoint, s.agreed(endpoint, fallback), demands)[s.self]
	s.parts[endpoint] = part
	return part
}

// agreed is the mean of the limits that entries measured, weighted by samples.
func (s *Shares) agreed(endpoint string, fallback int) int {
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

// byEndpoint indexes reports. Negative figures of a faulty peer count as none.
func byEndpoint(list []EndpointReport) map[string]EndpointReport {
	m := make(map[string]EndpointReport, len(list))
	for _, r := range list {
		r.Wanted, r.Limit, r.Samples = clamp(r.Wanted), clamp(r.Limit), clamp(r.Samples)
		m[r.Endpoint] = r
	}
	return m
}

// maxFigure keeps sums and products of reported figures far from overflow.
const maxFigure = 1 << 20

func clamp(n int) int { return min(max(n, 0), maxFigure) }
