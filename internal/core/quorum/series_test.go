package quorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/core/quorum"
	"github.com/boragelead/boragelead/internal/core/raft"
)

const (
	tick = 100 * time.Millisecond
	// checkPeriod is how long a leader counts a member as active after its last answer.
	checkPeriod = 700 * time.Millisecond
	// electionTime is the longest time without a leader, if a majority is there.
	electionTime = time.Second
	// joinTime is the longest time until a replica that starts, or that was removed and is back,
	// is a learner that holds the log.
	joinTime = 2 * time.Second
	// catchUpTime is the time for which a machine counts as lost after it is back or its
	// successor has started.
	catchUpTime = 4 * time.Second
)

// machine is a machine of the simulated group. Its replica has the same ID for good.
type machine struct {
	id raft.ID
	// downUntil is the end of a cut or a freeze. A machine that is gone never comes back.
	downUntil time.Duration
	gone      bool
	// lastAnswer is when the leader last heard of it; joinsAt is when it joins the group.
	lastAnswer, joinsAt time.Duration
}

func (m *machine) answers(now time.Duration) bool { return !m.gone && now >= m.downUntil }

// simulation plays a group whose leader applies the policy to what it observes.
type simulation struct {
	policy   quorum.Policy
	config   raft.Configuration
	machines []*machine
	now      time.Duration
	leader   raft.ID
	// noLeaderUntil is the end of the current election.
	noLeaderUntil time.Duration
	// lossesEnd holds when each machine that counts as lost no longer does.
	lossesEnd []time.Duration
}

func newSimulation(policy quorum.Policy, size int) *simulation {
	s := &simulation{policy: policy}
	for range size {
		m := s.add(0)
		list := &s.config.Voters
		if len(s.config.Voters) >= policy.Voters {
			list = &s.config.Learners
		}
		*list = append(*list, raft.Member{ID: m.id, Address: fmt.Sprint(m.id)})
	}
	s.leader = 1
	return s
}

func (s *simulation) add(joinsAt time.Duration) *machine {
	m := &machine{id: raft.ID(len(s.machines) + 1), joinsAt: joinsAt, lastAnswer: s.now}
	s.machines = append(s.machines, m)
	return m
}

func (s *simulation) machine(id raft.ID) *machine { return s.machines[id-1] }

// activeVoters counts the voters that answer now.
func (s *simulation) activeVoters() int {
	count := 0
	for _, m := range s.config.Voters {
		if s.machine(m.ID).answers(s.now) {
			count++
		}
	}
	return count
}

func (s *simulation) hasQuorum() bool { return s.activeVoters() >= s.config.Quorum() }

// step advances the time by one tick: replicas join, the leader changes if it is gone, and
// the leader proposes what the policy wants.
func (s *simulation) step() {
	s.now += tick
	if !s.machine(s.leader).answers(s.now) {
		s.elect()
	}
	if s.now < s.noLeaderUntil {
		return
	}
	if change, ok := s.policy.Next(s.status()); ok {
		s.apply(change)
		return
	}
	s.join()
}

func (s *simulation) elect() {
	for _, m := range s.config.Voters {
		if s.machine(m.ID).answers(s.now) {
			former := s.machine(s.leader)
			s.leader = m.ID
			s.noLeaderUntil = s.now + electionTime
			// A new leader knows only of the former one how long it has been silent.
			for _, other := range s.machines {
				if other != former {
					other.lastAnswer = s.noLeaderUntil
				}
			}
			return
		}
	}
}

func (s *simulation) status() *raft.Status {
	status := &raft.Status{
		ID: s.leader, Role: raft.Leader, Config: s.config, Match: map[raft.ID]uint64{}, Active: map[raft.ID]bool{},
		SilentTicks: map[raft.ID]int{},
	}
	for _, m := range s.machines {
		if m.answers(s.now) {
			m.lastAnswer = s.now
		}
		status.Active[m.id] = s.now-m.lastAnswer < checkPeriod
		if m.lastAnswer > s.noLeaderUntil {
			status.Match[m.id] = 1
		}
		status.SilentTicks[m.id] = int((s.now - m.lastAnswer) / tick)
	}
	return status
}

func (s *simulation) apply(change raft.Change) {
	isTarget := func(m raft.Member) bool { return m.ID == change.Member.ID }
	s.config.Voters, s.config.Learners = slices.Clone(s.config.Voters), slices.Clone(s.config.Learners)
	wasLearner := s.config.IsLearner(change.Member.ID)
	s.config.Voters = slices.DeleteFunc(s.config.Voters, isTarget)
	s.config.Learners = slices.DeleteFunc(s.config.Learners, isTarget)
	if change.Kind == raft.PromoteLearner && wasLearner {
		s.config.Voters = append(s.config.Voters, change.Member)
		return
	}
	if m := s.machine(change.Member.ID); !m.gone {
		m.joinsAt = max(s.now, m.downUntil) + joinTime
	}
}

// join adds one replica that is due and not a member.
func (s *simulation) join() {
	for _, m := range s.machines {
		_, member := s.config.Find(m.id)
		if !member && m.answers(s.now) && s.now >= m.joinsAt {
			s.config.Learners = append(slices.Clone(s.config.Learners), raft.Member{ID: m.id, Address: fmt.Sprint(m.id)})
			m.lastAnswer = s.now
			return
		}
	}
}

// lost returns how many machines count as lost.
func (s *simulation) lost() int {
	s.lossesEnd = slices.DeleteFunc(s.lossesEnd, func(end time.Duration) bool { return end <= s.now })
	return len(s.lossesEnd)
}

// lose takes one machine away: for good, with a successor that starts after a pause, or for
// some seconds.
func (s *simulation) lose(m *machine, forGood bool, pause time.Duration) {
	if forGood {
		m.gone = true
		s.add(s.now + pause + joinTime).downUntil = s.now + pause
	} else {
		m.downUntil = s.now + pause
	}
	s.lossesEnd = append(s.lossesEnd, s.now+pause+catchUpTime)
}

// TestSeriesOfAllowedLosses guards against a group that is left without a majority, or with
// fewer copies than disks that may be lost, although machines were lost only as allowed:
// some at once, the next as soon as the ones before have caught up.
func TestSeriesOfAllowedLosses(t *testing.T) {
	for _, c := range []struct{ size, losses int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 2}, {8, 2}, {9, 3}} {
		t.Run(fmt.Sprintf("%d replicas, %d lost", c.size, c.losses), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { playLosses(rt, c.size, c.losses) })
		})
	}
}

func playLosses(rt *rapid.T, size, losses int) {
	s := newSimulation(quorum.Policy{
		Voters: max(5, 2*losses+1), Losses: losses, VoterTicks: voterTicks, LearnerTicks: learnerTicks,
	}, size)
	for series := rapid.IntRange(1, 3*size).Draw(rt, "series"); series > 0; {
		for s.lost() < losses && series > 0 && rapid.IntRange(0, 3).Draw(rt, "lose") > 0 {
			series--
			present := slices.DeleteFunc(slices.Clone(s.machines), func(m *machine) bool { return !m.answers(s.now) })
			victim := rapid.SampledFrom(present).Draw(rt, "victim")
			if rapid.Bool().Draw(rt, "leader") {
				victim = s.machine(s.leader)
			}
			if !victim.answers(s.now) {
				continue
			}
			forGood := rapid.IntRange(0, 3).Draw(rt, "for good") > 0
			s.lose(victim, forGood, time.Duration(rapid.IntRange(5, 60).Draw(rt, "pause"))*tick)
			if !s.hasQuorum() {
				rt.Fatalf("at %v: %d of %d voters answer", s.now, s.activeVoters(), len(s.config.Voters))
			}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "ticks") {
			s.step()
			if copies := s.config.Quorum(); copies <= losses {
				rt.Fatalf("at %v: %d copies of %d voters", s.now, copies, len(s.config.Voters))
			}
			if !s.hasQuorum() {
				rt.Fatalf("at %v: %d of %d voters answer", s.now, s.activeVoters(), len(s.config.Voters))
			}
		}
	}
}
