package entry

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/meter"
)

// Guards against counts of a window that a replica is never told, and against
// all windows being sent with each poll.
func TestOnlyNewCountsAreTold(t *testing.T) {
	g := NewWithT(t)
	k := &known{}
	windows := []meter.Counts{{Window: 7, Counts: map[string]int{"a": 3}}, {Window: 8, Counts: map[string]int{"a": 1}}}
	news, counted := k.fresh(windows)
	g.Expect(news).To(Equal(windows))
	news, _ = k.fresh(windows)
	g.Expect(news).To(Equal(windows), "the first poll failed")
	k.counted = counted
	news, _ = k.fresh(windows)
	g.Expect(news).To(BeEmpty())
	windows[1].Counts["b"] = 1
	news, _ = k.fresh(windows)
	g.Expect(news).To(Equal(windows[1:]))
}
