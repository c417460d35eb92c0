// Package walltime agrees on the time of day among daemons: the clock of a
// single VM may jump, and the windows of usage reports follow true time. Each
// daemon takes the median of what the state replicas say, and measures on by a
// clock that does not jump. The package does no I/O.
package walltime

import (
	"slices"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/bootclock"
)

const (
	// readingLife is how long a reading of another daemon counts.
	readingLife = 10 * time.Second
	// enough readings set the time at once; with fewer a jumped clock cannot be told.
	enough = 2
	// slewPerS bounds how fast an agreed time is corrected, in seconds per
	// second. It is above the drift of common clocks, and a jump of most clocks
	// takes hours to show.
	slewPerS = 0.0005
)

// reading is how far the time of day of a daemon is ahead of the own boot clock.
type reading struct {
	offset time.Duration
	taken  bootclock.Instant
}

// Clock tells the agreed time of day. It is safe for concurrent use.
type Clock struct {
	mu       sync.Mutex
	readings map[string]reading
	// offset of the agreed time to the boot clock, as of moved.
	offset time.Duration
	moved  bootclock.Instant
	agreed bool
}

// New returns a clock that starts with the time of day of this VM.
func New(wall time.Time, now bootclock.Instant) *Clock {
	return &Clock{readings: make(map[string]reading), offset: offsetOf(wall, now), moved: now}
}

func offsetOf(wall time.Time, now bootclock.Instant) time.Duration {
	return time.Duration(wall.UnixNano() - int64(now))
}

// Observe takes the time of day that a daemon told just now.
func (c *Clock) Observe(daemon string, wall time.Time, now bootclock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[daemon] = reading{offsetOf(wall, now), now}
	median, count := c.median(now)
	switch {
	case c.agreed:
		most := time.Duration(float64(now.Sub(c.moved)) * slewPerS)
		c.offset += max(-most, min(median-c.offset, most))
	case count >= enough:
		c.offset = median
		c.agreed = true
	}
	c.moved = now
}

// median returns the lower median of the readings that count, and their number.
// It must be called with the lock held.
func (c *Clock) median(now bootclock.Instant) (offset time.Duration, count int) {
	offsets := make([]time.Duration, 0, len(c.readings))
	for daemon, one := range c.readings {
		if now.Sub(one.taken) > readingLife {
			delete(c.readings, daemon)
			continue
		}
		offsets = append(offsets, one.offset)
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2], len(offsets)
}

// At returns the time of day at an instant.
func (c *Clock) At(now bootclock.Instant) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(now)+int64(c.offset))
}

// Now returns the present time of day.
func (c *Clock) Now() time.Time { return c.At(bootclock.Now()) }
