package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/port"
)

// DefaultGroup is the one group of today's deployments.
const DefaultGroup = "main"

// Default settings. A silent leader is noticed after 10 to 20 ticks, 0.5 to 1 s,
// which with the election stays under the goal of 2 s without service.
const (
	DefaultTickInterval   = 50 * time.Millisecond
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 2
	// DefaultSnapshotEntries bounds the log to replay at a start and in memory.
	DefaultSnapshotEntries = 20000
	// DefaultSnapshotBytes does the same for large documents and results.
	DefaultSnapshotBytes = 64 << 20
	// DefaultKeepEntries stay in memory after a snapshot for members that are a little behind.
	DefaultKeepEntries = 4000
	// DefaultMaxBatch bounds the proposals per sync.
	DefaultMaxBatch = 1024
	// DefaultVoters is the number of voters that learners are promoted up to.
	DefaultVoters = 3
	// DefaultRetention of ended claims, used while no document sets one.
	DefaultRetention = 24 * time.Hour
)

const (
	// ledgerTickInterval is how often time is replicated. It only drives the
	// expiry of claims, whose retention is hours; leases carry their own time.
	ledgerTickInterval = 10 * time.Second
	maintainInterval   = time.Second
	maxAppendBytes     = 1 << 20
	maxInflight        = 64
	maxUncommitted     = 64 << 20
	queueLength        = 4096
)

// Options set up a replica.
type Options struct {
	// Group is the name of the claims group.
	Group string
	// Address is where the other replicas reach this one (IP:port).
	Address string
	// FS is the data folder.
	FS     wal.FS
	Caller port.PeerCaller
	Server port.PeerServer
	// Peers are the addresses of the other replicas, to join or bootstrap.
	Peers []string
	// Bootstrap lets the replica with the lowest address start a new group, once
	// every peer said that it knows none. The flag can be the same on all replicas.
	Bootstrap bool
	// Voters is the number of voters that learners are promoted up to.
	Voters int

	TickInterval    time.Duration
	ElectionTicks   int
	HeartbeatTicks  int
	SnapshotEntries uint64
	SnapshotBytes   int
	KeepEntries     uint64
	// MaxBatch bounds the proposals per sync; 1 switches group commit off.
	MaxBatch int
	// Retention returns how long an ended claim is kept.
	Retention func() time.Duration
	Log       *zap.Logger
	// OnStop is called when the replica stops because of a failure.
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
