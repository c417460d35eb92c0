package fleet

import "time"

// Back-off time after a refused start in a pool. It starts at backoffBase and
// doubles with each refusal up to backoffMax.
const (
	backoffBase = 30 * time.Second
	backoffMax  = 30 * time.Minute
)

// Backoff records which pools refused starts. The planner leaves such a pool out
// until its back-off time has passed and uses the next cheapest pool.
type Backoff struct {
	pools map[Pool]refusal
}

type refusal struct {
	until time.Time
	wait  time.Duration
}

// NewBackoff returns a Backoff without refusals.
func NewBackoff() *Backoff { return &Backoff{pools: make(map[Pool]refusal)} }

// Refused records a refused start.
func (b *Backoff) Refused(pool Pool, now time.Time) {
	wait := backoffBase
	if last, known := b.pools[pool]; known {
		wait = min(2*last.wait, backoffMax)
	}
	b.pools[pool] = refusal{until: now.Add(wait), wait: wait}
}

// Started clears the refusals of a pool.
func (b *Backoff) Started(pool Pool) { delete(b.pools, pool) }

// Blocked reports whether the back-off time of a pool has not passed yet.
func (b *Backoff) Blocked(pool Pool, now time.Time) bool {
	return b != nil && now.Before(b.pools[pool].until)
}
