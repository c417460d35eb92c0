package daemon

import (
	"github.com/boragelead/boragelead/internal/replica"
)

// IsLeader reports whether the state replica of the daemon leads the log.
func (d *Daemon) IsLeader() bool { return d.ledger.isLeader() }

// ReplicaStatus returns the status of the daemon's state replica, or nil if it has none.
func (d *Daemon) ReplicaStatus() *replica.Status { return d.ledger.status() }
