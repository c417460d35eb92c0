package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// leaderGauge returns a gauge of the replica that leads, or -1 if none does.
func (gr *group) leaderGauge(name string) int64 {
	for _, n := range gr.nodes {
		if n.state != nil && n.metrics.Gauge("state_leads").Value() == 1 {
			return n.metrics.Gauge(name).Value()
		}
	}
	return -1
}

// TestGroupHealthIsReported guards against operators who cannot see that the group is short of
// voters, and against voters that are gone and stay in the group.
func TestGroupHealthIsReported(t *testing.T) {
	gr := newGroup(t)
	health := func() []int64 {
		return []int64{gr.leaderGauge("state_voters"), gr.leaderGauge("state_tolerable_losses"), gr.leaderGauge("state_silent_members")}
	}
	gr.g.Eventually(health, "15s", "20ms").Should(Equal([]int64{4, 1, 0}))
	gr.stop("127.0.0.2")
	gr.g.Eventually(health, "5s", "20ms").Should(Equal([]int64{4, 0, 1}))
	gr.g.Eventually(health, "5s", "20ms").Should(Equal([]int64{3, 1, 0}))
	gr.start("127.0.0.5", false)
	gr.g.Eventually(health, "5s", "20ms").Should(Equal([]int64{4, 1, 0}))
}
