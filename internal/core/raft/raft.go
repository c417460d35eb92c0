package raft

import "slices"

// Config configures a node.
type Config struct {
	ID ID
	// ElectionTicks is the minimum number of ticks without a message of a leader
	// after which a node starts an election. The actual number is drawn at random
	// from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats of a leader.
	HeartbeatTicks int
	// MaxAppendBytes bounds the size of the entries in one message. A single larger entry is still sent.
	MaxAppendBytes int
	// AppendBytesPerTick is the least rate at which an append reaches the log of a
	// member. The leader takes an append for lost only after the time that it needs at
	// this rate, since copies of a large entry would delay each other. 0 means that
	// only heartbeats count.
	AppendBytesPerTick int
	// MaxInflight bounds the unacknowledged appends to one member.
	MaxInflight int
	// MaxUncommittedBytes bounds the size of the entries after the commit index that a leader accepts.
	MaxUncommittedBytes int
	// Rand returns a number in [0, n).
	Rand func(n int) int

	// HardState, Snapshot and Entries are what the node synced before it was
	// restarted. Snapshot is required. Its data is not used here, because the
	// caller has already applied it.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Raft is the state machine of one node. It is not safe for concurrent use.
type Raft struct {
	cfg  Config
	id   ID
	log  raftLog
	term uint64
	vote ID
	// persistedState is the last hard state that is known to be synced.
	persistedState HardState

	role    Role
	leader  ID
	configs []indexedConfig

	// lastLeader is the last other node that this node followed, and leaderSilentTicks the
	// ticks since its last message.
	lastLeader        ID
	leaderSilentTicks int

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int

	votes    map[ID]bool
	progress map[ID]*progress
	// transferee is the node that leadership is being transferred to.
	transferee ID
	// uncommittedBytes is the size of the entries after the commit index. Only a leader maintains it.
	uncommittedBytes int

	reads    readQueue
	early    []Message
	messages []Message
	// pendingSnapshot is a received snapshot that the I/O layer has not written yet.
	pendingSnapshot *Snapshot
	readStates      []ReadState
}

// New returns a node with the state that it synced before. Entries that do not
// follow the snapshot without a gap are ignored.
func New(cfg Config) (*Raft, error) {
	r := &Raft{cfg: cfg, id: cfg.ID, term: cfg.HardState.Term, vote: cfg.HardState.Vote}
	r.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	r.configs = []indexedConfig{{cfg.Snapshot.Index, cfg.Snapshot.Config}}
	for i := range cfg.Entries {
		if cfg.Entries[i].Index != r.log.last()+1 {
			continue
		}
		if err := r.appendEntry(cfg.Entries[i]); err != nil {
			return nil, err
		}
	}
	r.log.stable = r.log.last()
	r.log.commit = max(r.log.commit, min(cfg.HardState.Commit, r.log.last()))
	r.term = max(r.term, r.log.lastTerm())
	r.persistedState = HardState{Term: cfg.HardState.Term, Vote: r.vote, Commit: r.log.commit}
	r.becomeFollower(r.term, 0)
	return r, nil
}

// Tick advances the logical clock by one tick.
func (r *Raft) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	r.leaderSilentTicks++
	if r.electionElapsed >= r.electionTimeout && r.promotable() {
		r.campaign(PreCandidate, false)
	}
}

func (r *Raft) tickLeader() {
	r.heartbeatElapsed++
	for _, p := range r.progress {
		p.silentTicks++
	}
	if r.electionElapsed >= r.cfg.ElectionTicks {
		r.electionElapsed = 0
		r.transferee = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, 0)
			return
		}
	}
	if r.heartbeatElapsed >= r.cfg.HeartbeatTicks {
		r.heartbeatElapsed = 0
		r.broadcastHeartbeat()
	}
}

// quorumActive reports whether a majority of the voters replied in the current
// check period, and starts the next period.
func (r *Raft) quorumActive() bool {
	config := r.config()
	count := 0
	for id, p := range r.progress {
		if config.IsVoter(id) && (p.active || id == r.id) {
			count++
		}
		p.wasActive, p.active = p.active, false
	}
	return count >= config.Quorum()
}

// config returns the configuration in force: the newest one in the log, whether committed or not.
func (r *Raft) config() *Configuration { return &r.configs[len(r.configs)-1].config }

// ConfigAt returns the configuration in force at an index that has not been compacted.
func (r *Raft) ConfigAt(index uint64) Configuration {
	config := r.configs[0].config
	for _, c := range r.configs {
		if c.index <= index {
			config = c.config
		}
	}
	return config
}

// promotable reports whether the node may become a candidate. A voter whose
// removal is in its log but not committed still may, because it can be the only
// node whose log is up to date enough to win.
func (r *Raft) promotable() bool {
	if r.pendingSnapshot != nil {
		return false
	}
	if r.config().IsVoter(r.id) {
		return true
	}
	committed := r.ConfigAt(r.log.commit)
	return committed.IsVoter(r.id)
}

// Propose appends a command to the log of the leader and returns its index and term.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if err := r.checkAcceptsProposals(); err != nil {
		return 0, 0, err
	}
	if r.uncommittedBytes > 0 && r.uncommittedBytes+len(data) > r.cfg.MaxUncommittedBytes {
		return 0, 0, &BusyError{Reason: BusyBacklog}
	}
	return r.propose(EntryCommand, data)
}

func (r *Raft) checkAcceptsProposals() error {
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	if r.transferee != 0 {
		return &BusyError{Reason: BusyTransfer}
	}
	return nil
}

func (r *Raft) propose(kind EntryKind, data []byte) (index, term uint64, err error) {
	entry := Entry{Index: r.log.last() + 1, Term: r.term, Kind: kind, Data: data}
	if err := r.appendEntry(entry); err != nil {
		return 0, 0, err
	}
	r.uncommittedBytes += entry.size()
	return entry.Index, entry.Term, nil
}

// ProposeChange starts one membership change. The change takes effect on the
// leader at once and is complete when its entry is committed.
func (r *Raft) ProposeChange(change Change) (index, term uint64, err error) {
	if err := r.checkAcceptsProposals(); err != nil {
		return 0, 0, err
	}
	// A change proposed before the leader has committed an entry of its own term
	// could lead to two disjoint majorities.
	if !r.committedInTerm() {
		return 0, 0, &BusyError{Reason: BusyNoCommitInTerm}
	}
	if !r.ConfigCommitted() {
		return 0, 0, &BusyError{Reason: BusyChange}
	}
	next, err := r.config().apply(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == PromoteLearner && !r.caughtUp(change.Member.ID) {
		return 0, 0, &ChangeError{Change: change, Reason: "the learner does not reply or its log is too far behind"}
	}
	return r.propose(EntryConfig, EncodeConfiguration(next))
}

// maxPromoteLag is the number of entries that a learner may lack when it becomes
// a voter. A learner that lacks more could delay every commit until it has
// caught up.
const maxPromoteLag = 1024

// caughtUp reports whether a learner replies and lacks at most maxPromoteLag
// committed entries. If a learner that does not reply became a voter, a small
// group could lose its majority.
func (r *Raft) caughtUp(id ID) bool {
	p := r.progress[id]
	return p != nil && (p.active || p.wasActive) && p.match > 0 && p.match+maxPromoteLag >= r.log.commit
}

// committedInTerm reports whether an entry of the current term is committed.
func (r *Raft) committedInTerm() bool {
	term, ok := r.log.term(r.log.commit)
	return ok && term == r.term
}

// appendEntry appends an entry to the log. A configuration in it takes effect at once.
func (r *Raft) appendEntry(e Entry) error {
	if e.Kind == EntryConfig {
		config, err := DecodeConfiguration(e.Data)
		if err != nil {
			return err
		}
		r.configs = append(r.configs, indexedConfig{e.Index, config})
	}
	r.log.entries = append(r.log.entries, e)
	if e.Kind == EntryConfig && r.role == Leader {
		r.trackMembers()
	}
	return nil
}

// truncate removes the entries from index on, together with their configurations.
func (r *Raft) truncate(index uint64) {
	r.log.truncate(index)
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index >= index {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

// trackMembers adds and removes progress records so that they match the members
// of the current configuration.
func (r *Raft) trackMembers() {
	members := r.config().Members()
	for _, m := range members {
		if r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: r.log.last() + 1, active: true}
		}
	}
	for id := range r.progress {
		// The leader keeps its own progress until the entry that removes it is committed.
		if id != r.id && memberIndex(members, id) < 0 {
			delete(r.progress, id)
		}
	}
}

// Compact removes the entries up to index. The caller must have synced a
// snapshot at or after index.
func (r *Raft) Compact(index uint64) {
	if index <= r.log.offset {
		return
	}
	r.log.compact(index)
	for len(r.configs) > 1 && r.configs[1].index <= index {
		r.configs = r.configs[1:]
	}
}

// TailStart returns the index before the newest applied entries up to an index: at most
// maxEntries of them, and at most maxBytes.
func (r *Raft) TailStart(index, maxEntries uint64, maxBytes int) uint64 {
	start, size := index, 0
	for start > r.log.offset && index-start < maxEntries {
		size += r.log.entries[start-r.log.offset-1].size()
		if size > maxBytes {
			break
		}
		start--
	}
	return start
}

// FirstIndex returns the index of the oldest entry that the log still contains.
func (r *Raft) FirstIndex() uint64 { return r.log.offset + 1 }

// TermAt returns the term of the entry at index, or false when the log no longer contains it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Status returns a copy of the node's state for inspection.
func (r *Raft) Status() Status {
	s := Status{
		ID: r.id, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.log.commit, Applied: r.log.applied, Last: r.log.last(), Config: *r.config(),
	}
	if r.role == Leader {
		s.Match, s.Active, s.SilentTicks = make(map[ID]uint64), make(map[ID]bool), make(map[ID]int)
		for id, p := range r.progress {
			s.Match[id] = p.match
			s.Active[id] = id == r.id || p.active || p.wasActive
			if id != r.id {
				s.SilentTicks[id] = p.silentTicks
			}
		}
	}
	return s
}

// Role returns the role, the term and the known leader. It does not allocate.
func (r *Raft) Role() (Role, uint64, ID) { return r.role, r.term, r.leader }

// ConfigCommitted reports whether the current configuration is committed.
func (r *Raft) ConfigCommitted() bool { return r.configs[len(r.configs)-1].index <= r.log.commit }

// Applied returns the index up to which the caller confirmed with Advance that it applied entries.
func (r *Raft) Applied() uint64 { return r.log.applied }

// Address returns the address of a member of the current configuration.
func (r *Raft) Address(id ID) (string, bool) {
	config := r.config()
	for _, list := range [][]Member{config.Voters, config.Learners} {
		if at := memberIndex(list, id); at >= 0 {
			return list[at].Address, true
		}
	}
	return "", false
}

// peers returns the tracked members except the node itself, ordered by ID.
func (r *Raft) peers() []ID {
	ids := make([]ID, 0, len(r.progress))
	for id := range r.progress {
		if id != r.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
