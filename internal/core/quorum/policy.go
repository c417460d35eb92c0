package quorum

import "github.com/boragelead/boragelead/internal/core/raft"

// Policy decides on the voters of one group.
type Policy struct {
	// Voters is the number of voters up to which learners are promoted.
	Voters int
	// Losses is the number of replicas that may be lost at once.
	Losses int
	// VoterTicks is the time in ticks after which a silent voter no longer counts as one that
	// may answer. It must be longer than a round trip of heartbeats takes on a loaded VM.
	VoterTicks int
	// LearnerTicks is the time in ticks after which a silent learner is removed. A learner
	// that starts on a slow VM answers late.
	LearnerTicks int
}

// Next returns the next membership change, if one is due. The older member of two with the same
// address is removed, since its data folder is gone. Then come voters that are silent and not
// needed, learners that can take a place, and learners that are silent.
func (p Policy) Next(s *raft.Status) (raft.Change, bool) {
	if m, ok := supersededMember(s); ok {
		return raft.Change{Kind: raft.RemoveMember, Member: m}, true
	}
	if m, ok := p.removableVoter(s); ok {
		return raft.Change{Kind: raft.RemoveMember, Member: m}, true
	}
	if m, ok := p.promotableLearner(s); ok {
		return raft.Change{Kind: raft.PromoteLearner, Member: m}, true
	}
	for _, m := range s.Config.Learners {
		if s.SilentTicks[m.ID] >= p.LearnerTicks {
			return raft.Change{Kind: raft.RemoveMember, Member: m}, true
		}
	}
	return raft.Change{}, false
}

// minVoters is the least number of voters of which a majority outlives the allowed losses.
func (p Policy) minVoters() int { return 2*max(p.Losses, 1) + 1 }

// isGone reports whether a voter is taken for one that does not answer any more.
func (p Policy) isGone(s *raft.Status, voter raft.Member) bool {
	return s.SilentTicks[voter.ID] >= p.VoterTicks
}

// supersededMember returns a member whose address belongs to a newer member: of two members with
// the same address, the one later in the list is the newer.
func supersededMember(s *raft.Status) (raft.Member, bool) {
	for _, list := range [][]raft.Member{s.Config.Voters, s.Config.Learners} {
		for i, m := range list {
			if m.ID != s.ID && containsAddress(list[i+1:], m.Address) {
				return m, true
			}
		}
	}
	return raft.Member{}, false
}

// removableVoter returns a voter that is silent and not needed. A voter on a VM that no longer
// exists counts towards the size of every majority, so that the group would bear fewer losses
// with each VM that is replaced. A voter that was only cut off joins again when it is back.
func (p Policy) removableVoter(s *raft.Status) (raft.Member, bool) {
	if len(s.Config.Voters) <= p.minVoters() {
		return raft.Member{}, false
	}
	for _, m := range s.Config.Voters {
		if p.isGone(s, m) {
			return m, true
		}
	}
	return raft.Member{}, false
}

// promotableLearner returns a learner that answers, holds a part of the log, and takes the place
// of a voter with the same address or of one that is missing or silent.
func (p Policy) promotableLearner(s *raft.Status) (raft.Member, bool) {
	present := 0
	for _, m := range s.Config.Voters {
		if !p.isGone(s, m) {
			present++
		}
	}
	for _, m := range s.Config.Learners {
		hasPlace := present < p.Voters || containsAddress(s.Config.Voters, m.Address)
		if hasPlace && s.Active[m.ID] && s.Match[m.ID] > 0 {
			return m, true
		}
	}
	return raft.Member{}, false
}

// TolerableLosses returns how many more voters the group can lose and still has a majority, as
// its leader observes it. It is negative if the majority is lost.
func TolerableLosses(s *raft.Status) int {
	active := 0
	for _, m := range s.Config.Voters {
		if s.Active[m.ID] {
			active++
		}
	}
	return active - s.Config.Quorum()
}

func containsAddress(list []raft.Member, address string) bool {
	for _, m := range list {
		if m.Address == address {
			return true
		}
	}
	return false
}
