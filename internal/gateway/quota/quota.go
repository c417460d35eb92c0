// Package quota enforces the limit of each workspace over all entries. One part of every
// limit, the divided part, is divided among the entries by leases of the leading state
// replica; they spend it without communication. The rest, the common part, is held by the
// leader itself, which grants what the share of an entry cannot cover, such as large
// requests. With such a request an entry offers the leader what is left of its share, so
// that the shares of many entries cover a request together. The two parts add up to the
// limit, and every request is covered in full before it is granted. The package does no I/O.
package quota

import (
	"time"

	"github.com/boragelead/boragelead/internal/gateway/rules"
)

// Of Tolerance, these parts are used. The rest is a margin for changes of limits, and for
// entries that never had a lease or have been cut off for long.
const (
	// commonPart is the part of a limit that the leader holds.
	commonPart = 0.6
	// commonTokenShare and dividedTokenShare are the parts of Tolerance.Tokens that the
	// leader, and all entries together, may grant in addition.
	commonTokenShare  = 0.5
	dividedTokenShare = 0.3
	// startTokenShare is the part of Tolerance.Tokens that all entries together have when
	// they start: an earlier run may have spent full shares just before, but with nothing at
	// all the first requests would be refused.
	startTokenShare = 0.15
	// steadyOvershootShare is the part of Tolerance.Overshoot by which rate and burst are
	// raised, and commonOvershootShare the part of it that the leader may grant at once.
	steadyOvershootShare = 0.3
	commonOvershootShare = 0.3
)

// Tolerance is how much may be granted above a limit within any window, over all
// entries.
type Tolerance struct {
	Window time.Duration
	// Overshoot is relative to what the limit allows within the window.
	Overshoot float64
	// Tokens is added for limits that count tokens.
	Tokens float64
}

// bucket is a token bucket.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds what the rate yielded since the last update, which may lie in the future.
func (b *bucket) refill(rate, capacity float64, now time.Time) {
	if now.Before(b.updatedAt) {
		return
	}
	b.level = min(b.level+now.Sub(b.updatedAt).Seconds()*rate, capacity)
	b.updatedAt = now
}

// timeUntil returns the time until the level reaches an amount.
func (b *bucket) timeUntil(level, rate float64) time.Duration {
	return time.Duration((level - b.level) / rate * float64(time.Second))
}

// limits are the limits of one workspace.
type limits struct {
	// namedRate is the rate in the document; rate and burst are raised by what may be
	// spent above it.
	namedRate, rate, burst float64
	// extraTokens is how much may be spent above the limit; 0 for limits that count
	// requests.
	extraTokens float64
}

func limitsOf(w *rules.Workspace, t Tolerance) limits {
	raise := 1 + t.Overshoot*steadyOvershootShare
	l := limits{namedRate: w.RatePerS, rate: w.RatePerS * raise, burst: w.Burst * raise}
	if w.CountTokens {
		l.extraTokens = t.Tokens
	}
	return l
}
