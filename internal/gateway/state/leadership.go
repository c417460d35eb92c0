package state

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/link"
)

// isLeader reports whether a majority confirmed this replica as the leader within
// confirmationTTL. The role in the local status is not enough: a leader that was
// suspended or partitioned does not know that another leader was elected.
func (s *State) isLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt != 0 && bootclock.Now().Sub(s.confirmedAt) < confirmationTTL
}

// Leads reports whether this replica is the leader that a majority has confirmed.
func (s *State) Leads() bool { return s.isLeader() }

// leaderAddress returns the address of the leader that this replica knows, or "".
func (s *State) leaderAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.status == nil {
		return ""
	}
	return s.status.Leader
}

// hearsAll reports whether the sums of this replica are those of all entries.
func (s *State) hearsAll() bool {
	return s.coverage.complete(bootclock.Now()) && s.isPolledByAll()
}

// isPolledByAll reports whether all entries poll this replica. In a small group
// they poll every replica; in a larger group only the leader can count on it, and
// only leaderDiscoveryTime after its election. It may not have heard from all of them yet.
func (s *State) isPolledByAll() bool {
	if s.isSmallGroup() {
		return true
	}
	return s.hasLedFor(leaderDiscoveryTime)
}

// hasLedFor reports whether this replica has been the leader for a time.
func (s *State) hasLedFor(d time.Duration) bool {
	if !s.isLeader() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return bootclock.Now().Sub(s.leaderSince) >= d
}

// isSmallGroup reports whether the group is small enough that entries poll all of
// its replicas.
func (s *State) isSmallGroup() bool { return len(s.members()) <= link.MaxFollowed }

// confirmLeadership asks a majority whether this replica is the leader. At the
// start of a leadership it resets the common quota, because the grants of the
// former leader are unknown.
func (s *State) confirmLeadership(time.Time) {
	start := bootclock.Now()
	ctx, cancel := context.WithTimeout(s.ctx, confirmInterval)
	defer cancel()
	if s.replica.ConfirmLeadership(ctx) != nil {
		return
	}
	s.mu.Lock()
	newlyLeading := s.confirmedAt == 0 || start.Sub(s.confirmedAt) >= confirmationTTL
	s.mu.Unlock()
	if newlyLeading {
		// Before anything is granted.
		emptyAt := s.commonQuota.Reset(time.Now())
		s.leases.Reset(s.entries.seen(), time.Now())
		s.log.Info("Common quotas start empty at this leader.", zap.Time("empty_at", emptyAt))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt = start
	if newlyLeading {
		s.leaderSince = start
	}
}

// leaderChange returns a channel that is closed when this replica learns of another leader, or
// that there is none.
func (s *State) leaderChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderChanged
}
