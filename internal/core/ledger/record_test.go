package ledger_test

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/port"
)

// Guards against two values that were both acknowledged for one revision, against an
// acknowledged value that a later or repeated write replaces, and against a replica that
// restarts from a snapshot and then differs from the others.
func TestRecordsAreComparedAndSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		steady, restarting := ledger.New(), ledger.New()
		acknowledged, newest := map[string][]byte{}, map[string]uint64{}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for index := range uint64(steps) {
			series := rapid.SampledFrom([]string{"r/a", "r/b", "usage"}).Draw(t, "series")
			// A writer may have read the newest revision or an older one.
			revision := newest[series] + 1 - rapid.Uint64Range(0, newest[series]).Draw(t, "behind")
			value := []byte(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "value"))
			c := ledger.Command{Record: &port.RecordRequest{Series: series, Key: revision, Value: value}}
			data, err := c.Encode()
			g.Expect(err).NotTo(HaveOccurred())
			stored := steady.Apply(index+1, data).Record.Value
			g.Expect(restarting.Apply(index+1, data).Record.Value).To(Equal(stored))
			name := fmt.Sprint(series, revision)
			if first, known := acknowledged[name]; known {
				g.Expect(stored).To(Equal(first))
			} else {
				g.Expect(stored).To(Equal(value))
			}
			acknowledged[name] = stored
			newest[series] = max(newest[series], revision)
			if rapid.Bool().Draw(t, "restart") {
				snapshot := restarting.Snapshot()
				restarting = ledger.New()
				g.Expect(restarting.Restore(snapshot)).To(Succeed())
			}
		}
		g.Expect(bytes.Equal(steady.Snapshot(), restarting.Snapshot())).To(BeTrue())
		for _, r := range restarting.NewestRecords("r/") {
			g.Expect(r.Series).To(HavePrefix("r/"))
			g.Expect(r.Key).To(Equal(newest[r.Series]))
			g.Expect(r.Value).To(Equal(acknowledged[fmt.Sprint(r.Series, r.Key)]))
		}
	})
}

// Guards against a late write of a revision whose record was removed, which would take the
// place of the one that was acknowledged.
func TestRemovedRecordIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	s := ledger.New()
	apply := func(key uint64) ledger.Outcome {
		c := ledger.Command{Record: &port.RecordRequest{Series: "r/a", Key: key, Value: []byte{byte(key)}}}
		data, err := c.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		return s.Apply(key, data)
	}
	for key := range uint64(300) {
		g.Expect(apply(key + 1).Err()).NotTo(HaveOccurred())
	}
	g.Expect(apply(1).Err()).To(HaveOccurred())
	g.Expect(s.NewestRecords("r/")).To(HaveLen(1))
	g.Expect(s.NewestRecords("r/")[0].Key).To(BeEquivalentTo(300))
}
