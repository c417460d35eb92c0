package rollout

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
)

// Guards against counts that change on their way to the replicas, and against counts of another
// build that end the process.
func TestCountsEncoding(t *testing.T) {
	g := NewWithT(t)
	for _, times := range []map[int]int64{{}, {0: 1}, {TimeBuckets - 1: 7}, {3: 2, 9: 1 << 40}, {0: 1, TimeBuckets - 1: 2}} {
		sent := Evidence{"r": {Old: Counts{Answers: 300, Failures: 2}}}
		counts := sent["r"]
		for i, n := range times {
			counts.New.Times[i] = n
		}
		sent["r"] = counts
		data, err := msgpack.Marshal([]Report{{ID: 1, Evidence: sent}})
		g.Expect(err).NotTo(HaveOccurred())
		var received []Report
		g.Expect(msgpack.Unmarshal(data, &received)).To(Succeed())
		g.Expect(received[0].Evidence).To(Equal(sent))
	}
	for _, numbers := range [][]int{{}, {1, 2}, {1, 2, -1, 4}, {1, 2, 24, 4}, make([]int, 28)} {
		data, err := msgpack.Marshal(numbers)
		g.Expect(err).NotTo(HaveOccurred())
		var counts Counts
		g.Expect(msgpack.Unmarshal(data, &counts)).To(MatchError(&CountsError{len(numbers)}))
	}
}
