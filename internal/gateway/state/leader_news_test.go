package state_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/link"
)

// Guards against entries that learn of the loss or the election of a leader a whole wait of a
// poll late, and divide the common quotas beside the new leader meanwhile.
func TestPollTellsAChangeOfTheLeaderAtOnce(t *testing.T) {
	gr := newGroup(t)
	gr.eventuallyPut("127.0.0.1", document(10, "ten"))
	leader := gr.poll("127.0.0.1", &link.PollRequest{Entry: "e"}).Leader
	gr.g.Expect(leader).NotTo(BeEmpty())
	leaderIP, _, err := net.SplitHostPort(leader)
	gr.g.Expect(err).NotTo(HaveOccurred())
	follower := "127.0.0.1"
	if leaderIP == follower {
		follower = "127.0.0.2"
	}
	known := gr.poll(follower, &link.PollRequest{Entry: "e"})
	request := &link.PollRequest{
		Entry: "e", Generation: known.Generation, ReplicaRun: known.ReplicaRun, RegistryVersion: known.RegistryVersion, WaitMS: 2500,
	}
	gr.stop(leaderIP)
	stoppedAt := time.Now()
	reply := known
	for reply.Leader == leader && time.Since(stoppedAt) < 5*time.Second {
		reply = gr.poll(follower, request)
	}
	gr.g.Expect(reply.Leader).NotTo(Equal(leader))
	gr.g.Expect(time.Since(stoppedAt)).To(BeNumerically("<", 2*time.Second))
}
