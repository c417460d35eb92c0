package meter

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const window = 5 * time.Second

// Guards against counting requests twice when a report is repeated or arrives late,
// and against losing the counts of an entry that restarted.
func TestRepeatedReportsCountOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	c := NewCounter(window)
	c.Add("w", now)
	first := c.Report(now)
	c.Add("w", now)
	second := c.Report(now)
	l := NewLedger()
	source := Source{Entry: "e", Incarnation: 1}
	l.Merge(source, second)
	l.Merge(source, second)
	l.Merge(source, first)
	restarted := NewCounter(window)
	restarted.Add("w", now)
	l.Merge(Source{Entry: "e", Incarnation: 2}, restarted.Report(now))
	g.Expect(l.Total(WindowAt(now, window))).To(Equal(map[string]int{"w": 3}))
}

// Guards against counting a request in an adjacent window, and against reporting
// old windows for ever.
func TestWindows(t *testing.T) {
	g := NewWithT(t)
	c := NewCounter(window)
	c.Add("w", time.Unix(1004, 999_999_999))
	c.Add("w", time.Unix(1005, 0))
	g.Expect(c.Report(time.Unix(1005, 0))).To(ConsistOf(
		Counts{Window: 200, Counts: map[string]int{"w": 1}}, Counts{Window: 201, Counts: map[string]int{"w": 1}},
	))
	g.Expect(c.Report(time.Unix(1000+5*(reportedWindows+3), 0))).To(BeEmpty())
}
