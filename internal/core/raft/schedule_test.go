package raft_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
)

// schedulesVariable is the environment variable that sets the number of schedules.
const schedulesVariable = "BORAGELEAD_SCHEDULES"

// shards is the number of subtests that run in parallel. All draw the same
// numbers and derive different schedules from them.
const shards = 4

// TestMain sets the default seed and number of schedules, so that each run tests
// the same schedules.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	schedules := 2000
	if count, err := strconv.Atoi(os.Getenv(schedulesVariable)); err == nil {
		schedules = count
	}
	defaults := map[string]string{
		"rapid.seed": "20261204", "rapid.checks": strconv.Itoa(schedules / shards), "rapid.nofailfile": "true",
	}
	for name, value := range defaults {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestSchedules runs clusters through random schedules of faults. It guards
// against two leaders in one term, diverging logs, lost or changed committed
// entries, stale reads, and ledger commands that are applied twice, lost or undone.
func TestSchedules(t *testing.T) {
	var elections, snapshots, reads, committed, changes atomic.Int64
	t.Run("shards", func(t *testing.T) {
		for shard := range uint64(shards) {
			t.Run(strconv.FormatUint(shard, 10), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(rt *rapid.T) {
					size := rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(rt, "size")
					c := newCluster(size, rapid.Uint64().Draw(rt, "seed")+shard)
					steps := rapid.SliceOfN(rapid.Uint32(), 300, 600).Draw(rt, "steps")
					if problem := c.run(steps, shard); problem != "" {
						rt.Fatal(problem)
					}
					elections.Add(int64(c.elections))
					snapshots.Add(int64(c.snapshots))
					reads.Add(int64(c.reads))
					changes.Add(int64(c.changes))
					committed.Add(int64(len(c.committed)))
				})
			})
		}
	})
	t.Logf("elections %d, snapshots installed %d, reads %d, entries committed %d, membership changes %d",
		elections.Load(), snapshots.Load(), reads.Load(), committed.Load(), changes.Load())
	g := gomega.NewWithT(t)
	// Schedules that rarely reach these events would test nothing.
	for _, count := range []*atomic.Int64{&elections, &snapshots, &reads, &changes} {
		g.Expect(count.Load()).To(gomega.BeNumerically(">", 100))
	}
}

func (c *cluster) run(steps []uint32, shard uint64) (problem string) {
	defer func() {
		switch p := recover().(type) {
		case nil:
		case violation:
			problem = p.text
		case *raft.InvariantError:
			problem = p.Error()
		default:
			panic(p)
		}
	}()
	for i, step := range steps {
		// rapid prefers small numbers. Hashing them makes all actions equally likely.
		mixed := (uint64(step) + shard<<40 + uint64(i)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
		mixed = (mixed ^ mixed>>29) * 0x94d049bb133111eb
		c.step(uint32(mixed>>57), uint32(mixed>>20)&0xffffff)
		if i%64 == 0 {
			c.checkLogs()
		}
	}
	c.checkRecovery()
	c.checkLogs()
	return ""
}

// step performs one action. The argument selects nodes, messages and links.
func (c *cluster) step(action, arg uint32) {
	at := int(arg) % len(c.nodes)
	n := c.nodes[at]
	switch {
	case action < 40:
		for range 1 + arg%8 {
			if len(c.network) > 0 {
				pick := c.random.IntN(min(len(c.network), 12))
				c.deliver(pick, c.random.IntN(12) == 0, c.random.IntN(12) == 0)
			}
		}
	case action < 62:
		c.tick(arg)
	case action < 70:
		c.runIsolated(arg)
	case action < 90:
		c.propose(arg)
	case action < 92:
		for _, other := range c.nodes {
			if other.raft != nil {
				c.read(other)
				c.process(other, noCrash)
			}
		}
	case action < 97:
		if n.raft != nil {
			n.raft.Tick()
			_, _, _ = n.raft.Propose(c.command(arg))
			c.process(n, crashPoint(1+arg%2))
			n.raft = nil
			if arg/2%2 == 0 {
				c.start(n)
			}
		}
	case action < 104:
		for _, other := range c.nodes {
			if other.raft == nil {
				c.start(other)
				break
			}
		}
	case action < 108:
		c.partition(at, arg)
	case action < 112:
		c.blocked = map[[2]int]bool{}
	case action < 115:
		if n.raft != nil {
			c.compact(n)
		}
	case action < 117:
		if len(c.lost) < 3 && c.canLoseDisk(n.id) {
			c.addNode(at)
		}
	case action < 122:
		c.change(arg)
	default:
		if leader := c.leader(); leader != nil {
			_ = leader.raft.TransferLeadership(n.id)
			c.process(leader, noCrash)
		}
	}
}

// leader returns the node that leads the highest term.
func (c *cluster) leader() *node {
	var best *node
	var bestTerm uint64
	for _, n := range c.nodes {
		if n.raft == nil {
			continue
		}
		if role, term, _ := n.raft.Role(); role == raft.Leader && term > bestTerm {
			best, bestTerm = n, term
		}
	}
	return best
}

func (c *cluster) tick(arg uint32) {
	for i, n := range c.nodes {
		// In some ticks one node does not advance, like a paused VM.
		if n.raft == nil || arg%4 == 0 && i == int(arg/4)%len(c.nodes) {
			continue
		}
		n.raft.Tick()
		c.process(n, noCrash)
	}
}

// runIsolated runs a few nodes and drops all messages from and to the others. It
// produces partially replicated logs and leaders with entries of many terms.
func (c *cluster) runIsolated(arg uint32) {
	inside := func(id raft.ID) bool {
		at := c.position(id)
		return at >= 0 && arg>>at&1 == 1 && c.nodes[at].raft != nil
	}
	for round := range arg >> 8 % 24 {
		for _, n := range c.nodes {
			if !inside(n.id) {
				continue
			}
			n.raft.Tick()
			if c.random.IntN(4) == 0 {
				_, _, _ = n.raft.Propose(c.command(arg + round))
			}
			c.process(n, noCrash)
		}
		for i := 0; i < 60 && len(c.network) > 0 && c.random.IntN(40) > 0; i++ {
			c.deliver(0, false, !inside(c.network[0].From) || !inside(c.network[0].To))
		}
	}
	c.network = nil
}

// partition blocks the links of one node: in both directions, or only outgoing
// or only incoming ones.
func (c *cluster) partition(at int, arg uint32) {
	if leader := c.leader(); leader != nil && arg%2 == 0 {
		at = c.position(leader.id)
	}
	for other := range c.nodes {
		if arg%3 != 1 {
			c.blocked[[2]int{at, other}] = true
		}
		if arg%3 != 2 {
			c.blocked[[2]int{other, at}] = true
		}
	}
}

// propose proposes commands on every node. Nodes that consider themselves leader,
// including deposed ones, accept them.
func (c *cluster) propose(arg uint32) {
	for _, n := range c.nodes {
		if n.raft == nil {
			continue
		}
		for i := range 1 + arg%3 {
			_, _, _ = n.raft.Propose(c.command(arg>>3 + i))
		}
		c.process(n, noCrash)
	}
}

// command returns a command with one of a few IDs, so that resends, races and
// reuse of IDs are frequent.
func (c *cluster) command(arg uint32) []byte {
	id := arg / 8 % 6
	owner, incarnation := fmt.Sprintf("o%d", arg/8%2), uint64(arg/64%3)
	key, attempt := fmt.Sprintf("k%d", arg/16%4), fmt.Sprintf("a%d", arg/128%5)
	command := &ledger.Command{}
	switch arg % 8 {
	case 0, 1:
		command.Promote = &port.PromoteRequest{
			OperationID: fmt.Sprintf("op%d", arg/8%24), Expect: uint64(arg / 8 % 24 / 4), Document: []byte{byte(id)},
		}
	case 2, 3:
		command.Claim = &port.ClaimRequest{
			Key: key, Attempt: attempt, Owner: owner, Incarnation: incarnation, BodyHash: fmt.Sprint(arg / 512 % 8 / 7),
		}
	case 4, 5:
		command.Complete = &port.CompleteRequest{Key: key, Attempt: attempt, Result: port.CallResult{
			Status: 200, Released: arg/1024%3 == 1, Unknown: arg/1024%3 == 2,
		}}
	case 6:
		command.Gone = &ledger.OwnerGone{Owner: owner, Incarnation: incarnation}
	default:
		command.Lease = &ledger.LeaseRequest{Name: "l", Holder: owner, TTL: 5, Elapsed: 2}
	}
	data, err := command.Encode()
	if err != nil {
		fail("encode command: %v", err)
	}
	return data
}

// change adjusts the membership as an operator would: it adds new nodes, promotes
// learners that have caught up and removes lost nodes. Sometimes it removes a
// random node.
func (c *cluster) change(arg uint32) {
	leader := c.leader()
	if leader == nil {
		return
	}
	s := leader.raft.Status()
	if len(c.nodes) < 5 && arg%16 == 0 {
		c.addNode(len(c.nodes))
	}
	for _, n := range c.nodes {
		if _, member := s.Config.Find(n.id); !member {
			c.proposeChange(leader, raft.AddLearner, n.id)
		}
	}
	for _, m := range s.Config.Learners {
		if s.Match[m.ID]+4 > s.Last && !c.lost[m.ID] {
			c.proposeChange(leader, raft.PromoteLearner, m.ID)
		}
	}
	for _, m := range s.Config.Members() {
		if c.lost[m.ID] {
			c.proposeChange(leader, raft.RemoveMember, m.ID)
		}
	}
	if n := c.nodes[int(arg)%len(c.nodes)]; arg%8 == 1 && len(s.Config.Voters) > 3 {
		c.proposeChange(leader, raft.RemoveMember, n.id)
	}
	c.process(leader, noCrash)
}

func (c *cluster) proposeChange(leader *node, kind raft.ChangeKind, id raft.ID) {
	if _, _, err := leader.raft.ProposeChange(raft.Change{Kind: kind, Member: raft.Member{ID: id}}); err == nil {
		c.changes++
	}
}
