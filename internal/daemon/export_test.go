package daemon

import (
	"github.com/boragelead/boragelead/internal/replica"
)

// IsLeader reports whether the state replica of the daemon leads the log.
func (d *Daemon) IsLeader() bool { return d.ledger.isLeader() }

// ReplicaStatus describes the state replica of the daemon, nil without one.
func (d *Daemon) ReplicaStatus() *replica.Status { return d.ledger.status() }
