package route

import (
	"slices"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/core/payload"
)

// peerLease is how long the report of a peer counts. A peer reports several
// times a second.
const peerLease = 3 * time.Second

type peerReport struct {
	at                time.Time
	inFlight, pending int64
}

// summary is what one entry tells its peers of one endpoint.
type summary struct {
	ID                string
	InFlight, Pending int64
	// Prefill, Base and Slope are the learned speed in nanoseconds per token;
	// all zero where this entry observed nothing.
	Prefill, Base, Slope uint32
}

// Summary encodes what this entry has in flight and what it learned, for its
// peers. Endpoints without either are left out.
func (r *Router) Summary() ([]byte, error) {
	var list []summary
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.RLock()
		for id, st := range shard.states {
			entry := summary{ID: id, InFlight: st.inFlight(), Pending: st.pending()}
			if st.learner.seen.Load() > 0 {
				speed := st.learner.speed()
				entry.Prefill, entry.Base, entry.Slope = nanos(speed.PrefillS), nanos(speed.BaseS), nanos(speed.SlopeS)
			}
			if entry.InFlight > 0 || entry.Base > 0 {
				list = append(list, entry)
			}
		}
		shard.mu.RUnlock()
	}
	slices.SortFunc(list, func(a, b summary) int { return strings.Compare(a.ID, b.ID) })
	return payload.Encode(list)
}

func nanos(seconds float64) uint32 { return uint32(min(max(seconds*1e9, 0), 4e9)) }

// MergeSummary takes the summary of a peer. Speeds count only for endpoints
// that this entry did not observe itself. Endpoints that the peer left out
// have nothing in flight from it once its older report ends.
func (r *Router) MergeSummary(peer string, data []byte, now time.Time) error {
	var list []summary
	if err := payload.Decode(data, &list); err != nil {
		return err
	}
	named := make(map[string]*summary, len(list))
	for i := range list {
		named[list[i].ID] = &list[i]
	}
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.RLock()
		for id, st := range shard.states {
			st.mergePeer(peer, named[id], now)
		}
		shard.mu.RUnlock()
	}
	return nil
}

func (s *state) mergePeer(peer string, report *summary, now time.Time) {
	s.mu.Lock()
	delete(s.peers, peer)
	if report != nil && report.InFlight > 0 {
		s.peers[peer] = peerReport{at: now, inFlight: report.InFlight, pending: report.Pending}
	}
	var inFlight, pending int64
	for name, p := range s.peers {
		if now.Sub(p.at) > peerLease {
			delete(s.peers, name)
			continue
		}
		inFlight += p.inFlight
		pending += p.pending
	}
	s.mu.Unlock()
	s.peerInFlight.Store(inFlight)
	s.peerPending.Store(pending)
	if report != nil && report.Base > 0 {
		s.learner.adopt(Speed{
			PrefillS: float64(report.Prefill) / 1e9, BaseS: float64(report.Base) / 1e9, SlopeS: float64(report.Slope) / 1e9,
		})
	}
}
