package replica

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/quorum"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
)

// RPC methods between daemons. Parameters and results are msgpack maps.
const (
	MethodStep     = "raft.step"
	MethodSnapshot = "raft.snapshot"
	MethodPropose  = "ledger.propose"
	MethodRead     = "ledger.read"
	MethodWatch    = "ledger.watch"
	MethodIdentify = "ledger.identify"
	MethodJoin     = "ledger.join"
	MethodMember   = "ledger.member"
	MethodStatus   = "ledger.status"
)

// stepParams carries raft messages. Replicas of another cluster drop them.
type stepParams struct {
	Cluster  uint64         `json:"cluster"`
	Address  string         `json:"address"`
	Messages []raft.Message `json:"list"`
}

// snapshotParams carries one chunk of a snapshot.
type snapshotParams struct {
	Cluster uint64       `json:"cluster"`
	Address string       `json:"address"`
	Message raft.Message `json:"message"`
	Offset  int          `json:"offset"`
	Total   int          `json:"total"`
	Data    []byte       `json:"data"`
}

// request holds the parameters of the ledger methods. Each method uses some of the fields.
type request struct {
	Group   string               `json:"group"`
	Command []byte               `json:"command,omitempty"`
	Lease   *ledger.LeaseRequest `json:"lease,omitempty"`
	Read    readKind             `json:"read,omitempty"`
	Limit   int                  `json:"limit,omitempty"`
	Prefix  string               `json:"prefix,omitempty"`
	After   uint64               `json:"after,omitempty"`
	WaitMS  int64                `json:"wait_ms,omitempty"`
	Change  raft.Change          `json:"change"`
	Lost    raft.ID              `json:"lost,omitempty"`
}

type readKind string

const (
	readCurrent readKind = "current"
	readHistory readKind = "history"
	readRunning readKind = "running"
	// readRecords reads the newest record of each series with a prefix.
	readRecords readKind = "records"
)

// reply is the result of the ledger methods.
type reply struct {
	Error       *ReplyError       `json:"error,omitempty"`
	Outcome     *ledger.Outcome   `json:"outcome,omitempty"`
	Generations []port.Generation `json:"generations,omitempty"`
	Running     map[string]int    `json:"running,omitempty"`
	Status      *Status           `json:"status,omitempty"`
	// Records answers readRecords. ReadsRecords tells it from the answer of an older build,
	// which does not know this kind of read and returns the current generation.
	Records      []port.RecordRequest `json:"records,omitempty"`
	ReadsRecords bool                 `json:"reads_records,omitempty"`
}

// Status describes a replica.
type Status struct {
	Group   string  `json:"group"`
	Replica raft.ID `json:"replica"`
	Cluster uint64  `json:"cluster"`
	Address string  `json:"address"`
	// Role is RoleLeader, or a text for logs.
	Role string `json:"role"`
	Term uint64 `json:"term"`
	// Leader is the address of the leader, empty if it is unknown.
	Leader  string             `json:"leader"`
	Commit  uint64             `json:"commit"`
	Applied uint64             `json:"applied"`
	Config  raft.Configuration `json:"config"`
	// Match and Active are set by the leader only.
	Match  map[raft.ID]uint64 `json:"match,omitempty"`
	Active map[raft.ID]bool   `json:"active,omitempty"`
	// Generation is the newest generation that this replica has applied.
	Generation uint64 `json:"generation"`
	Claims     int    `json:"claims"`
	// Syncs is the number of syncs of the log file.
	Syncs uint64 `json:"syncs"`
}

// RoleLeader is the role of the leader in a Status.
const RoleLeader = "leader"

// TolerableLosses returns how many more voters the group can lose and still has a majority.
// Only the status of a leader tells.
func (s *Status) TolerableLosses() int {
	return quorum.TolerableLosses(&raft.Status{ID: s.Replica, Config: s.Config, Active: s.Active})
}

// SilentMembers returns the addresses of the members that do not answer. Only the status of a
// leader tells.
func (s *Status) SilentMembers() []string {
	var addresses []string
	for _, m := range s.Config.Members() {
		if m.ID != s.Replica && !s.Active[m.ID] {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

func marshal(value any) []byte {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.SetCustomStructTag("json")
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		// Unreachable: all types of the protocol can be encoded.
		panic(err)
	}
	return buffer.Bytes()
}

func unmarshal(data []byte, value any) error {
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(data))
	decoder.SetCustomStructTag("json")
	return decoder.Decode(value)
}
