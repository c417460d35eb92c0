package ledger

import (
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

const (
	// MaxLeaseTTL bounds the time to live of a lease, so that a lost holder does not
	// block the next holder for long.
	MaxLeaseTTL = 10 * time.Minute
	// clockRateDivisor determines the allowance for different clock rates: one
	// hundredth of the time to live. Clock steering changes the rate by at most
	// 500 ppm and a quartz drifts by about 100 ppm, on both sides. An allowance of
	// 1% exceeds this by a factor of eight.
	clockRateDivisor = 100
)

// lease is a granted lease.
type lease struct {
	Name   string        `json:"name"`
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"ttl"`
	// Fencing is the log index of the grant. A renewal that carries this number does not change it.
	Fencing uint64 `json:"fencing"`
	// Expires is the ledger time after which another holder can get the lease.
	Expires time.Duration `json:"expires"`
}

// guardPeriod returns how long the ledger reserves a lease for its holder. It
// includes an allowance for clock rates, because the holder measures the time to
// live on its own clock, starting before it sends the request.
func guardPeriod(ttl time.Duration) time.Duration { return ttl + ttl/clockRateDivisor }

func (s *State) lease(req *LeaseRequest) Outcome {
	s.now += req.Elapsed
	current := s.leases[req.Name]
	if current != nil && current.Expires < s.now {
		delete(s.leases, req.Name)
		current = nil
	}
	if req.Release {
		// The fencing number prevents a late copy of a release from ending a newer grant.
		if current != nil && current.Holder == req.Holder && current.Fencing == req.Fencing {
			delete(s.leases, req.Name)
		}
		return Outcome{}
	}
	if current != nil && current.Holder != req.Holder && !s.takeOver(current, req) {
		return Outcome{Lease: &port.LeaseGrant{Holder: current.Holder, FencingNumber: current.Fencing, TTL: current.TTL}}
	}
	next := &lease{
		Name: req.Name, Holder: req.Holder, TTL: req.TTL, Fencing: s.index, Expires: s.now + guardPeriod(req.TTL),
	}
	if current != nil && current.Holder == req.Holder && current.Fencing == req.Fencing {
		next.Fencing = current.Fencing
	}
	if current != nil && current.Holder == req.Holder {
		// A renewal with a shorter time to live must not shorten the lease of a longer
		// one that it overtook.
		next.Expires = max(next.Expires, current.Expires)
	}
	s.leases[req.Name] = next
	return Outcome{Lease: &port.LeaseGrant{
		Granted: true, Holder: next.Holder, FencingNumber: next.Fencing, TTL: req.TTL,
	}}
}

// displacedKey identifies a lease and its former holder.
type displacedKey struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// takeOver ends the grant of another holder if the request asks for it, and
// reports whether it did. A displaced holder cannot take the lease back while its
// own former grant would still last, because holders that alternate could undo
// each other's orders.
func (s *State) takeOver(current *lease, req *LeaseRequest) bool {
	for key, until := range s.displaced {
		if until < s.now {
			delete(s.displaced, key)
		}
	}
	_, displaced := s.displaced[displacedKey{req.Name, req.Holder}]
	if !req.TakeOver || displaced {
		return false
	}
	s.displaced[displacedKey{current.Name, current.Holder}] = s.now + guardPeriod(current.TTL)
	return true
}

// restartLeases restarts every lease with its full time to live, because a new
// leader does not know how much of it passed while there was no leader.
func (s *State) restartLeases() {
	for name, current := range s.leases {
		renewed := *current
		renewed.Expires = max(current.Expires, s.now+guardPeriod(current.TTL))
		s.leases[name] = &renewed
	}
}
