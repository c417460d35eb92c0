package walltime

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/bootclock"
)

var (
	noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	boot = bootclock.Instant(time.Hour)
)

// Guards against a time of day that follows the clock of the local VM after a jump.
func TestOwnJumpedClockIsCorrected(t *testing.T) {
	g := NewWithT(t)
	c := New(noon.Add(time.Minute), boot)
	c.Observe("a", noon, boot)
	g.Expect(c.At(boot)).To(Equal(noon.Add(time.Minute).Local()), "a single reading does not show which clock is wrong")
	c.Observe("b", noon, boot)
	g.Expect(c.At(boot)).To(BeTemporally("==", noon))
}

// Guards against the clock jump of one replica changing the agreed time.
func TestJumpOfOneReplicaMovesNobody(t *testing.T) {
	g := NewWithT(t)
	c := New(noon, boot)
	now := boot
	for i := range 100 {
		now = boot.Add(time.Duration(i) * time.Second)
		wall := noon.Add(now.Sub(boot))
		c.Observe("a", wall, now)
		c.Observe("b", wall, now)
		c.Observe("c", wall.Add(-2*time.Second), now)
		c.Observe("d", wall, now)
	}
	g.Expect(c.At(now)).To(BeTemporally("==", noon.Add(now.Sub(boot))))
}

// Guards against a step of the agreed time when the clocks of most replicas jump.
func TestJumpOfMostReplicasIsSlewed(t *testing.T) {
	g := NewWithT(t)
	c := New(noon, boot)
	for _, name := range []string{"a", "b", "c"} {
		c.Observe(name, noon, boot)
	}
	now := boot.Add(10 * time.Second)
	for _, name := range []string{"a", "b", "c"} {
		c.Observe(name, noon.Add(10*time.Second+time.Minute), now)
	}
	g.Expect(c.At(now)).To(BeTemporally("~", noon.Add(10*time.Second), 6*time.Millisecond))
}

// Guards against an agreed time that does not follow true time when the boot clock
// drifts.
func TestDriftIsFollowed(t *testing.T) {
	g := NewWithT(t)
	c := New(noon, boot)
	now, wall := boot, noon
	for range 10_000 {
		now = now.Add(time.Second)
		wall = wall.Add(time.Second + 100*time.Microsecond)
		c.Observe("a", wall, now)
		c.Observe("b", wall, now)
	}
	g.Expect(c.At(now)).To(BeTemporally("~", wall, time.Millisecond))
}
