package replica_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/replica"
)

func promotion(n int) port.PromoteRequest {
	return port.PromoteRequest{
		OperationID: fmt.Sprintf("op%d", n), Expect: uint64(n - 1), Document: fmt.Appendf(nil, "doc %d", n), Operator: "x",
	}
}

// TestLeaderStopped guards against claims that are lost or granted twice when the
// leader stops under load, and against requests that fail because the election takes
// too long.
func TestLeaderStopped(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx := context.Background()
	granted := sync.Map{}
	var failures atomic.Int64
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for w := range 8 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := c.client()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("k%d-%d", w, i)
				result, err := client.Claim(ctx, claimRequest(key, key))
				if err != nil {
					failures.Add(1)
				} else if result.State == port.ClaimGranted {
					granted.Store(key, true)
				}
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	c.stop(c.leader())
	time.Sleep(2500 * time.Millisecond)
	close(stop)
	wait.Wait()
	c.g.Expect(failures.Load()).To(BeZero())
	client, count := c.client(), 0
	granted.Range(func(key, _ any) bool {
		count++
		if count%20 == 0 {
			result, err := client.Claim(ctx, claimRequest(key.(string), "other"))
			c.g.Expect(err).NotTo(HaveOccurred())
			c.g.Expect(result.State).To(Equal(port.ClaimRunning))
		}
		return true
	})
	t.Logf("%d claims granted", count)
}

// TestSecondLossAfterRepair guards against the loss of committed entries when one
// replica restarts with an empty folder, catches up and becomes a voter, and a second
// replica is lost right after that.
func TestSecondLossAfterRepair(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx, client := context.Background(), c.client()
	for n := 1; n <= 20; n++ {
		_, err := client.Promote(ctx, promotion(n))
		c.g.Expect(err).NotTo(HaveOccurred())
	}
	first := (c.leader() + 1) % 3
	lostID := c.nodes[first].ID()
	c.stopAndWipe(first)
	_, err := client.Promote(ctx, promotion(21))
	c.g.Expect(err).NotTo(HaveOccurred())
	c.start(first)
	c.g.Eventually(func() bool {
		s := c.status(c.leader())
		if s == nil {
			return false
		}
		return !s.Config.IsVoter(lostID) && s.Config.IsVoter(c.nodes[first].ID()) && len(s.Config.Voters) == 3
	}, "20s", "50ms").Should(BeTrue())
	c.g.Expect(c.nodes[first].ID()).NotTo(Equal(lostID))
	c.stopAndWipe(c.leader())
	g, err := client.Current(ctx)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(g.Number).To(BeEquivalentTo(21))
	again, err := client.Promote(ctx, promotion(21))
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(again.Number).To(BeEquivalentTo(21))
}

// TestRestartAfterManyChanges guards against state that is lost or reverted by a
// restart of all replicas after snapshots were taken and log segments removed.
func TestRestartAfterManyChanges(t *testing.T) {
	c := newCluster(t, 3, func(o *replica.Options) { o.SnapshotEntries, o.KeepEntries = 150, 20 })
	ctx, client := context.Background(), c.client()
	for n := 1; n <= 1000; n++ {
		_, err := client.Promote(ctx, promotion(n))
		c.g.Expect(err).NotTo(HaveOccurred())
	}
	for i := range 3 {
		c.stop(i)
	}
	for i := range 3 {
		c.start(i)
	}
	g, err := client.Current(ctx)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(g.Number).To(BeEquivalentTo(1000))
	early, err := client.Promote(ctx, promotion(5))
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(early.Number).To(BeEquivalentTo(5))
	history, err := client.History(ctx, 3)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(history).To(HaveLen(3))
	// A replica that lost its folder now receives a snapshot, because the log no longer
	// contains the first entries.
	lost := (c.leader() + 1) % 3
	c.stopAndWipe(lost)
	c.start(lost)
	c.g.Eventually(func() uint64 {
		if s := c.status(lost); s != nil {
			return s.Generation
		}
		return 0
	}, "10s", "50ms").Should(BeEquivalentTo(1000))
}

// TestConcurrentPromotions guards against two operators whose promotions with the same
// expected generation both succeed, also when they resend them.
func TestConcurrentPromotions(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx := context.Background()
	for round := range 10 {
		var wins atomic.Int64
		var wait sync.WaitGroup
		for operator := range 5 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				client := c.client()
				req := port.PromoteRequest{
					OperationID: fmt.Sprintf("r%d-o%d", round, operator), Expect: uint64(round),
					Document: []byte{byte(operator)}, Operator: fmt.Sprint(operator),
				}
				first, firstErr := client.Promote(ctx, req)
				second, secondErr := client.Promote(ctx, req)
				if first.Number != second.Number || fmt.Sprint(firstErr) != fmt.Sprint(secondErr) {
					t.Errorf("the resend returned %v %v, the first request returned %v %v", second, secondErr, first, firstErr)
				}
				var conflict *port.ConflictError
				if firstErr == nil {
					wins.Add(1)
				} else if !errors.As(firstErr, &conflict) {
					t.Errorf("unexpected error %v", firstErr)
				}
			}()
		}
		wait.Wait()
		c.g.Expect(wins.Load()).To(BeEquivalentTo(1))
	}
	_, err := c.client().Promote(ctx, port.PromoteRequest{OperationID: "r0-o0", Expect: 10})
	var reused *port.OperationReusedError
	c.g.Expect(errors.As(err, &reused)).To(BeTrue())
}

// TestIsolatedLeader guards against a leader that serves stale reads after it was cut
// off, and against a NoQuorumError with a wrong Proposed field.
func TestIsolatedLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx, client := context.Background(), c.client()
	_, err := client.Promote(ctx, promotion(1))
	c.g.Expect(err).NotTo(HaveOccurred())
	oldLeader := c.leader()
	// Only messages sent by the leader are lost. It still receives messages.
	for i := range c.addr {
		c.faults.setCut(c.addr[oldLeader], c.addr[i], i != oldLeader)
	}
	g, err := client.Promote(ctx, promotion(2))
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(g.Number).To(BeEquivalentTo(2))
	oldLeaderClient := replica.NewClient(replica.DefaultGroup, []string{c.addr[oldLeader]}, c.caller)
	readCtx, cancelRead := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancelRead()
	if g, err := oldLeaderClient.Current(readCtx); err == nil {
		c.g.Expect(g.Number).To(BeEquivalentTo(2))
	}
	c.g.Eventually(func() string { return c.status(oldLeader).Role }, "5s", "50ms").ShouldNot(Equal("leader"))
	for i := range c.addr {
		c.faults.setCut(c.addr[i], c.addr[oldLeader], i != oldLeader)
	}
	c.g.Eventually(func() string { return c.status(oldLeader).Leader }, "5s", "50ms").Should(BeEmpty())
	var failure *port.NoQuorumError
	// The new client only knows the address of the old leader.
	oldLeaderClient = replica.NewClient(replica.DefaultGroup, []string{c.addr[oldLeader]}, c.caller)
	claimCtx, cancelClaim := context.WithTimeout(ctx, 2*time.Second)
	defer cancelClaim()
	_, err = oldLeaderClient.Claim(claimCtx, claimRequest("k", "a"))
	c.g.Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
	c.g.Expect(failure.Proposed).To(BeFalse(), "%v", err)
	unreachableClient := replica.NewClient(replica.DefaultGroup, []string{"127.0.0.1:1"}, c.caller)
	_, err = unreachableClient.Claim(claimCtx, claimRequest("k", "a"))
	c.g.Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
	c.g.Expect(failure.Proposed).To(BeFalse())
}

// TestWatchAndLease guards against a watch that misses a generation, against a lease
// with two holders at the same time, and against a released lease that cannot be
// acquired again.
func TestWatchAndLease(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx := context.Background()
	seen := make(chan port.Generation, 1)
	go func() {
		g, _ := c.client().Watch(ctx, 0)
		seen <- g
	}()
	_, err := c.client().Promote(ctx, promotion(1))
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Eventually(seen, "5s").Should(Receive(HaveField("Number", BeEquivalentTo(1))))

	a, b := c.client(), c.client()
	first, err := a.AcquireLease(ctx, "controller", "a", 700*time.Millisecond)
	c.g.Expect(err).NotTo(HaveOccurred())
	start := time.Now()
	c.g.Expect(first.Granted).To(BeTrue())
	other, err := b.AcquireLease(ctx, "controller", "b", time.Second)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(other.Granted).To(BeFalse())
	c.g.Expect(other.Holder).To(Equal("a"))
	renewed, err := a.AcquireLease(ctx, "controller", "a", 700*time.Millisecond)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(renewed.FencingNumber).To(Equal(first.FencingNumber))
	c.g.Eventually(func() bool {
		other, err = b.AcquireLease(ctx, "controller", "b", time.Second)
		return err == nil && other.Granted
	}, "5s", "10ms").Should(BeTrue())
	c.g.Expect(time.Since(start)).To(BeNumerically(">=", 700*time.Millisecond))
	c.g.Expect(other.FencingNumber).To(BeNumerically(">", first.FencingNumber))
	c.g.Expect(b.ReleaseLease(ctx, "controller", "b")).To(Succeed())
	again, err := a.AcquireLease(ctx, "controller", "a", time.Second)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(again.Granted).To(BeTrue())
}

// TestLeaderAsksItselfFirst guards against a new leader whose own requests wait for the
// reply of the former leader. This had stopped the duties of a gateway for 1.7 s after
// the loss of a leader.
func TestLeaderAsksItselfFirst(t *testing.T) {
	c := newCluster(t, 3, nil)
	ctx := context.Background()
	oldLeader := c.leader()
	for _, node := range c.nodes {
		_, err := node.AcquireLease(ctx, "duties", "probe", time.Millisecond)
		c.g.Expect(err).NotTo(HaveOccurred())
	}
	for i := range c.nodes {
		c.faults.setCut(c.addr[i], c.addr[oldLeader], true)
		c.faults.setCut(c.addr[oldLeader], c.addr[i], true)
	}
	newLeader := oldLeader
	c.g.Eventually(func() int {
		for i := range c.nodes {
			if i != oldLeader && c.nodes[i].ConfirmLeadership(ctx) == nil {
				newLeader = i
			}
		}
		return newLeader
	}, "10s", "10ms").ShouldNot(Equal(oldLeader))
	start := time.Now()
	_, err := c.nodes[newLeader].AcquireLease(ctx, "duties", "probe", time.Millisecond)
	c.g.Expect(err).NotTo(HaveOccurred())
	c.g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
}
