package raft

import "slices"

// Config sets up a node.
type Config struct {
	ID ID
	// ElectionTicks without a message of a leader start an election; the real
	// number is drawn between it and its double.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats of a leader.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries of one message, but for a single larger one.
	MaxAppendBytes int
	// MaxInflight bounds the appends to one member without an answer.
	MaxInflight int
	// MaxUncommittedBytes bounds what a leader accepts beyond its commit index.
	MaxUncommittedBytes int
	// Rand returns a number in [0, n).
	Rand func(n int) int

	// HardState, Snapshot and Entries are what the node synced before. Snapshot
	// is required; its data stays with the caller, which has applied it.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Raft is one node. It is not safe for concurrent use.
type Raft struct {
	cfg  Config
	id   ID
	log  raftLog
	term uint64
	vote ID
	// saved is the hard state of the last Ready.
	saved HardState

	role    Role
	leader  ID
	configs []configAt

	electionElapsed  int
	heartbeatElapsed int
	timeout          int

	votes    map[ID]bool
	progress map[ID]*progress
	// transferee is the node that leadership is being transferred to.
	transferee ID
	// uncommitted counts the bytes beyond the commit index; only a leader knows it.
	uncommitted int

	reads    readQueue
	early    []Message
	messages []Message
	// install is a received snapshot that the I/O layer must write.
	install    *Snapshot
	readStates []ReadState
}

// New returns a node with what it synced before. Entries that do not follow the
// snapshot are ignored.
func New(cfg Config) (*Raft, error) {
	r := &Raft{cfg: cfg, id: cfg.ID, term: cfg.HardState.Term, vote: cfg.HardState.Vote}
	r.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	r.configs = []configAt{{cfg.Snapshot.Index, cfg.Snapshot.Config}}
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
	r.saved = HardState{Term: cfg.HardState.Term, Vote: r.vote, Commit: r.log.commit}
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
	if r.electionElapsed >= r.timeout && r.promotable() {
		r.campaign(PreCandidate, false)
	}
}

func (r *Raft) tickLeader() {
	r.heartbeatElapsed++
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
		r.heartbeat()
	}
}

// quorumActive reports whether a majority answered in the last period, and starts a new one.
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

// config returns the configuration in force: the newest in the log, committed or not.
func (r *Raft) config() *Configuration { return &r.configs[len(r.configs)-1].config }

// ConfigAt returns the configuration in force at an index that is not compacted.
func (r *Raft) ConfigAt(index uint64) Configuration {
	config := r.configs[0].config
	for _, c := range r.configs {
		if c.index <= index {
			config = c.config
		}
	}
	return config
}

// promotable reports whether the node may stand for election. A voter whose
// removal is in its log but not committed still may: it can be the only one
// whose log is long enough to win.
func (r *Raft) promotable() bool {
	if r.install != nil {
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
	if err := r.accepting(); err != nil {
		return 0, 0, err
	}
	if r.uncommitted > 0 && r.uncommitted+len(data) > r.cfg.MaxUncommittedBytes {
		return 0, 0, &BusyError{Reason: BusyBacklog}
	}
	return r.propose(EntryCommand, data)
}

func (r *Raft) accepting() error {
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
	r.uncommitted += entry.size()
	return entry.Index, entry.Term, nil
}

// ProposeChange starts one membership change. It takes effect at once on the
// leader and counts as done when its entry is committed.
func (r *Raft) ProposeChange(change Change) (index, term uint64, err error) {
	if err := r.accepting(); err != nil {
		return 0, 0, err
	}
	// A change before the leader's own first commit could leave two disjoint majorities.
	if !r.termOpened() {
		return 0, 0, &BusyError{Reason: BusyTerm}
	}
	if !r.ConfigCommitted() {
		return 0, 0, &BusyError{Reason: BusyChange}
	}
	next, err := r.config().apply(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == PromoteLearner && !r.caughtUp(change.Member.ID) {
		return 0, 0, &ChangeError{Change: change, Reason: "silent or too far behind"}
	}
	return r.propose(EntryConfig, EncodeConfiguration(next))
}

// maxPromoteLag is how many entries a learner may lack when it becomes a voter.
// One that lacks more could hold up every commit while it catches up.
const maxPromoteLag = 1024

// caughtUp reports whether a learner answers and holds almost the whole log. A
// silent learner that becomes a voter can cost a small group its majority.
func (r *Raft) caughtUp(id ID) bool {
	p := r.progress[id]
	return p != nil && (p.active || p.wasActive) && p.match > 0 && p.match+maxPromoteLag >= r.log.commit
}

// termOpened reports whether an entry of the present term is committed.
func (r *Raft) termOpened() bool {
	term, ok := r.log.term(r.log.commit)
	return ok && term == r.term
}

// appendEntry adds an entry at the end of the log and takes over a configuration in it.
func (r *Raft) appendEntry(e Entry) error {
	if e.Kind == EntryConfig {
		config, err := DecodeConfiguration(e.Data)
		if err != nil {
			return err
		}
		r.configs = append(r.configs, configAt{e.Index, config})
	}
	r.log.entries = append(r.log.entries, e)
	if e.Kind == EntryConfig && r.role == Leader {
		r.trackMembers()
	}
	return nil
}

// truncate removes the log from index on, and the configurations in it.
func (r *Raft) truncate(index uint64) {
	r.log.truncate(index)
	for len(r.configs) > 1 && r.configs[len(r.configs)-1].index >= index {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

// trackMembers makes the leader's progress match the configuration.
func (r *Raft) trackMembers() {
	members := r.config().Members()
	for _, m := range members {
		if r.progress[m.ID] == nil {
			r.progress[m.ID] = &progress{next: r.log.last() + 1, active: true}
		}
	}
	for id := range r.progress {
		// The leader keeps its own progress until the entry that removes it is committed.
		if id != r.id && indexOf(members, id) < 0 {
			delete(r.progress, id)
		}
	}
}

// Compact forgets the entries up to index. The caller has synced a snapshot
// at or after it.
func (r *Raft) Compact(index uint64) {
	if index <= r.log.offset {
		return
	}
	r.log.compact(index)
	for len(r.configs) > 1 && r.configs[1].index <= index {
		r.configs = r.configs[1:]
	}
}

// FirstIndex is the oldest index that the log still holds.
func (r *Raft) FirstIndex() uint64 { return r.log.offset + 1 }

// TermAt returns the term of the entry at index, if the log still holds it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Status returns a view of the node.
func (r *Raft) Status() Status {
	s := Status{
		ID: r.id, Role: r.role, Term: r.term, Leader: r.leader,
		Commit: r.log.commit, Applied: r.log.applied, Last: r.log.last(), Config: *r.config(),
	}
	if r.role == Leader {
		s.Match, s.Active = make(map[ID]uint64), make(map[ID]bool)
		for id, p := range r.progress {
			s.Match[id] = p.match
			s.Active[id] = id == r.id || p.active || p.wasActive
		}
	}
	return s
}

// Role returns role, term and known leader without allocating.
func (r *Raft) Role() (Role, uint64, ID) { return r.role, r.term, r.leader }

// ConfigCommitted reports whether the present configuration is committed.
func (r *Raft) ConfigCommitted() bool { return r.configs[len(r.configs)-1].index <= r.log.commit }

// Applied is the index up to which Advance confirmed that entries were applied.
func (r *Raft) Applied() uint64 { return r.log.applied }

// Address returns where a member of the present configuration is.
func (r *Raft) Address(id ID) (string, bool) {
	config := r.config()
	for _, list := range [][]Member{config.Voters, config.Learners} {
		if at := indexOf(list, id); at >= 0 {
			return list[at].Address, true
		}
	}
	return "", false
}

// peers returns the tracked members but the node itself, in a fixed order.
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
