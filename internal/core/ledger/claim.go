package ledger

import (
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

type claimKey struct {
	Group     string `json:"group"`
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// claim is a claim that was granted.
type claim struct {
	claimKey
	BodyHash    string          `json:"body_hash"`
	Owner       string          `json:"owner"`
	Incarnation uint64          `json:"incarnation"`
	Attempt     string          `json:"attempt"`
	State       port.ClaimState `json:"state"`
	// EndedAt is the ledger time at which the claim last changed to an ended state.
	EndedAt time.Duration    `json:"ended_at"`
	Result  *port.CallResult `json:"result,omitempty"`
}

type claimEnd struct {
	key claimKey
	at  time.Duration
}

// owner describes the newest known incarnation of an entry daemon.
type owner struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"incarnation"`
	Gone        bool          `json:"gone"`
	SeenAt      time.Duration `json:"seen_at"`
}

func (s *State) claim(req *port.ClaimRequest) Outcome {
	if !s.observeOwner(req.Owner, req.Incarnation) {
		return Outcome{Stale: &port.StaleOwnerError{Owner: req.Owner, Incarnation: req.Incarnation}}
	}
	key := claimKey{req.Group, req.Workspace, req.Key}
	c := s.claims[key]
	if c == nil {
		return s.grant(key, req)
	}
	result := port.ClaimResult{State: c.State, Result: c.Result}
	switch {
	case c.BodyHash != req.BodyHash:
		result = port.ClaimResult{State: port.ClaimMismatch}
	case c.State == port.ClaimRunning && c.Attempt == req.Attempt:
		// The attempt that holds the claim sent its proposal again.
		result.State = port.ClaimGranted
	case c.State == port.ClaimRunning:
		result.Owner = c.Owner
	}
	return Outcome{Claim: &result}
}

func (s *State) grant(key claimKey, req *port.ClaimRequest) Outcome {
	if _, gone := s.released[req.Attempt]; gone {
		// This is a late copy of a proposal whose owner gave up. If it were granted,
		// the claim would stay running although no daemon runs the call.
		return Outcome{Attempt: &port.AttemptError{Attempt: req.Attempt}}
	}
	c := &claim{
		claimKey: key, BodyHash: req.BodyHash, Owner: req.Owner, Incarnation: req.Incarnation,
		Attempt: req.Attempt, State: port.ClaimRunning,
	}
	s.claims[key] = c
	s.trackRunning(c)
	return Outcome{Claim: &port.ClaimResult{State: port.ClaimGranted}}
}

func (s *State) complete(req *port.CompleteRequest) Outcome {
	key := claimKey{req.Group, req.Workspace, req.Key}
	c := s.claims[key]
	if c == nil || c.Attempt != req.Attempt {
		if req.Result.Released {
			// The proposal of the claim may arrive later and must not be granted then.
			s.releaseAttempt(req.Attempt)
			return Outcome{}
		}
		return Outcome{Attempt: &port.AttemptError{Attempt: req.Attempt}}
	}
	switch {
	case c.State == port.ClaimDone:
		// The completion was sent again. The first result is kept.
	case req.Result.Released:
		s.untrackRunning(c)
		delete(s.claims, key)
		s.releaseAttempt(req.Attempt)
	case req.Result.Unknown:
		s.endClaim(c, port.ClaimUnknown, nil)
	default:
		result := req.Result
		s.endClaim(c, port.ClaimDone, &result)
	}
	return Outcome{}
}

// endClaim replaces a claim by a copy in the given ended state. A claim in the
// unknown state can still become done, because its attempt was granted and may
// report the result later.
func (s *State) endClaim(c *claim, state port.ClaimState, result *port.CallResult) {
	if c.State == state {
		return
	}
	s.untrackRunning(c)
	ended := *c
	ended.State, ended.Result, ended.EndedAt = state, result, s.now
	s.claims[c.claimKey] = &ended
	s.ended = append(s.ended, claimEnd{c.claimKey, s.now})
}

func (s *State) trackRunning(c *claim) {
	if s.running[c.Owner] == nil {
		s.running[c.Owner] = map[claimKey]struct{}{}
	}
	s.running[c.Owner][c.claimKey] = struct{}{}
}

func (s *State) untrackRunning(c *claim) {
	delete(s.running[c.Owner], c.claimKey)
	if len(s.running[c.Owner]) == 0 {
		delete(s.running, c.Owner)
	}
}

func (s *State) releaseAttempt(attempt string) {
	if _, known := s.released[attempt]; !known {
		s.released[attempt] = s.now
		s.releasedOrder = append(s.releasedOrder, attempt)
	}
}

// observeOwner records an incarnation of an owner and ends the claims of earlier
// incarnations. It reports false for an incarnation that has ended or has a
// successor.
func (s *State) observeOwner(name string, incarnation uint64) bool {
	known := s.owners[name]
	if known != nil && (known.Incarnation > incarnation || known.Incarnation == incarnation && known.Gone) {
		return false
	}
	if known != nil && known.Incarnation < incarnation {
		s.endClaims(name, incarnation-1)
	}
	s.owners[name] = &owner{Name: name, Incarnation: incarnation, SeenAt: s.now}
	return true
}

func (s *State) ownerGone(gone *OwnerGone) {
	if known := s.owners[gone.Owner]; known != nil && known.Incarnation > gone.Incarnation {
		return
	}
	s.owners[gone.Owner] = &owner{Name: gone.Owner, Incarnation: gone.Incarnation, Gone: true, SeenAt: s.now}
	s.endClaims(gone.Owner, gone.Incarnation)
}

// endClaims changes the running claims of an owner to the unknown state, for all
// incarnations up to upTo.
func (s *State) endClaims(name string, upTo uint64) {
	var keys []claimKey
	for key := range s.running[name] {
		if s.claims[key].Incarnation <= upTo {
			keys = append(keys, key)
		}
	}
	// The order of ended claims is part of the snapshot, so it must not depend on
	// the iteration order of the map.
	sortKeys(keys)
	for _, key := range keys {
		s.endClaim(s.claims[key], port.ClaimUnknown, nil)
	}
}

// expireClaims removes claims and released attempts that ended more than the
// retention ago, and idle owners when there are too many. A running claim never
// expires: it ends when its owner completes it or when its owner is gone.
func (s *State) expireClaims(retention time.Duration) {
	for len(s.ended) > 0 && s.ended[0].at+retention < s.now {
		key, at := s.ended[0].key, s.ended[0].at
		s.ended = s.ended[1:]
		// Since this end, the key may have been claimed again or its claim may have
		// ended a second time.
		if c := s.claims[key]; c != nil && c.State != port.ClaimRunning && c.EndedAt == at {
			delete(s.claims, key)
		}
	}
	for len(s.releasedOrder) > 0 && s.released[s.releasedOrder[0]]+retention < s.now {
		delete(s.released, s.releasedOrder[0])
		s.releasedOrder = s.releasedOrder[1:]
	}
	if len(s.owners) <= maxOwners {
		return
	}
	for name, o := range s.owners {
		if len(s.running[name]) == 0 && o.SeenAt+retention < s.now {
			delete(s.owners, name)
		}
	}
}
