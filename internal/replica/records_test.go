package replica_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/port"
)

// Guards against an acknowledged record that a read misses, and against one that the loss of
// the leader, of a disk or of all processes takes away.
func TestRecordsOutliveLosses(t *testing.T) {
	c := newCluster(t, 3, nil)
	client := c.client()
	newest := func() string {
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		list, err := client.NewestRecords(ctx, "r/")
		if err != nil || len(list) != 1 {
			return ""
		}
		return string(list[0].Value)
	}
	write := func(key uint64, value string) {
		c.g.Eventually(func() (string, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			stored, err := client.Record(ctx, port.RecordRequest{Series: "r/a", Key: key, Value: []byte(value)})
			return string(stored), err
		}, "20s").Should(Equal(value))
	}
	write(1, "one")
	c.g.Expect(newest()).To(Equal("one"))
	leader := c.leader()
	c.stop(leader)
	write(2, "two")
	c.start(leader)
	c.waitVoters(3)
	for i := range c.nodes {
		c.stop(i)
	}
	c.stopAndWipe(0)
	for i := range c.nodes {
		c.start(i)
	}
	c.g.Eventually(newest, "20s", "50ms").Should(Equal("two"))
	for _, n := range c.nodes {
		c.g.Eventually(func() string {
			list, _ := n.AppliedRecords()
			if len(list) != 1 {
				return ""
			}
			return string(list[0].Value)
		}, "20s", "50ms").Should(Equal("two"))
	}
}
