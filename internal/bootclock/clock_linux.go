package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM started.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39. Without it, suspensions are not detected.
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}
