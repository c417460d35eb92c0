package state

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/bootclock"
)

const (
	// coverageTime is how long a replica that starts, wakes up or is connected again waits
	// until it takes its sums for those of all entries. A poll that an entry began before
	// has timed out by then.
	coverageTime = 2 * time.Second
	// maxObservationGap is the time without observations after which a replica counts as
	// having been suspended.
	maxObservationGap = 2 * time.Second
	// maxLeaderless is how long a replica without a leader still hears from all entries. It
	// may be cut off, and then forgets the entries behind the cut after entryTimeout.
	maxLeaderless = 3 * time.Second
)

// coverage tracks whether a replica can have heard from every entry. Sums over the entries
// that it has heard from are too small otherwise, and an entry that divides a limit by such
// a sum takes too much. It is safe for concurrent use.
type coverage struct {
	mu sync.Mutex
	// since is when the replica started to hear from all entries.
	since bootclock.Instant
	// observedAt is the time of the last observation, and leaderAt the last one at which
	// the replica knew a leader.
	observedAt, leaderAt bootclock.Instant
}

// observe records whether the replica knows a leader. It must be called regularly.
func (c *coverage) observe(knowsLeader bool, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	interrupted := now.Sub(c.observedAt) > maxObservationGap
	if interrupted || knowsLeader {
		c.leaderAt = now
	}
	if interrupted || now.Sub(c.leaderAt) > maxLeaderless {
		c.since = now
	}
	c.observedAt = now
}

// complete reports whether the sums of the replica cover all entries.
func (c *coverage) complete(now bootclock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.observedAt) <= maxObservationGap && now.Sub(c.since) >= coverageTime
}
