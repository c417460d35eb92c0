// Package walltime lets daemons agree on the time of day. The clock of a single VM
// may jump, but the windows of usage reports must follow true time. Each daemon
// takes the median of the clocks of the state replicas and advances it by its boot
// clock, which does not jump. The package does no I/O.
package walltime

import (
	"slices"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/bootclock"
)

const (
	// readingTTL is how long the reading of a daemon's clock is used.
	readingTTL = 10 * time.Second
	// minReadings is the number of readings that set the time at once. With a
	// single reading it is unknown which of the two clocks jumped.
	minReadings = 2
	// maxSlewPerS bounds how fast the agreed time is corrected, in seconds per
	// second. It is above the drift of common clocks, and low enough that a jump of
	// most clocks takes hours to take effect.
	maxSlewPerS = 0.0005
)

// reading is the offset of a daemon's time of day to the boot clock of this VM.
type reading struct {
	offset  time.Duration
	takenAt bootclock.Instant
}

// Clock provides the agreed time of day. It is safe for concurrent use.
type Clock struct {
	mu       sync.Mutex
	readings map[string]reading
	// offset is the offset of the agreed time to the boot clock. It was last
	// corrected at updatedAt.
	offset    time.Duration
	updatedAt bootclock.Instant
	// agreed is set once the offset was set from minReadings readings.
	agreed bool
}

// New returns a clock that starts with the time of day of this VM.
func New(wall time.Time, now bootclock.Instant) *Clock {
	return &Clock{readings: make(map[string]reading), offset: offsetOf(wall, now), updatedAt: now}
}

func offsetOf(wall time.Time, now bootclock.Instant) time.Duration {
	return time.Duration(wall.UnixNano() - int64(now))
}

// Observe records the time of day that a daemon just reported, and corrects the
// agreed time.
func (c *Clock) Observe(daemon string, wall time.Time, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[daemon] = reading{offsetOf(wall, now), now}
	median, count := c.median(now)
	switch {
	case c.agreed:
		maxStep := time.Duration(float64(now.Sub(c.updatedAt)) * maxSlewPerS)
		c.offset += max(-maxStep, min(median-c.offset, maxStep))
	case count >= minReadings:
		c.offset = median
		c.agreed = true
	}
	c.updatedAt = now
}

// median returns the lower median of the readings that have not expired, and their
// number. The lock must be held.
func (c *Clock) median(now bootclock.Instant) (offset time.Duration, count int) {
	offsets := make([]time.Duration, 0, len(c.readings))
	for daemon, r := range c.readings {
		if now.Sub(r.takenAt) > readingTTL {
			delete(c.readings, daemon)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], len(offsets)
}

// At returns the agreed time of day at an instant.
func (c *Clock) At(now bootclock.Instant) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(now)+int64(c.offset))
}

// Now returns the current agreed time of day.
func (c *Clock) Now() time.Time { return c.At(bootclock.Now()) }
