package raft_test

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/raft"
)

var threeVoters = raft.Configuration{Voters: []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}}

// bytesPerTick is the rate at which appends of test nodes are assumed to travel.
const bytesPerTick = 40

// newThreeVoterNode returns node 1 of three voters with the given log entries.
func newThreeVoterNode(g *gomega.WithT, term uint64, entries ...raft.Entry) *raft.Raft {
	return newNode(g, raft.HardState{Term: term}, threeVoters, entries...)
}

func newNode(
	g *gomega.WithT, hard raft.HardState, config raft.Configuration, entries ...raft.Entry,
) *raft.Raft {
	r, err := raft.New(raft.Config{
		ID: 1, ElectionTicks: 5, HeartbeatTicks: 1, MaxAppendBytes: 1000, MaxInflight: 4, MaxUncommittedBytes: 1000,
		AppendBytesPerTick: bytesPerTick,
		Rand:               func(int) int { return 0 }, HardState: hard,
		Snapshot: raft.Snapshot{Index: 1, Term: 1, Config: config}, Entries: entries,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return r
}

func drainReady(r *raft.Raft) {
	for rd, hasWork := r.Ready(); hasWork; rd, hasWork = r.Ready() {
		r.Advance(rd)
	}
}

// elect makes node 1 the leader of the term that follows the given term.
func elect(r *raft.Raft, term uint64) {
	for range 5 {
		r.Tick()
	}
	r.Step(raft.Message{Kind: raft.MsgPreVoteReply, From: 2, To: 1, Term: term + 1})
	drainReady(r)
	r.Step(raft.Message{Kind: raft.MsgVoteReply, From: 2, To: 1, Term: term + 1})
	drainReady(r)
}

// TestNoCommitOfOlderTermByCount guards against a leader that commits an entry of
// an older term because a majority holds it. A later leader could still overwrite
// such an entry. Random schedules rarely produce this case.
func TestNoCommitOfOlderTermByCount(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newThreeVoterNode(g, 3, raft.Entry{Index: 2, Term: 2, Data: []byte("x")})
	elect(r, 3)
	r.Step(raft.Message{Kind: raft.MsgAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	drainReady(r)
	g.Expect(r.Status().Commit).To(gomega.BeEquivalentTo(1))
	r.Step(raft.Message{Kind: raft.MsgAppendReply, From: 2, To: 1, Term: 4, Index: 3})
	drainReady(r)
	g.Expect(r.Status().Commit).To(gomega.BeEquivalentTo(3))
}

// TestChangeNeedsCommitInTerm guards against a membership change by a leader that
// does not know yet which changes its predecessors committed.
func TestChangeNeedsCommitInTerm(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newThreeVoterNode(g, 3)
	elect(r, 3)
	_, _, err := r.ProposeChange(raft.Change{Kind: raft.AddLearner, Member: raft.Member{ID: 4}})
	var busy *raft.BusyError
	g.Expect(errors.As(err, &busy)).To(gomega.BeTrue())
	g.Expect(busy.Reason).To(gomega.Equal(raft.BusyNoCommitInTerm))
}

// TestOverwrittenConfigurationIsDropped guards against a node that keeps using a
// configuration whose log entry was overwritten.
func TestOverwrittenConfigurationIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	next := raft.EncodeConfiguration(raft.Configuration{Voters: []raft.Member{{ID: 1}}})
	r := newThreeVoterNode(g, 2, raft.Entry{Index: 2, Term: 2, Kind: raft.EntryConfig, Data: next})
	g.Expect(r.Status().Config.Voters).To(gomega.HaveLen(1))
	r.Step(raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 3, Index: 1, LogTerm: 1, Entries: []raft.Entry{{Index: 2, Term: 3}},
	})
	g.Expect(r.Status().Config.Voters).To(gomega.HaveLen(3))
}

// TestLeaderLease guards against a node that votes for another node while it
// still receives heartbeats of its leader.
func TestLeaderLease(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newThreeVoterNode(g, 2)
	r.Step(raft.Message{Kind: raft.MsgHeartbeat, From: 2, To: 1, Term: 2})
	drainReady(r)
	r.Step(raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 9})
	r.Step(raft.Message{Kind: raft.MsgPreVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 9})
	rd, _ := r.Ready()
	g.Expect(r.Status().Term).To(gomega.BeEquivalentTo(2))
	g.Expect(rd.Messages).To(gomega.HaveLen(1))
	g.Expect(rd.Messages[0].Reject).To(gomega.BeTrue())
}

// TestVoteSurvivesRestart guards against a node that votes twice in one term
// because it lost its first vote in a restart.
func TestVoteSurvivesRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newNode(g, raft.HardState{Term: 3, Vote: 2}, threeVoters)
	r.Step(raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 3, Index: 9, LogTerm: 2})
	rd, _ := r.Ready()
	g.Expect(rd.Messages).To(gomega.HaveLen(1))
	g.Expect(rd.Messages[0].Reject).To(gomega.BeTrue())
}

// TestNoEarlyMessageBeforeTermSynced guards against a single voter that sends
// entries before its term is synced. After a crash it would lead the same term
// again with different entries.
func TestNoEarlyMessageBeforeTermSynced(t *testing.T) {
	g := gomega.NewWithT(t)
	config := raft.Configuration{Voters: []raft.Member{{ID: 1}}, Learners: []raft.Member{{ID: 2}}}
	r := newNode(g, raft.HardState{Term: 3}, config)
	for range 5 {
		r.Tick()
	}
	rd, _ := r.Ready()
	g.Expect(rd.HardState.Term).To(gomega.BeEquivalentTo(4))
	g.Expect(rd.EarlyMessages).To(gomega.BeEmpty())
	g.Expect(rd.Messages).NotTo(gomega.BeEmpty())
}

// Guards against a log in memory that keeps hundreds of large entries for members that
// lag behind.
func TestKeptTailIsBoundedInBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	entries := []raft.Entry{}
	for index := uint64(2); index <= 21; index++ {
		entries = append(entries, raft.Entry{Index: index, Term: 1, Data: make([]byte, 100)})
	}
	r := newThreeVoterNode(g, 1, entries...)
	g.Expect(r.TailStart(20, 5, 1<<20)).To(gomega.BeEquivalentTo(15))
	g.Expect(r.TailStart(20, 500, 450)).To(gomega.BeEquivalentTo(17))
	g.Expect(r.TailStart(20, 500, 50)).To(gomega.BeEquivalentTo(20))
	g.Expect(r.TailStart(20, 500, 1<<20)).To(gomega.BeEquivalentTo(1))
}

// Guards against a leader that sends a large entry again with each heartbeat while the
// first copy is still on its way, and against one that never repeats a lost entry.
func TestLargeAppendIsNotRepeatedOnItsWay(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newThreeVoterNode(g, 1)
	elect(r, 1)
	ack := func(kind raft.MessageKind) {
		r.Step(raft.Message{Kind: kind, From: 2, To: 1, Term: 2, Index: 2})
	}
	ack(raft.MsgAppendReply)
	drainReady(r)
	const size = 20 * bytesPerTick
	_, _, err := r.Propose(make([]byte, size))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sentAt := []int{}
	for tick := range 200 {
		for range countAppends(r) {
			sentAt = append(sentAt, tick)
		}
		r.Tick()
		ack(raft.MsgHeartbeatReply)
	}
	g.Expect(len(sentAt)).To(gomega.BeNumerically("~", 4, 1), "sent at ticks %v", sentAt)
	g.Expect(sentAt[1] - sentAt[0]).To(gomega.BeNumerically(">=", 20))
}

// Guards against an append that overtakes a large one on another connection, so that the
// member rejects it and the leader sends the large one again.
func TestNothingOvertakesALargeAppend(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newThreeVoterNode(g, 1)
	elect(r, 1)
	r.Step(raft.Message{Kind: raft.MsgAppendReply, From: 2, To: 1, Term: 2, Index: 2})
	drainReady(r)
	appends := func(size int) (count int) {
		_, _, err := r.Propose(make([]byte, size))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return countAppends(r)
	}
	g.Expect(appends(1)).To(gomega.Equal(1))
	g.Expect(appends(20 * bytesPerTick)).To(gomega.Equal(1))
	g.Expect(appends(1)).To(gomega.BeZero())
	r.Step(raft.Message{Kind: raft.MsgAppendReply, From: 2, To: 1, Term: 2, Index: 4})
	g.Expect(countAppends(r)).To(gomega.Equal(1))
}

// countAppends returns the number of appends with entries to node 2 that are due.
func countAppends(r *raft.Raft) (count int) {
	for rd, hasWork := r.Ready(); hasWork; rd, hasWork = r.Ready() {
		for _, m := range append(rd.EarlyMessages, rd.Messages...) {
			if m.To == 2 && m.Kind == raft.MsgAppend && len(m.Entries) > 0 {
				count++
			}
		}
		r.Advance(rd)
	}
	return count
}
