package raft_test

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/raft"
)

var threeVoters = raft.Configuration{Voters: []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}}

// lone starts node 1 of three voters with the given entries.
func lone(g *gomega.WithT, term uint64, entries ...raft.Entry) *raft.Raft {
	return newNode(g, raft.HardState{Term: term}, threeVoters, entries...)
}

func newNode(
	g *gomega.WithT, hard raft.HardState, config raft.Configuration, entries ...raft.Entry,
) *raft.Raft {
	r, err := raft.New(raft.Config{
		ID: 1, ElectionTicks: 5, HeartbeatTicks: 1, MaxAppendBytes: 1000, MaxInflight: 4, MaxUncommittedBytes: 1000,
		Rand: func(int) int { return 0 }, HardState: hard,
		Snapshot: raft.Snapshot{Index: 1, Term: 1, Config: config}, Entries: entries,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

func pump(r *raft.Raft) {
	for rd, work := r.Ready(); work; rd, work = r.Ready() {
		r.Advance(rd)
	}
}

// elect makes node 1 the leader of the term after the given one.
func elect(r *raft.Raft, term uint64) {
	for range 5 {
		r.Tick()
	}
	r.Step(raft.Message{Kind: raft.MsgPreVoteReply, From: 2, To: 1, Term: term + 1})
	pump(r)
	r.Step(raft.Message{Kind: raft.MsgVoteReply, From: 2, To: 1, Term: term + 1})
	pump(r)
}

// TestCommitOfOlderTerm guards against committing an entry of an older term by
// counting copies: a later leader could still overwrite it. Random schedules
// rarely reach this.
func TestCommitOfOlderTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	r := lone(g, 3, raft.Entry{Index: 2, Term: 2, Data: []byte("x")})
	elect(r, 3)
	r.Step(raft.Message{Kind: raft.MsgAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	pump(r)
	g.Expect(r.Status().Commit).To(gomega.BeEquivalentTo(1))
	r.Step(raft.Message{Kind: raft.MsgAppendReply, From: 2, To: 1, Term: 4, Index: 3})
	pump(r)
	g.Expect(r.Status().Commit).To(gomega.BeEquivalentTo(3))
}

// TestChangeNeedsOpenTerm guards against a membership change of a leader that
// does not know yet which changes its predecessors committed.
func TestChangeNeedsOpenTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	r := lone(g, 3)
	elect(r, 3)
	_, _, err := r.ProposeChange(raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: 4}})
	var busy *raft.BusyError
	g.Expect(errors.As(err, &busy)).To(gomega.BeTrue())
	g.Expect(busy.Reason).To(gomega.Equal(raft.BusyTerm))
}

// TestOverwrittenConfiguration guards against a node that keeps a configuration
// whose entry was overwritten.
func TestOverwrittenConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	next := raft.EncodeConfiguration(raft.Configuration{Voters: []raft.Member{{ID: 1}}})
	r := lone(g, 2, raft.Entry{Index: 2, Term: 2, Kind: raft.EntryConfig, Data: next})
	g.Expect(r.Status().Config.Voters).To(gomega.HaveLen(1))
	r.Step(raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []raft.Entry{{Index: 2, Term: 3}},
	})
	g.Expect(r.Status().Config.Voters).To(gomega.HaveLen(3))
}

// TestLease guards against a node that helps to replace a leader it still hears.
func TestLease(t *testing.T) {
	g := gomega.NewWithT(t)
	r := lone(g, 2)
	r.Step(raft.Message{Kind: raft.MsgHeartbeat, From: 2, To: 1, Term: 2})
	pump(r)
	r.Step(raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 9})
	r.Step(raft.Message{Kind: raft.MsgPreVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 9})
	rd, _ := r.Ready()
	g.Expect(r.Status().Term).To(gomega.BeEquivalentTo(2))
	g.Expect(rd.Messages).To(gomega.HaveLen(1))
	g.Expect(rd.Messages[0].Reject).To(gomega.BeTrue())
}

// TestVoteSurvivesRestart guards against a second vote in one term.
func TestVoteSurvivesRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newNode(g, raft.HardState{Term: 3, Vote: 2}, threeVoters)
	r.Step(raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2})
	rd, _ := r.Ready()
	g.Expect(rd.Messages).To(gomega.HaveLen(1))
	g.Expect(rd.Messages[0].Reject).To(gomega.BeTrue())
}

// TestNothingEarlyBeforeTerm guards against a single voter whose entries leave
// before its term is synced: after a crash it would lead the term with others.
func TestNothingEarlyBeforeTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	config := raft.Configuration{Voters: []raft.Member{{ID: 1}}, Learners: []raft.Member{{ID: 2}}}
	r := newNode(g, raft.HardState{Term: 3}, config)
	for range 5 {
		r.Tick()
	}
	rd, _ := r.Ready()
	g.Expect(rd.HardState.Term).To(gomega.BeEquivalentTo(4))
	g.Expect(rd.Early).To(gomega.BeEmpty())
	g.Expect(rd.Messages).NotTo(gomega.BeEmpty())
}
