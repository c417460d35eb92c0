package replica_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/replica"
)

// catchUpTime is the time after the start of a successor after which the next replica may
// be lost.
const catchUpTime = 4 * time.Second

// placeBackTime is how long a replica that was cut off may take to be a voter again: a quarter of
// catchUpTime, since entries and endpoints that use it wait as long.
const placeBackTime = catchUpTime / 4

// replace ends a replica for good and starts an empty one at another address after a pause.
func (c *cluster) replace(i int, pause time.Duration) {
	c.stop(i)
	time.Sleep(pause)
	c.add()
}

// add starts an empty replica at another address and returns its index.
func (c *cluster) add() int {
	p, err := newPeer("127.0.0.1:0", c.faults)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.peers = append(c.peers, p)
	c.addr = append(c.addr, p.address)
	c.folders = append(c.folders, c.t.TempDir())
	c.nodes = append(c.nodes, nil)
	added := len(c.nodes) - 1
	c.start(added)
	return added
}

// TestCutOffReplicaGetsItsPlaceBack guards against a replica that was removed while it was cut
// off and is no voter again by the time that the next replica may be lost.
func TestCutOffReplicaGetsItsPlaceBack(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, func(o *replica.Options) { o.Voters = 5 })
	leader := c.leader()
	cutOff := (leader + 1) % 4
	cut := func(isCut bool) {
		for i := range c.nodes {
			c.faults.setCut(c.addr[i], c.addr[cutOff], isCut)
			c.faults.setCut(c.addr[cutOff], c.addr[i], isCut)
		}
	}
	isVoter := func() bool {
		s := c.status(leader)
		return s != nil && s.Config.IsVoter(c.nodes[cutOff].ID())
	}
	cut(true)
	c.g.Eventually(isVoter, "10s", "20ms").Should(BeFalse())
	time.Sleep(time.Second)
	cut(false)
	c.g.Eventually(isVoter, placeBackTime, "20ms").Should(BeTrue())
}

// TestJoinThroughNewSeeds guards against an empty replica that never joins because the replicas
// that it was told at its start were all replaced before it reached them.
func TestJoinThroughNewSeeds(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, func(o *replica.Options) { o.Voters = 5 })
	group := slices.Clone(c.addr)
	gone, err := newPeer("127.0.0.1:0", c.faults)
	c.g.Expect(err).NotTo(HaveOccurred())
	gone.close()
	c.adjustOptions = func(o *replica.Options) { o.Voters, o.Peers = 5, []string{gone.address} }
	added := c.add()
	c.g.Consistently(func() *replica.Status { return c.status(added) }, "500ms", "50ms").Should(BeNil())
	c.nodes[added].SetPeers(group)
	c.waitVoters(4)
}

// TestJoinPastReplicasThatAreGone guards against a replica that spends the time in which the
// group bears no further loss on addresses that never answer.
func TestJoinPastReplicasThatAreGone(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, func(o *replica.Options) { o.Voters = 5 })
	peers := slices.Clone(c.addr)
	for range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = listener.Close() })
		// Connections to it are established and never answered.
		peers = append([]string{listener.Addr().String()}, peers...)
	}
	c.adjustOptions = func(o *replica.Options) { o.Voters, o.Peers = 5, peers }
	added := c.add()
	c.g.Eventually(func() *replica.Status { return c.status(added) }, "2s", "20ms").ShouldNot(BeNil())
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
