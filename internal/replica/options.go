package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/port"
)

// DefaultGroup is the name of the claims group. Deployments have one group.
const DefaultGroup = "main"

// Default settings. Followers start an election after 10 to 20 ticks (0.5 to 1 s)
// without a message from the leader. Together with the election itself this stays
// below the goal of at most 2 s without service.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultSnapshotEntries is the number of log entries after which a snapshot is
	// taken. It bounds the log in memory and the log to replay at a start.
	DefaultSnapshotEntries = 20000
	// DefaultSnapshotBytes is the size of log entries after which a snapshot is taken.
	// It bounds the log when documents and results are large.
	DefaultSnapshotBytes = 64 << 20
	// DefaultKeepEntries is the number of entries that stay in memory after a snapshot,
	// so that a member slightly behind does not need the snapshot.
	DefaultKeepEntries = 4000
	// DefaultMaxBatch is the maximum number of proposals per sync.
	DefaultMaxBatch = 1024
	// DefaultVoters is the number of voters up to which learners are promoted.
	DefaultVoters = 3
	// DefaultLosses is the number of replicas that may be lost at once.
	DefaultLosses = 1
	// DefaultRetention is how long ended claims are kept while no document sets a retention.
	DefaultRetention = 24 * time.Hour
)

const (
	// ledgerTickInterval is the interval between replicated clock ticks. Ticks only
	// drive the expiry of claims, whose retention is hours. Lease requests carry the
	// elapsed time themselves.
	ledgerTickInterval = 10 * time.Second
	// forgetInterval is the interval at which former members are dropped.
	forgetInterval = time.Second
	maxAppendBytes = 1 << 20
	// appendBytesPerTick is 640 KB/s: a document of 0.5 MB reaches the logs of four
	// members within 0.3 s on a VM with half of a core.
	appendBytesPerTick  = 32 << 10
	maxInflight         = 64
	maxUncommittedBytes = 64 << 20
	queueLength         = 4096
	// maxKeptBytes bounds the entries that stay in memory after a snapshot, since a few
	// hundred large documents would exceed the memory of a small VM.
	maxKeptBytes = 4 << 20
)

// Options configure a replica.
type Options struct {
	// Group is the name of the claims group.
	Group string
	// Address is the address (IP:port) at which other replicas reach this one.
	Address string
	// FS gives access to the data folder.
	FS     wal.FS
	Caller port.PeerCaller
	Server port.PeerServer
	// Peers are the addresses of the other replicas, used to join or bootstrap a cluster.
	// SetPeers replaces those used to join.
	Peers []string
	// Bootstrap lets the replica with the lowest address start a new cluster once
	// every peer has answered that it belongs to no cluster. The flag can have the same
	// value on all replicas.
	Bootstrap bool
	// Voters is the number of voters up to which learners are promoted.
	Voters int
	// Losses is the number of replicas that may be lost at once. Silent voters are removed
	// only while twice as many and one more are left.
	Losses int

	TickInterval    time.Duration
	ElectionTicks   int
	HeartbeatTicks  int
	SnapshotEntries uint64
	SnapshotBytes   int
	KeepEntries     uint64
	// MaxBatch is the maximum number of proposals per sync; 1 disables group commit.
	MaxBatch int
	// Retention returns how long an ended claim is kept.
	Retention func() time.Duration
	Log       *zap.Logger
	// OnStop is called when the replica stops because of an error.
	OnStop func(error)
}

func (o *Options) complete() error {
	switch {
	case o.Address == "":
		return &OptionError{Option: "Address"}
	case o.FS == nil:
		return &OptionError{Option: "FS"}
	case o.Caller == nil:
		return &OptionError{Option: "Caller"}
	case o.Server == nil:
		return &OptionError{Option: "Server"}
	}
	setDefault(&o.Group, DefaultGroup)
	setDefault(&o.Voters, DefaultVoters)
	setDefault(&o.Losses, DefaultLosses)
	o.Voters = max(o.Voters, 2*o.Losses+1)
	setDefault(&o.TickInterval, DefaultTickInterval)
	setDefault(&o.ElectionTicks, DefaultElectionTicks)
	setDefault(&o.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&o.SnapshotEntries, DefaultSnapshotEntries)
	setDefault(&o.SnapshotBytes, DefaultSnapshotBytes)
	setDefault(&o.KeepEntries, DefaultKeepEntries)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	if o.Retention == nil {
		o.Retention = func() time.Duration { return DefaultRetention }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.OnStop == nil {
		o.OnStop = func(error) {}
	}
	return nil
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
