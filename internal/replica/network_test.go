package replica

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/raft"
)

// recordingCaller records the size of each notification.
type recordingCaller struct {
	mu       sync.Mutex
	messages int
	largest  int
}

func (*recordingCaller) Call(context.Context, string, string, []byte) ([]byte, error) {
	return nil, nil
}

func (c *recordingCaller) Notify(_ context.Context, _, _ string, params []byte) error {
	var p stepParams
	if err := unmarshal(params, &p); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.messages += len(p.Messages)
	c.largest = max(c.largest, len(params))
	return nil
}

// Guards against a follower that catches up on large documents and gets them in one
// message, which is held several times while it is encoded.
func TestSendsOfLargeEntriesAreBounded(t *testing.T) {
	g := NewWithT(t)
	caller := &recordingCaller{}
	r := &Replica{opts: Options{Address: "127.0.0.1:1", Caller: caller, Log: zap.NewNop()}, log: zap.NewNop()}
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(t.Context())
	n := newNetwork(r)
	n.setAddress(2, "127.0.0.2:1")
	const count, entryBytes = 40, 450 << 10
	queue := make(chan raft.Message, count)
	for i := range count {
		queue <- raft.Message{Kind: raft.MsgAppend, To: 2, Entries: []raft.Entry{{Index: uint64(i), Data: make([]byte, entryBytes)}}}
	}
	n.senders.Add(1)
	go n.sendLoop(2, queue)
	g.Eventually(func() int {
		caller.mu.Lock()
		defer caller.mu.Unlock()
		return caller.messages
	}, 5*time.Second).Should(Equal(count))
	cancel()
	n.close()
	g.Expect(caller.largest).To(BeNumerically("<", maxBytesPerSend+2*entryBytes))
}

// Guards against a replica that keeps a queue, a goroutine and an address for each of the
// hundreds of replicas that were replaced while it ran.
func TestFormerMembersAreForgotten(t *testing.T) {
	g := NewWithT(t)
	r := &Replica{opts: Options{Address: "127.0.0.1:1", Caller: &recordingCaller{}, Log: zap.NewNop()}, log: zap.NewNop()}
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithCancel(t.Context())
	defer cancel()
	node, err := raft.New(raft.Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Rand: func(int) int { return 0 }})
	g.Expect(err).NotTo(HaveOccurred())
	r.raft = node
	n := newNetwork(r)
	const former = 300
	for id := raft.ID(2); id <= former; id++ {
		n.setAddress(id, "127.0.0.2:1")
		n.send([]raft.Message{{Kind: raft.MsgHeartbeat, To: id}})
	}
	n.setLeader(2)
	n.retain([]raft.Member{{ID: 1}, {ID: 3}})
	g.Expect(n.queues).To(HaveLen(2))
	g.Expect(n.addresses).To(HaveLen(2))
	n.retain(nil)
	g.Expect(n.queues).To(HaveLen(1))
	n.setLeader(0)
	n.retain(nil)
	// Returns only if all goroutines have ended, although the replica runs on.
	n.close()
}
