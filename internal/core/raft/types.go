package raft

// ID is the identity of a node. It is random and belongs to one data folder; 0 means none.
type ID uint64

// EntryKind tells what a log entry holds.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand holds a command of the state machine; empty data opens a term.
	EntryCommand EntryKind = iota
	// EntryConfig holds a Configuration, encoded by EncodeConfiguration.
	EntryConfig
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k,omitempty"`
	Data  []byte    `json:"d,omitempty"`
}

// entryOverhead is the assumed size of an entry without its data, in bytes.
const entryOverhead = 32

func (e *Entry) size() int { return len(e.Data) + entryOverhead }

// HardState is what a node must remember besides its log. Term and Vote must
// be synced before any message of the term leaves; Commit is a hint.
type HardState struct {
	Term   uint64
	Vote   ID
	Commit uint64
}

// Snapshot describes the state after the entry at Index. Data is filled by the
// I/O layer; the core carries it from message to Ready without reading it.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Configuration
	Data   []byte
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgTimeoutNow
)

// Message travels between nodes. Which fields are set depends on Kind; the
// others are left out on the wire, because heartbeats flow all the time.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ID          `json:"from"`
	To   ID          `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm name the last entry of a candidate, or the entry before Entries.
	// In a MsgAppendReply Index is the last matching entry, or the rejected one.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint and HintTerm name an entry of the follower at or before the rejected one.
	Hint     uint64 `json:"hint,omitempty"`
	HintTerm uint64 `json:"hint_term,omitempty"`
	// Seq numbers the read barriers of a leader within its term.
	Seq uint64 `json:"seq,omitempty"`
	// Transfer marks a vote that the leader itself asked for.
	Transfer bool      `json:"transfer,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// ReadState tells that the state machine may answer the reads once it has applied Index.
type ReadState struct {
	Index uint64
	// Contexts are the values given to ReadIndex.
	Contexts []uint64
}

// Ready is a batch of work for the I/O layer.
type Ready struct {
	// HardState is set when it must be written.
	HardState *HardState
	// Snapshot, when set, replaces the whole log before Entries are appended.
	Snapshot *Snapshot
	// Entries are appended to the log; the first may overwrite an older tail.
	Entries []Entry
	// Early messages do not depend on the writes of this batch.
	Early []Message
	// Messages are sent after the writes of this batch are synced.
	Messages []Message
	// Committed entries are applied after the writes, in order.
	Committed []Entry
	Reads     []ReadState
}

// Role is the role of a node in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Status is a view of a node.
type Status struct {
	ID      ID
	Role    Role
	Term    uint64
	Leader  ID
	Commit  uint64
	Applied uint64
	Last    uint64
	Config  Configuration
	// Match holds the acknowledged index of each member; only a leader knows it.
	Match map[ID]uint64
	// Active tells which members answered in the present or last check period of a leader.
	Active map[ID]bool
}
