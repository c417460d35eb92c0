package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/raft"
)

// maintain makes at most one step towards the wanted voters: a learner that
// caught up replaces the voter that had its address before (whose folder is
// gone), or fills up the number of voters.
func (r *Replica) maintain() {
	s := r.raft.Status()
	change, ok := nextChange(&s, r.opts.Voters)
	if !ok {
		change, ok = r.absent.next(&s, time.Now())
	}
	if !ok {
		return
	}
	if _, _, err := r.raft.ProposeChange(change); err == nil {
		r.log.Info("Membership changes.", zap.Uint8("kind", uint8(change.Kind)),
			zap.Uint64("replica", uint64(change.Member.ID)), zap.String("address", change.Member.Address))
	}
}

// isGrowing reports whether a learner waits for its promotion. A new group has
// one voter, and until it has three the loss of one disk can end it, so that its
// growth must not wait for the usual interval.
func (r *Replica) isGrowing() bool {
	s := r.raft.Status()
	return len(s.Config.Voters) < min(r.opts.Voters, safeVoters) && len(s.Config.Learners) > 0
}

// safeVoters is the number of voters that bear the loss of one disk.
const safeVoters = 3

// nextChange returns the next step, if one is due. The newer of two members
// with one address is behind the other in its list.
func nextChange(s *raft.Status, voters int) (raft.Change, bool) {
	for _, list := range [][]raft.Member{s.Config.Voters, s.Config.Learners} {
		for i, m := range list {
			if m.ID != s.ID && addressIn(list[i+1:], m.Address) {
				return raft.Change{Kind: raft.RemoveMember, Member: m}, true
			}
		}
	}
	for _, m := range s.Config.Learners {
		replaces := addressIn(s.Config.Voters, m.Address)
		if s.Active[m.ID] && s.Match[m.ID] > 0 && (replaces || len(s.Config.Voters) < voters) {
			return raft.Change{Kind: raft.PromoteLearner, Member: m}, true
		}
	}
	return raft.Change{}, false
}

// absence notes since when each member has been silent. It belongs to the leader.
type absence map[raft.ID]time.Time

// absentTime is the silence after which a member is removed if the others do
// not need it. A member that comes back joins again by itself, so a wrong
// removal costs one more change.
const absentTime = 8 * time.Second

// sparedVoters is the number of active voters from which a silent one is
// removed: a VM that is gone for good would otherwise count in each majority.
const sparedVoters = 4

// next returns the removal of a member that has been silent for long.
func (a absence) next(s *raft.Status, now time.Time) (raft.Change, bool) {
	active := 0
	for _, m := range s.Config.Voters {
		if s.Active[m.ID] || m.ID == s.ID {
			active++
		}
	}
	for _, m := range s.Config.Members() {
		if s.Active[m.ID] || m.ID == s.ID {
			delete(a, m.ID)
			continue
		}
		since, known := a[m.ID]
		if !known {
			a[m.ID] = now
			continue
		}
		if now.Sub(since) >= absentTime && (active >= sparedVoters || s.Config.IsLearner(m.ID)) {
			return raft.Change{Kind: raft.RemoveMember, Member: m}, true
		}
	}
	return raft.Change{}, false
}

func addressIn(list []raft.Member, address string) bool {
	for _, m := range list {
		if m.Address == address {
			return true
		}
	}
	return false
}

// handleJoin adds a learner. It answers with the cluster once that is committed.
func (r *Replica) handleJoin(ctx context.Context, req *request) reply {
	req.Change.Kind = raft.AddLearner
	answer := r.change(ctx, req.Change)
	if answer.Error != nil {
		return answer
	}
	return reply{Status: &Status{Cluster: r.cluster.Load()}}
}

// handleMember promotes, removes or replaces a member.
func (r *Replica) handleMember(ctx context.Context, req *request) reply {
	answer := r.change(ctx, req.Change)
	if answer.Error != nil || req.Lost == 0 {
		return answer
	}
	// Promote first: the learner holds the log, and the lost voter may not be lost after all.
	return r.change(ctx, raft.Change{Kind: raft.RemoveMember, Member: raft.Member{ID: req.Lost}})
}

// change proposes a membership change and waits for its commit. A change that
// is already in force succeeds, so that it can be repeated.
func (r *Replica) change(ctx context.Context, change raft.Change) reply {
	return r.await(ctx, &proposal{change: &change, answer: make(chan reply, 1)})
}

// inForce reports whether a change would change nothing.
func inForce(config *raft.Configuration, change raft.Change) bool {
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

// Resign hands the leadership to the voter that is furthest, if this replica leads.
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
			_ = r.raft.Transfer(best)
		}
	})
}
