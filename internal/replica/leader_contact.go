package replica

import (
	"sync/atomic"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// leaderContact holds when this replica last processed a message of a leader that it
// follows.
type leaderContact struct {
	// messages is the number of messages that were counted. Only the event loop uses it.
	messages uint64
	at       atomic.Int64
}

// noteLeaderMessages runs in the event loop.
func (r *Replica) noteLeaderMessages() {
	if n := r.raft.LeaderMessages(); n != r.leaderContact.messages {
		r.leaderContact.messages = n
		r.leaderContact.at.Store(int64(bootclock.Now()))
	}
}

// LeaderHeardAt returns when this replica last processed a message of a leader that it
// follows; 0 means never. It does not count what this replica does while it leads.
func (r *Replica) LeaderHeardAt() bootclock.Instant {
	return bootclock.Instant(r.leaderContact.at.Load())
}
