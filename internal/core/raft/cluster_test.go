package raft_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
)

// disk is the state that a node has synced.
type disk struct {
	hard    raft.HardState
	snap    raft.Snapshot
	entries []raft.Entry
}

func (d *disk) write(rd raft.Ready) {
	if rd.Snapshot != nil {
		d.snap, d.entries = *rd.Snapshot, nil
	}
	if rd.HardState != nil {
		d.hard = *rd.HardState
	}
	for _, e := range rd.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= e.Index {
			d.entries = d.entries[: len(d.entries)-1 : len(d.entries)-1]
		}
		d.entries = append(d.entries, e)
	}
}

type node struct {
	id    raft.ID
	disk  disk
	raft  *raft.Raft
	state *ledger.State
	// checkedTerm is the last term for which checkLeader checked this node.
	checkedTerm uint64
	// reads maps contexts to the commit index that the read must observe.
	reads map[uint64]uint64
}

type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync
)

type violation struct{ text string }

// cluster runs nodes over a simulated network that drops, duplicates and reorders messages.
type cluster struct {
	nodes   []*node
	network []raft.Message
	// blocked holds directed links between positions of nodes.
	blocked map[[2]int]bool
	lost    map[raft.ID]bool
	nextID  raft.ID
	random  *rand.Rand

	leaders     map[uint64]raft.ID
	committed   []raft.Entry
	model       *ledgerModel
	outcomes    []ledger.Outcome
	lastContext uint64
	// crashOneIn is the average number of deliveries per crash of a receiver; 0 means no crashes.
	crashOneIn int
	// These counters show that the schedules reach the corresponding events.
	elections, snapshots, reads, changes int
}

func fail(format string, args ...any) { panic(violation{fmt.Sprintf(format, args...)}) }

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		blocked: map[[2]int]bool{}, lost: map[raft.ID]bool{}, leaders: map[uint64]raft.ID{},
		random: rand.New(rand.NewPCG(seed, 1)), model: newLedgerModel(),
	}
	c.crashOneIn = []int{0, 60, 20, 8}[c.random.IntN(4)]
	// Every initial voter starts from a snapshot at index 1.
	c.committed = make([]raft.Entry, 2)
	c.outcomes = make([]ledger.Outcome, 2)
	var config raft.Configuration
	for range size {
		c.nextID++
		config.Voters = append(config.Voters, raft.Member{ID: c.nextID})
	}
	for _, m := range config.Voters {
		n := &node{id: m.ID}
		n.disk.hard.Term = 1
		n.disk.snap = raft.Snapshot{Index: 1, Term: 1, Config: config}
		c.nodes = append(c.nodes, n)
		c.start(n)
	}
	return c
}

func (c *cluster) start(n *node) {
	r, err := raft.New(raft.Config{
		ID: n.id, ElectionTicks: 6, HeartbeatTicks: 2, MaxAppendBytes: 300, MaxInflight: 4,
		MaxUncommittedBytes: 4000, Rand: c.random.IntN,
		HardState: n.disk.hard, Snapshot: n.disk.snap, Entries: n.disk.entries,
	})
	if err != nil {
		fail("start node: %v", err)
	}
	n.raft, n.state, n.reads = r, ledger.New(), map[uint64]uint64{}
	if err := n.state.Restore(n.disk.snap.Data); err != nil {
		fail("restore the state from the disk: %v", err)
	}
}

// addNode starts a node with an empty disk and a new ID. It replaces the node at
// the given position, if there is one.
func (c *cluster) addNode(at int) {
	c.nextID++
	n := &node{id: c.nextID}
	if at < len(c.nodes) {
		c.lost[c.nodes[at].id] = true
		c.nodes[at] = n
	} else {
		c.nodes = append(c.nodes, n)
	}
	c.start(n)
}

func (c *cluster) position(id raft.ID) int {
	for i, n := range c.nodes {
		if n.id == id {
			return i
		}
	}
	return -1
}

func (c *cluster) enqueue(messages []raft.Message, n *node) {
	for _, m := range messages {
		if m.Kind == raft.MsgSnapshot {
			snap := n.disk.snap
			m.Snapshot = &snap
		}
		c.network = append(c.network, m)
	}
}

// deliver delivers the message at a position of the network, and removes it
// unless repeat is set.
func (c *cluster) deliver(at int, repeat, drop bool) {
	m := c.network[at]
	if !repeat {
		c.network[at] = c.network[len(c.network)-1]
		c.network = c.network[:len(c.network)-1]
	}
	from, to := c.position(m.From), c.position(m.To)
	if drop || to < 0 || c.blocked[[2]int{from, to}] || c.nodes[to].raft == nil {
		return
	}
	c.nodes[to].raft.Step(m)
	c.process(c.nodes[to], c.drawCrash())
	if c.nodes[to].raft == nil {
		c.start(c.nodes[to])
	}
}

// drawCrash decides whether a node crashes while it processes a message. The node
// restarts at once, which exposes a vote or an acknowledgement that was sent
// before it was synced.
func (c *cluster) drawCrash() crashPoint {
	if c.crashOneIn == 0 || c.random.IntN(c.crashOneIn) > 0 {
		return noCrash
	}
	return crashPoint(1 + c.random.IntN(2))
}

func (c *cluster) process(n *node, crash crashPoint) {
	for n.raft != nil {
		c.checkLeader(n)
		rd, hasWork := n.raft.Ready()
		if !hasWork {
			return
		}
		c.enqueue(rd.EarlyMessages, n)
		if crash == beforeSync {
			n.raft = nil
			return
		}
		n.disk.write(rd)
		if crash == afterSync {
			n.raft = nil
			return
		}
		c.enqueue(rd.Messages, n)
		c.apply(n, rd)
		n.raft.Advance(rd)
		c.answerReads(n, rd.Reads)
	}
}

func (c *cluster) apply(n *node, rd raft.Ready) {
	if rd.Snapshot != nil {
		c.snapshots++
		if err := n.state.Restore(rd.Snapshot.Data); err != nil {
			fail("restore the state from a received snapshot: %v", err)
		}
	}
	for _, e := range rd.Committed {
		c.checkCommitted(n, e)
		outcome := ledger.Outcome{}
		if e.Kind == raft.EntryCommand {
			outcome = n.state.Apply(e.Index, e.Data)
		}
		if e.Index == uint64(len(c.outcomes)) {
			c.outcomes = append(c.outcomes, outcome)
			c.model.check(e, outcome)
		} else if !sameOutcome(c.outcomes[e.Index], outcome) {
			fail("node %d computed a different outcome at index %d", n.id, e.Index)
		}
	}
}

// checkCommitted checks state machine safety: all nodes commit the same entry at an index.
func (c *cluster) checkCommitted(n *node, e raft.Entry) {
	if e.Index > uint64(len(c.committed)) {
		fail("node %d skips committed entries before index %d", n.id, e.Index)
	}
	if e.Index == uint64(len(c.committed)) {
		c.committed = append(c.committed, e)
		return
	}
	known := c.committed[e.Index]
	if known.Term != e.Term || !bytes.Equal(known.Data, e.Data) {
		fail("index %d is committed with an entry of term %d and with another of term %d", e.Index, known.Term, e.Term)
	}
}

// checkLeader checks election safety and leader completeness.
func (c *cluster) checkLeader(n *node) {
	role, term, _ := n.raft.Role()
	if role != raft.Leader || n.checkedTerm == term {
		return
	}
	if other, ok := c.leaders[term]; ok && other != n.id {
		fail("term %d has two leaders, %d and %d", term, other, n.id)
	}
	c.leaders[term], n.checkedTerm = n.id, term
	c.elections++
	for i := n.raft.FirstIndex(); i < uint64(len(c.committed)); i++ {
		own, ok := n.raft.TermAt(i)
		if c.committed[i].Term < term && (!ok || own != c.committed[i].Term) {
			fail("leader %d of term %d lacks committed index %d", n.id, term, i)
		}
	}
}

// checkLogs checks the log matching property for the synced logs of all nodes.
func (c *cluster) checkLogs() {
	for i, a := range c.nodes {
		for _, b := range c.nodes[:i] {
			agree := false
			for x, y := len(a.disk.entries)-1, len(b.disk.entries)-1; x >= 0 && y >= 0; {
				ea, eb := a.disk.entries[x], b.disk.entries[y]
				switch {
				case ea.Index > eb.Index:
					x--
					continue
				case eb.Index > ea.Index:
					y--
					continue
				}
				same := ea.Term == eb.Term && bytes.Equal(ea.Data, eb.Data)
				if !same && (agree || ea.Term == eb.Term) {
					fail("the logs of %d and %d differ at index %d although the terms are equal or a later entry matches", a.id, b.id, ea.Index)
				}
				agree = agree || same
				x, y = x-1, y-1
			}
		}
	}
}

func (c *cluster) read(n *node) {
	c.lastContext++
	if n.raft.ReadIndex(c.lastContext) == nil {
		n.reads[c.lastContext] = uint64(len(c.committed)) - 1
	}
}

// answerReads checks that reads are linearizable: a read observes every entry
// that was committed before the read was requested.
func (c *cluster) answerReads(n *node, states []raft.ReadState) {
	for _, s := range states {
		for _, context := range s.Contexts {
			if want := n.reads[context]; s.Index < want {
				fail("node %d serves a read at index %d, but index %d was committed before the read", n.id, s.Index, want)
			}
			c.reads++
		}
	}
}

// compact takes a snapshot and compacts the log up to a few entries before it.
func (c *cluster) compact(n *node) {
	s := n.raft.Status()
	term, ok := n.raft.TermAt(s.Applied)
	if !ok || s.Applied <= n.disk.snap.Index {
		return
	}
	n.disk.snap = raft.Snapshot{
		Index: s.Applied, Term: term, Config: n.raft.ConfigAt(s.Applied), Data: n.state.Snapshot(),
	}
	keep := s.Applied - min(uint64(c.random.IntN(3)), s.Applied-1)
	for len(n.disk.entries) > 0 && n.disk.entries[0].Index <= s.Applied {
		n.disk.entries = n.disk.entries[1:]
	}
	n.raft.Compact(keep)
}

// canLoseDisk reports whether every configuration that may be in force still has
// a majority of voters with intact disks if the disk of this node is lost.
func (c *cluster) canLoseDisk(id raft.ID) bool {
	for _, n := range c.nodes {
		if n.raft == nil {
			return false
		}
		config := n.raft.Status().Config
		left := 0
		for _, m := range config.Voters {
			if m.ID != id && !c.lost[m.ID] {
				left++
			}
		}
		if len(config.Voters) > 0 && left < config.Quorum() {
			return false
		}
	}
	return true
}

// checkRecovery ends all faults and checks that the cluster commits entries again.
func (c *cluster) checkRecovery() {
	c.crashOneIn = 0
	c.blocked = map[[2]int]bool{}
	for _, n := range c.nodes {
		if n.raft == nil {
			c.start(n)
		}
	}
	before := len(c.committed)
	for round := range 400 {
		for _, n := range c.nodes {
			n.raft.Tick()
			if role, _, _ := n.raft.Role(); role == raft.Leader && round%4 == 0 {
				_, _, _ = n.raft.Propose(nil)
			}
			c.process(n, noCrash)
		}
		for range 400 {
			if len(c.network) == 0 {
				break
			}
			c.deliver(0, false, false)
		}
		if len(c.committed) > before+2 {
			return
		}
	}
	text := "no progress after all faults ended"
	for _, n := range c.nodes {
		text += fmt.Sprintf("\n%+v snapshot %d lost %v", n.raft.Status(), n.disk.snap.Index, c.lost)
	}
	fail("%s", text)
}
