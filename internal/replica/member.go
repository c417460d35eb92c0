package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/quorum"
	"github.com/boragelead/boragelead/internal/core/raft"
)

// voterTimeout is the time after which a silent voter no longer counts as one that may
// answer. It is a dozen heartbeats, and short enough that the group bears the next loss as
// soon as a successor has started, also if it lost two leaders in a row. A voter that is
// removed while it is cut off joins again when it is back, at the cost of two membership
// changes.
const voterTimeout = 1200 * time.Millisecond

// learnerTimeout is the time after which a silent learner is removed.
const learnerTimeout = 8 * time.Second

// maintainMembership proposes at most one membership change towards the wanted set of
// voters.
func (r *Replica) maintainMembership() {
	s := r.raft.Status()
	change, ok := r.policy().Next(&s)
	if !ok {
		return
	}
	// Busy until the change before is committed, or not caught up: tried again at the next tick.
	if _, _, err := r.raft.ProposeChange(change); err != nil {
		return
	}
	r.log.Info("Membership change proposed.", zap.Stringer("change", change.Kind),
		zap.Uint64("replica", uint64(change.Member.ID)), zap.String("address", change.Member.Address),
		zap.Int("silent_ticks", s.SilentTicks[change.Member.ID]),
		zap.Int("voters_before", len(s.Config.Voters)), zap.Int("tolerable_losses_before", quorum.TolerableLosses(&s)))
}

func (r *Replica) policy() quorum.Policy {
	return quorum.Policy{
		Voters: r.opts.Voters, Losses: r.opts.Losses,
		VoterTicks: int(voterTimeout / r.opts.TickInterval), LearnerTicks: int(learnerTimeout / r.opts.TickInterval),
	}
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
