package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// observeFor observes a replica each 0.2 s.
func observeFor(c *coverage, knowsLeader bool, now *bootclock.Instant, d time.Duration) {
	for end := now.Add(d); *now < end; *now = now.Add(200 * time.Millisecond) {
		c.observe(knowsLeader, *now)
	}
}

// Guards against sums of a few entries that are taken for sums of all: entries then divide
// limits by too little, after a start, a suspension or a cut of a replica.
func TestSumsOfAFewEntriesAreNotTakenForAll(t *testing.T) {
	g := NewWithT(t)
	c, now := &coverage{}, bootclock.Instant(time.Hour)
	g.Expect(c.complete(now)).To(BeFalse(), "before the first observation")
	observeFor(c, true, &now, 1600*time.Millisecond)
	g.Expect(c.complete(now)).To(BeFalse(), "just after a start")
	observeFor(c, true, &now, time.Second)
	g.Expect(c.complete(now)).To(BeTrue())

	observeFor(c, false, &now, 2*time.Second)
	g.Expect(c.complete(now)).To(BeTrue(), "an election does not change who is heard")
	observeFor(c, false, &now, 2*time.Second)
	g.Expect(c.complete(now)).To(BeFalse(), "cut off before entries behind the cut are forgotten")
	observeFor(c, true, &now, 1600*time.Millisecond)
	g.Expect(c.complete(now)).To(BeFalse(), "just after a cut")
	observeFor(c, true, &now, time.Second)
	g.Expect(c.complete(now)).To(BeTrue())

	now = now.Add(6 * time.Second)
	g.Expect(c.complete(now)).To(BeFalse(), "just after a suspension, before the next observation")
	observeFor(c, true, &now, 1600*time.Millisecond)
	g.Expect(c.complete(now)).To(BeFalse())
	observeFor(c, true, &now, time.Second)
	g.Expect(c.complete(now)).To(BeTrue())
}
