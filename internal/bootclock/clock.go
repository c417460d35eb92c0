// Package bootclock reads a clock that goes on while the VM is suspended. The
// monotonic clock of the time package stands still then, so that a lease
// measured by it would still hold when the VM wakes.
package bootclock

import "time"

var started = time.Now()

// Instant is a time since the VM started; the zero value lies in the past.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
