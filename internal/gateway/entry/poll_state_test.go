package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/meter"
)

// Guards against counts of a window that are never sent to a replica, and against
// sending all windows with each poll.
func TestOnlyUnacknowledgedCountsAreSent(t *testing.T) {
	g := NewWithT(t)
	state := &pollState{}
	windows := []meter.Counts{{Window: 7, Counts: map[string]int{"a": 3}}, {Window: 8, Counts: map[string]int{"a": 1}}}
	changed, ackedCounts := state.unackedCounts(windows)
	g.Expect(changed).To(Equal(windows))
	changed, _ = state.unackedCounts(windows)
	g.Expect(changed).To(Equal(windows), "counts must be sent again after a failed poll")
	state.ackedCounts = ackedCounts
	changed, _ = state.unackedCounts(windows)
	g.Expect(changed).To(BeEmpty())
	windows[1].Counts["b"] = 1
	changed, _ = state.unackedCounts(windows)
	g.Expect(changed).To(Equal(windows[1:]))
}
