// Package bootclock reads a clock that also advances while the VM is suspended.
// The monotonic clock of the time package stops during a suspension, so a lease
// measured with it would still seem valid after the VM resumes.
package bootclock

import "time"

var processStart = time.Now()

// Instant is a point in time, measured from the start of the VM. The zero value
// lies in the past.
type Instant int64

// Add returns the instant that is d later than i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time elapsed from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }
