package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39; without it suspensions go unnoticed.
		return Instant(time.Since(started))
	}
	return Instant(ts.Nano())
}
