package raft

// ID identifies a node. It is random and belongs to one data folder. The value 0 means no node.
type ID uint64

// EntryKind is the kind of a log entry.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand holds a command of the state machine. A new leader appends one with empty data.
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

// Bytes returns the size of the entries of a message, in bytes.
func (m *Message) Bytes() int {
	size := 0
	for i := range m.Entries {
		size += m.Entries[i].size()
	}
	return size
}

// HardState is the state that a node must persist besides its log. Term and Vote
// must be synced before any message of the term is sent. Commit is only a hint.
type HardState struct {
	Term   uint64
	Vote   ID
	Commit uint64
}

// Snapshot describes the state after the entry at Index. The I/O layer fills in
// Data; this package passes it from a message to Ready without reading it.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Configuration
	Data   []byte
}

// MessageKind is the kind of a message.
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

// Message is a message between nodes. Kind determines which fields are set. The
// others are omitted on the wire, because heartbeats are sent continuously.
type Message struct {
	Kind MessageKind `json:"kind"`
	From ID          `json:"from"`
	To   ID          `json:"to"`
	Term uint64      `json:"term"`
	// Index and LogTerm identify the last entry of a candidate's log, or the entry before Entries.
	// In a MsgAppendReply, Index is the last matching index or, if Reject is set, the rejected index.
	Index   uint64  `json:"index,omitempty"`
	LogTerm uint64  `json:"log_term,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Hint and HintTerm identify an entry of the follower at or before the rejected index.
	Hint     uint64 `json:"hint,omitempty"`
	HintTerm uint64 `json:"hint_term,omitempty"`
	// Seq numbers the read barriers of a leader within its term.
	Seq uint64 `json:"seq,omitempty"`
	// Transfer is set on a vote request that the leader itself initiated with MsgTimeoutNow.
	Transfer bool      `json:"transfer,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// ReadState reports that the reads may be served once the state machine has applied Index.
type ReadState struct {
	Index uint64
	// Contexts are the values that were passed to ReadIndex.
	Contexts []uint64
}

// Ready is a batch of work for the I/O layer.
type Ready struct {
	// HardState is set when it must be written.
	HardState *HardState
	// Snapshot, if set, replaces the whole log before Entries are appended.
	Snapshot *Snapshot
	// Entries are appended to the log. They overwrite existing entries from the first index on.
	Entries []Entry
	// EarlyMessages may be sent before the writes of this batch are synced.
	EarlyMessages []Message
	// Messages are sent after the writes of this batch are synced.
	Messages []Message
	// Committed entries are applied in order after the writes.
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

// Status is a copy of a node's state for inspection.
type Status struct {
	ID      ID
	Role    Role
	Term    uint64
	Leader  ID
	Commit  uint64
	Applied uint64
	Last    uint64
	Config  Configuration
	// Match holds the acknowledged index of each member. It is set only on a leader.
	Match map[ID]uint64
	// Active reports which members replied in the current or the previous check period.
	// It is set only on a leader.
	Active map[ID]bool
	// SilentTicks holds the ticks since the last reply of each other member, or since the
	// node leads. It is set only on a leader.
	SilentTicks map[ID]int
}
