package replica_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/replica"
)

// catchUpTime is the time after the start of a successor after which the next replica may
// be lost.
const catchUpTime = 4 * time.Second

// replace ends a replica for good and starts an empty one at another address after a pause.
func (c *cluster) replace(i int, pause time.Duration) {
	c.stop(i)
	time.Sleep(pause)
	p, err := newPeer("127.0.0.1:0", c.faults)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.peers = append(c.peers, p)
	c.addr = append(c.addr, p.address)
	c.folders = append(c.folders, c.t.TempDir())
	c.nodes = append(c.nodes, nil)
	c.start(len(c.nodes) - 1)
}

// TestAllReplicasAreReplacedInTurn guards against a group that loses its quorum for good
// while its replicas are replaced one after the other, each as soon as the successor of the
// one before has had the time to catch up: voters that are gone must not count towards the
// majority any longer. The leader goes each time.
func TestAllReplicasAreReplacedInTurn(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 4} {
		t.Run(map[int]string{3: "three replicas", 4: "four replicas"}[size], func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size, func(o *replica.Options) { o.Voters = 5 })
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			for n := 1; n <= size+1; n++ {
				if n > 1 {
					c.replace(c.leader(), time.Second)
				}
				started := time.Now()
				_, err := c.client().Promote(ctx, promotion(n))
				c.g.Expect(err).NotTo(HaveOccurred(), "change %d is not acknowledged", n)
				time.Sleep(time.Until(started.Add(catchUpTime)))
			}
			current, err := c.client().Current(ctx)
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(current.Number).To(BeEquivalentTo(size + 1))
			c.waitVoters(size)
		})
	}
}
