package quorum_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/quorum"
	"github.com/boragelead/boragelead/internal/core/raft"
)

const (
	voterTicks   = 12
	learnerTicks = 80
)

func member(id int) raft.Member {
	return raft.Member{ID: raft.ID(id), Address: fmt.Sprintf("10.0.0.%d:1", id)}
}

// group describes the members of a group that member 1 leads.
type group struct {
	voters, silentVoters, learners, silentLearners []int
	// silentFor is how long the silent members have been silent, in ticks.
	silentFor int
}

func (g group) status() *raft.Status {
	s := &raft.Status{ID: 1, Role: raft.Leader, Match: map[raft.ID]uint64{}, Active: map[raft.ID]bool{}, SilentTicks: map[raft.ID]int{}}
	add := func(list *[]raft.Member, ids []int, active bool) {
		for _, id := range ids {
			m := member(id)
			*list = append(*list, m)
			s.Active[m.ID], s.Match[m.ID] = active, 1
			if !active {
				s.SilentTicks[m.ID] = g.silentFor
			}
		}
	}
	add(&s.Config.Voters, g.voters, true)
	add(&s.Config.Voters, g.silentVoters, false)
	add(&s.Config.Learners, g.learners, true)
	add(&s.Config.Learners, g.silentLearners, false)
	return s
}

// TestNextChange guards against voters that are gone and count towards majorities for good,
// against groups that shrink below the voters that the allowed losses need, and against
// learners that wait while voters are missing.
func TestNextChange(t *testing.T) {
	const short, long = voterTicks - 1, voterTicks
	promote := func(id int) raft.Change { return raft.Change{Kind: raft.PromoteLearner, Member: member(id)} }
	remove := func(id int) raft.Change { return raft.Change{Kind: raft.RemoveMember, Member: member(id)} }
	for name, c := range map[string]struct {
		losses int
		group  group
		want   raft.Change
	}{
		"calm group":                       {1, group{voters: []int{1, 2, 3, 4}}, raft.Change{}},
		"full group keeps its learner":     {1, group{voters: []int{1, 2, 3, 4, 5}, learners: []int{6}}, raft.Change{}},
		"learner of a small group":         {1, group{voters: []int{1, 2, 3, 4}, learners: []int{5}}, promote(5)},
		"voter silent for a moment":        {1, group{voters: []int{1, 2, 3}, silentVoters: []int{4}, silentFor: short}, raft.Change{}},
		"voter gone":                       {1, group{voters: []int{1, 2, 3}, silentVoters: []int{4}, silentFor: long}, remove(4)},
		"voter of three gone":              {1, group{voters: []int{1, 2}, silentVoters: []int{3}, silentFor: long}, raft.Change{}},
		"successor of one of three":        {1, group{voters: []int{1, 2}, silentVoters: []int{3}, learners: []int{4}, silentFor: long}, promote(4)},
		"successor promoted":               {1, group{voters: []int{1, 2, 4}, silentVoters: []int{3}, silentFor: long}, remove(3)},
		"two of five gone, one may be":     {1, group{voters: []int{1, 2, 3}, silentVoters: []int{4, 5}, learners: []int{6}, silentFor: long}, remove(4)},
		"two of five gone, as allowed":     {2, group{voters: []int{1, 2, 3}, silentVoters: []int{4, 5}, learners: []int{6, 7}, silentFor: long}, promote(6)},
		"one of the two replaced":          {2, group{voters: []int{1, 2, 3, 6}, silentVoters: []int{4, 5}, learners: []int{7}, silentFor: long}, remove(4)},
		"two gone, known for a moment":     {2, group{voters: []int{1, 2, 3}, silentVoters: []int{4, 5}, learners: []int{6, 7}, silentFor: short}, raft.Change{}},
		"silent learner is not promoted":   {1, group{voters: []int{1, 2, 3}, silentLearners: []int{4}, silentFor: short}, raft.Change{}},
		"silent learner that may start":    {1, group{voters: []int{1, 2, 3}, silentLearners: []int{4}, silentFor: long}, raft.Change{}},
		"learner gone":                     {1, group{voters: []int{1, 2, 3}, silentLearners: []int{4}, silentFor: learnerTicks}, remove(4)},
		"two of three cannot lose another": {1, group{voters: []int{1, 2}, silentVoters: []int{3}, silentFor: 1000}, raft.Change{}},
	} {
		t.Run(name, func(t *testing.T) {
			policy := quorum.Policy{Voters: 5, Losses: c.losses, VoterTicks: voterTicks, LearnerTicks: learnerTicks}
			change, _ := policy.Next(c.group.status())
			NewWithT(t).Expect(change).To(Equal(c.want))
		})
	}
}

// TestReplacedAddress guards against a member whose data folder is gone and that stays beside
// the member that has its address now.
func TestReplacedAddress(t *testing.T) {
	g := NewWithT(t)
	policy := quorum.Policy{Voters: 3, Losses: 1, VoterTicks: voterTicks, LearnerTicks: learnerTicks}
	status := group{voters: []int{1, 2}, silentVoters: []int{3}, learners: []int{4}}.status()
	status.Config.Learners[0].Address = member(3).Address
	change, ok := policy.Next(status)
	g.Expect(ok).To(BeTrue())
	g.Expect(change).To(Equal(raft.Change{Kind: raft.PromoteLearner, Member: status.Config.Learners[0]}))

	status.Config.Voters, status.Config.Learners = append(status.Config.Voters, status.Config.Learners...), nil
	change, ok = policy.Next(status)
	g.Expect(ok).To(BeTrue())
	g.Expect(change).To(Equal(raft.Change{Kind: raft.RemoveMember, Member: member(3)}))
}

// TestTolerableLosses guards against a figure for operators that counts silent voters.
func TestTolerableLosses(t *testing.T) {
	for _, c := range []struct {
		group group
		want  int
	}{
		{group{voters: []int{1, 2, 3, 4}}, 1},
		{group{voters: []int{1, 2, 3}, silentVoters: []int{4}}, 0},
		{group{voters: []int{1, 2, 3, 4, 5}, learners: []int{6}}, 2},
		{group{voters: []int{1, 2}, silentVoters: []int{3, 4, 5}}, -1},
	} {
		NewWithT(t).Expect(quorum.TolerableLosses(c.group.status())).To(Equal(c.want))
	}
}
