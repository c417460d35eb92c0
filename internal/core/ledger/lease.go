package ledger

import (
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

const (
	// MaxLeaseTTL bounds a lease, so that a lost holder does not block the next one for long.
	MaxLeaseTTL = 10 * time.Minute
	// clockRateDivisor gives the clock-rate bound: one hundredth of the time to
	// live. Clock steering changes the rate by at most 500 ppm and a quartz by
	// about 100 ppm, on both sides; 1% leaves a factor of eight.
	clockRateDivisor = 100
)

// lease is a granted lease.
type lease struct {
	Name   string        `json:"name"`
	Holder string        `json:"holder"`
	TTL    time.Duration `json:"ttl"`
	// Fencing is the log index of the grant; a renewal that names it keeps it.
	Fencing uint64 `json:"fencing"`
	// Expires is the time of the ledger from which another holder can get the lease.
	Expires time.Duration `json:"expires"`
}

// guarded is how long the ledger keeps a lease for its holder, who counts the
// time to live on its own clock and from before it asked.
func guarded(ttl time.Duration) time.Duration { return ttl + ttl/clockRateDivisor }

func (s *State) lease(req *LeaseRequest) Outcome {
	s.now += req.Elapsed
	held := s.leases[req.Name]
	if held != nil && held.Expires < s.now {
		delete(s.leases, req.Name)
		held = nil
	}
	if req.Release {
		// The number keeps a late copy of a release from ending a newer grant.
		if held != nil && held.Holder == req.Holder && held.Fencing == req.Fencing {
			delete(s.leases, req.Name)
		}
		return Outcome{}
	}
	if held != nil && held.Holder != req.Holder && !s.takeOver(held, req) {
		return Outcome{Lease: &port.LeaseGrant{Holder: held.Holder, FencingNumber: held.Fencing, TTL: held.TTL}}
	}
	next := &lease{
		Name: req.Name, Holder: req.Holder, TTL: req.TTL, Fencing: s.index, Expires: s.now + guarded(req.TTL),
	}
	if held != nil && held.Holder == req.Holder && held.Fencing == req.Fencing {
		next.Fencing = held.Fencing
	}
	if held != nil && held.Holder == req.Holder {
		// A shorter renewal that overtook a longer one must not cut it.
		next.Expires = max(next.Expires, held.Expires)
	}
	s.leases[req.Name] = next
	return Outcome{Lease: &port.LeaseGrant{
		Granted: true, Holder: next.Holder, FencingNumber: next.Fencing, TTL: req.TTL,
	}}
}

// displacedKey names a former holder of a lease.
type displacedKey struct {
	Name   string `json:"name"`
	Holder string `json:"holder"`
}

// takeOver ends the grant of another holder where the request asks for it, and
// reports whether it did. A displaced holder does not get the lease back in
// this way while its own grant would still last: holders that alternate could
// undo each other's orders.
func (s *State) takeOver(held *lease, req *LeaseRequest) bool {
	for key, until := range s.displaced {
		if until < s.now {
			delete(s.displaced, key)
		}
	}
	_, displaced := s.displaced[displacedKey{req.Name, req.Holder}]
	if !req.TakeOver || displaced {
		return false
	}
	s.displaced[displacedKey{held.Name, held.Holder}] = s.now + guarded(held.TTL)
	return true
}

// restartLeases gives every holder its full time again: a new leader does not
// know how much of it passed while no leader counted.
func (s *State) restartLeases() {
	for name, held := range s.leases {
		renewed := *held
		renewed.Expires = max(held.Expires, s.now+guarded(held.TTL))
		s.leases[name] = &renewed
	}
}
