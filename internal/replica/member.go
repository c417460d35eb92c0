package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/raft"
)

// maintainMembership proposes at most one membership change towards the wanted set of
// voters. A learner that has caught up replaces the voter that had its address before
// (the data folder of that voter is lost), or is promoted if voters are missing. If
// neither is due, a member that has been silent for too long is removed.
func (r *Replica) maintainMembership() {
	s := r.raft.Status()
	change, ok := nextMembershipChange(&s, r.opts.Voters)
	if !ok {
		change, ok = r.silent.nextRemoval(&s, time.Now())
	}
	if !ok {
		return
	}
	if _, _, err := r.raft.ProposeChange(change); err == nil {
		r.log.Info("Membership change proposed.", zap.Uint8("kind", uint8(change.Kind)),
			zap.Uint64("replica", uint64(change.Member.ID)), zap.String("address", change.Member.Address))
	}
}

// needsPromotion reports whether a learner waits for its promotion while the cluster
// has too few voters to survive the loss of one disk. A new cluster has one voter.
// Until it has three, its growth must not wait for maintenanceInterval.
func (r *Replica) needsPromotion() bool {
	s := r.raft.Status()
	return len(s.Config.Voters) < min(r.opts.Voters, faultTolerantVoters) && len(s.Config.Learners) > 0
}

// faultTolerantVoters is the least number of voters that tolerate the loss of one disk.
const faultTolerantVoters = 3

// nextMembershipChange returns the next removal of a replaced member or promotion of a
// learner, if one is due. Of two members with the same address, the one later in the
// list is the newer.
func nextMembershipChange(s *raft.Status, voters int) (raft.Change, bool) {
	for _, list := range [][]raft.Member{s.Config.Voters, s.Config.Learners} {
		for i, m := range list {
			if m.ID != s.ID && containsAddress(list[i+1:], m.Address) {
				return raft.Change{Kind: raft.RemoveMember, Member: m}, true
			}
		}
	}
	for _, m := range s.Config.Learners {
		replaces := containsAddress(s.Config.Voters, m.Address)
		if s.Active[m.ID] && s.Match[m.ID] > 0 && (replaces || len(s.Config.Voters) < voters) {
			return raft.Change{Kind: raft.PromoteLearner, Member: m}, true
		}
	}
	return raft.Change{}, false
}

// silentMembers records for each silent member since when it has been silent. Only the
// leader uses it.
type silentMembers map[raft.ID]time.Time

// silentMemberTimeout is the time after which a silent member is removed if the other
// members do not need it. A removed member that comes back joins again on its own, so
// a wrong removal costs one more membership change.
const silentMemberTimeout = 8 * time.Second

// minActiveForRemoval is the least number of active voters for the removal of a silent
// voter. Without the removal, a voter on a VM that no longer exists would count
// towards the size of every majority.
const minActiveForRemoval = 4

// nextRemoval returns the removal of a member that has been silent for at least
// silentMemberTimeout, if there is one. A voter is only removed while at least
// minActiveForRemoval voters are active.
func (silent silentMembers) nextRemoval(s *raft.Status, now time.Time) (raft.Change, bool) {
	active := 0
	for _, m := range s.Config.Voters {
		if s.Active[m.ID] || m.ID == s.ID {
			active++
		}
	}
	for _, m := range s.Config.Members() {
		if s.Active[m.ID] || m.ID == s.ID {
			delete(silent, m.ID)
			continue
		}
		since, known := silent[m.ID]
		if !known {
			silent[m.ID] = now
			continue
		}
		if now.Sub(since) >= silentMemberTimeout && (active >= minActiveForRemoval || s.Config.IsLearner(m.ID)) {
			return raft.Change{Kind: raft.RemoveMember, Member: m}, true
		}
	}
	return raft.Change{}, false
}

func containsAddress(list []raft.Member, address string) bool {
	for _, m := range list {
		if m.Address == address {
			return true
		}
	}
	return false
}

// handleJoin adds a learner. It replies with the cluster ID once the change is committed.
func (r *Replica) handleJoin(ctx context.Context, req *request) reply {
	req.Change.Kind = raft.AddLearner
	answer := r.changeMembership(ctx, req.Change)
	if answer.Error != nil {
		return answer
	}
	return reply{Status: &Status{Cluster: r.clusterID.Load()}}
}

// handleMember promotes, removes or replaces a member.
func (r *Replica) handleMember(ctx context.Context, req *request) reply {
	answer := r.changeMembership(ctx, req.Change)
	if answer.Error != nil || req.Lost == 0 {
		return answer
	}
	// The learner is promoted first: it has the log, and the voter reported as lost may
	// still be running.
	return r.changeMembership(ctx, raft.Change{Kind: raft.RemoveMember, Member: raft.Member{ID: req.Lost}})
}

// changeMembership proposes a membership change and waits until it is committed. A
// change that is already in force succeeds, so requests can be repeated.
func (r *Replica) changeMembership(ctx context.Context, change raft.Change) reply {
	return r.awaitOutcome(ctx, &proposal{change: &change, answer: make(chan reply, 1)})
}

// alreadyInForce reports whether the change would leave the configuration as it is.
func alreadyInForce(config *raft.Configuration, change raft.Change) bool {
	id := change.Member.ID
	switch change.Kind {
	case raft.AddLearner:
		return config.IsLearner(id) || config.IsVoter(id)
	case raft.PromoteLearner:
		return config.IsVoter(id)
	default:
		return !config.IsLearner(id) && !config.IsVoter(id)
	}
}

// Resign transfers leadership to the active voter with the most complete log, if this
// replica leads.
func (r *Replica) Resign() {
	r.submit(func() {
		s := r.raft.Status()
		var best raft.ID
		for _, m := range s.Config.Voters {
			if m.ID != s.ID && s.Active[m.ID] && (best == 0 || s.Match[m.ID] > s.Match[best]) {
				best = m.ID
			}
		}
		if best != 0 {
			_ = r.raft.TransferLeadership(best)
		}
	})
}
