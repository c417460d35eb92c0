//go:build !linux

package bootclock

import "time"

// Now returns the time since the process started.
func Now() Instant { return Instant(time.Since(started)) }
