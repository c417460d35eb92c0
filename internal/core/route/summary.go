package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/payload"
)

const (
	// peerLease is the time for which the summary of a peer is valid. A peer
	// sends one at least once a second.
	peerLease = 3 * time.Second
	// speedChange and speedResendInterval determine when a learned speed is sent
	// again: after a relative change of speedChange, or after
	// speedResendInterval, for entries that have joined in the meantime.
	speedChange         = 0.1
	speedResendInterval = 30 * time.Second
)

type peerReport struct {
	at                time.Time
	inFlight, pending int64
	isolated          bool
}

// summary is the message of one entry to its peers. A hash of its ID identifies an
// endpoint. After a hash collision two endpoints share their figures, which is
// acceptable because they are estimates.
type summary struct {
	Loads    []loadSummary
	Speeds   []speedSummary
	Isolated []uint32
}

type loadSummary struct {
	Key               uint32
	InFlight, Pending int64
}

// speedSummary is a learned speed in nanoseconds per token.
type speedSummary struct {
	Key                  uint32
	Prefill, Base, Slope uint32
}

// Summary encodes the attempts that this entry has in flight, the endpoints that
// it isolates and the learned speeds that changed since they were last sent. The
// same summary must be sent to all peers.
func (r *Router) Summary(now time.Time) ([]byte, error) {
	var s summary
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.RLock()
		for _, st := range shard.states {
			st.summarize(&s, now)
		}
		shard.mu.RUnlock()
	}
	slices.SortFunc(s.Loads, func(a, b loadSummary) int { return cmp.Compare(a.Key, b.Key) })
	slices.SortFunc(s.Speeds, func(a, b speedSummary) int { return cmp.Compare(a.Key, b.Key) })
	slices.Sort(s.Isolated)
	return payload.Encode(&s)
}

func (s *state) summarize(out *summary, now time.Time) {
	if n := s.inFlight(); n > 0 {
		out.Loads = append(out.Loads, loadSummary{Key: s.key, InFlight: n, Pending: s.pending()})
	}
	if s.isolated.Load() {
		out.Isolated = append(out.Isolated, s.key)
	}
	if s.learner.observations.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	speed := s.learner.speed()
	if now.Sub(s.speedSentAt) < speedResendInterval && !speedChanged(speed, s.sentSpeed) {
		return
	}
	s.sentSpeed, s.speedSentAt = speed, now
	out.Speeds = append(out.Speeds, speedSummary{s.key, nanoseconds(speed.PrefillS), nanoseconds(speed.BaseS), nanoseconds(speed.SlopeS)})
}

func speedChanged(a, b Speed) bool {
	const batch = 8
	return math.Abs(a.PrefillS-b.PrefillS) > speedChange*b.PrefillS ||
		math.Abs(a.TokenInterval(batch)-b.TokenInterval(batch)) > speedChange*b.TokenInterval(batch)
}

func nanoseconds(seconds float64) uint32 { return uint32(min(max(seconds*1e9, 0), 4e9)) }

// MergeSummary applies the summary of a peer. Speeds are used only for endpoints
// that this entry has not observed itself. The peer has nothing in flight at
// endpoints that its summary omits.
func (r *Router) MergeSummary(peer string, data []byte, now time.Time) error {
	var s summary
	if err := payload.Decode(data, &s); err != nil {
		return err
	}
	reports := make(map[uint32]peerReport, len(s.Loads))
	for _, l := range s.Loads {
		reports[l.Key] = peerReport{at: now, inFlight: max(l.InFlight, 0), pending: max(l.Pending, 0)}
	}
	for _, key := range s.Isolated {
		report := reports[key]
		report.at, report.isolated = now, true
		reports[key] = report
	}
	speeds := make(map[uint32]speedSummary, len(s.Speeds))
	for _, speed := range s.Speeds {
		speeds[speed.Key] = speed
	}
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.RLock()
		for _, st := range shard.states {
			st.mergePeer(peer, reports[st.key], now)
			if v, known := speeds[st.key]; known {
				st.learner.adopt(Speed{
					PrefillS: float64(v.Prefill) / 1e9, BaseS: float64(v.Base) / 1e9, SlopeS: float64(v.Slope) / 1e9,
				})
			}
		}
		shard.mu.RUnlock()
	}
	return nil
}

// mergePeer replaces the report of a peer and drops the reports of peers whose
// lease has ended.
func (s *state) mergePeer(peer string, report peerReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, peer)
	if !report.at.IsZero() {
		s.peers[peer] = report
	}
	var inFlight, pending int64
	isolated := false
	for name, p := range s.peers {
		if now.Sub(p.at) > peerLease {
			delete(s.peers, name)
			continue
		}
		inFlight += p.inFlight
		pending += p.pending
		isolated = isolated || p.isolated
	}
	s.peerInFlight.Store(inFlight)
	s.peerPending.Store(pending)
	s.peerIsolated.Store(isolated)
}

// ExpirePeers drops the reports of peers whose lease has ended. It is called once
// a second.
func (r *Router) ExpirePeers(now time.Time) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.RLock()
		for _, st := range shard.states {
			st.mergePeer("", peerReport{}, now)
		}
		shard.mu.RUnlock()
	}
}
