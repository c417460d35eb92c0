package fleet

import "time"

// Backoff after refused starts of one pool, doubled with each refusal.
const (
	backoffBase = 30 * time.Second
	backoffMax  = 30 * time.Minute
)

// Backoff remembers which pools refused starts. A refused pool is left out
// until its time is over, so that the next cheapest is taken.
type Backoff struct {
	pools map[Pool]refusal
}

type refusal struct {
	until time.Time
	wait  time.Duration
}

// NewBackoff returns a backoff without refusals.
func NewBackoff() *Backoff { return &Backoff{pools: make(map[Pool]refusal)} }

// Refused records a refused start.
func (b *Backoff) Refused(pool Pool, now time.Time) {
	wait := backoffBase
	if last, known := b.pools[pool]; known {
		wait = min(2*last.wait, backoffMax)
	}
	b.pools[pool] = refusal{until: now.Add(wait), wait: wait}
}

// Started forgets the refusals of a pool.
func (b *Backoff) Started(pool Pool) { delete(b.pools, pool) }

// Blocked reports whether a pool is left out now.
func (b *Backoff) Blocked(pool Pool, now time.Time) bool {
	return b != nil && now.Before(b.pools[pool].until)
}
