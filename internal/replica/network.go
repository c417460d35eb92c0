package replica

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// sendTimeout bounds the time that a send may hang. Raft repeats lost messages.
	sendTimeout = time.Second
	// snapshotChunkBytes is the size of the snapshot data in one message.
	snapshotChunkBytes = 1 << 20
	// snapshotChunkTimeout bounds the transfer of one chunk over a slow connection.
	snapshotChunkTimeout = 10 * time.Second
	// maxSnapshotBytes is the largest snapshot that a receiver accepts.
	maxSnapshotBytes = 1 << 30
	// maxMessagesPerSend is the maximum number of raft messages in one send. No further
	// message is added to a send of maxBytesPerSend: each byte is held several times
	// while it is encoded, and for each member.
	maxMessagesPerSend = 64
	maxBytesPerSend    = maxAppendBytes
)

// network sends and receives raft messages. One goroutine per member keeps the messages
// to that member in order.
type network struct {
	replica *Replica
	caller  port.PeerCaller

	mu        sync.Mutex
	addresses map[raft.ID]string
	queues    map[raft.ID]chan raft.Message
	leader    raft.ID
	// partialSnapshots holds incomplete snapshots by sender.
	partialSnapshots map[raft.ID][]byte
	senders          sync.WaitGroup
}

func newNetwork(replica *Replica) *network {
	return &network{
		replica: replica, caller: replica.opts.Caller, addresses: map[raft.ID]string{},
		queues: map[raft.ID]chan raft.Message{}, partialSnapshots: map[raft.ID][]byte{},
	}
}

func (n *network) close() { n.senders.Wait() }

func (n *network) setAddress(id raft.ID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if id != 0 && address != "" {
		n.addresses[id] = address
	}
}

func (n *network) address(id raft.ID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addresses[id]
}

func (n *network) setLeader(id raft.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader = id
}

// leaderAddress returns the address of the leader, or "" if it is unknown.
func (n *network) leaderAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == n.replica.identity.Replica {
		return n.replica.opts.Address
	}
	return n.addresses[n.leader]
}

// memberAddresses returns the addresses of all members seen so far.
func (n *network) memberAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]string, 0, len(n.addresses))
	for _, address := range n.addresses {
		list = append(list, address)
	}
	slices.Sort(list)
	return list
}

func (n *network) send(messages []raft.Message) {
	for _, m := range messages {
		if m.Kind == raft.MsgSnapshot {
			n.startSnapshot(m)
			continue
		}
		select {
		case n.queue(m.To) <- m:
		default: // The queue of the member is full. Raft sends the message again.
		}
	}
}

// retain forgets all replicas but the given members and the leader: their addresses, and the
// queues and goroutines that send to them. VMs are replaced all the time, and each queue takes
// most of a megabyte. The event loop calls it, which alone writes to queues.
func (n *network) retain(members []raft.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isGone := func(id raft.ID) bool {
		return id != n.leader && !slices.ContainsFunc(members, func(m raft.Member) bool { return m.ID == id })
	}
	for id, queue := range n.queues {
		if isGone(id) {
			close(queue)
			delete(n.queues, id)
		}
	}
	maps.DeleteFunc(n.addresses, func(id raft.ID, _ string) bool { return isGone(id) })
	maps.DeleteFunc(n.partialSnapshots, func(id raft.ID, _ []byte) bool { return isGone(id) })
}

// queue returns the send queue of a member. On the first call for the member it creates
// the queue and starts the sending goroutine.
func (n *network) queue(id raft.ID) chan raft.Message {
	if address, ok := n.replica.raft.Address(id); ok {
		n.setAddress(id, address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.queues[id]
	if queue == nil {
		queue = make(chan raft.Message, queueLength)
		n.queues[id] = queue
		n.senders.Add(1)
		go n.sendLoop(id, queue)
	}
	return queue
}

func (n *network) sendLoop(id raft.ID, queue chan raft.Message) {
	defer n.senders.Done()
	for {
		var batch []raft.Message
		select {
		case m, open := <-queue:
			if !open {
				return
			}
			batch = append(batch, m)
		case <-n.replica.ctx.Done():
			return
		}
		size := batch[0].Bytes()
		for len(queue) > 0 && len(batch) < maxMessagesPerSend && size < maxBytesPerSend {
			m, open := <-queue
			if !open {
				break
			}
			size += m.Bytes()
			batch = append(batch, m)
		}
		n.sendBatch(id, batch)
	}
}

func (n *network) sendBatch(id raft.ID, messages []raft.Message) {
	address := n.address(id)
	if address == "" {
		return
	}
	params := marshal(&stepParams{Cluster: n.replica.clusterID.Load(), Address: n.replica.opts.Address, Messages: messages})
	ctx, cancel := context.WithTimeout(n.replica.ctx, sendTimeout)
	defer cancel()
	if err := n.caller.Notify(ctx, address, MethodStep, params); err != nil {
		n.replica.log.Debug("Raft messages not sent.", zap.String("address", address), zap.Error(err))
	}
}

func (n *network) startSnapshot(m raft.Message) {
	if address, ok := n.replica.raft.Address(m.To); ok {
		n.setAddress(m.To, address)
	}
	n.senders.Add(1)
	go func() {
		defer n.senders.Done()
		err := n.sendSnapshot(m)
		if err != nil {
			n.replica.log.Warn("Snapshot transfer failed.", zap.Uint64("replica", uint64(m.To)), zap.Error(err))
		}
		n.replica.submit(func() { n.replica.raft.ReportSnapshot(m.To, err == nil) })
	}()
}

func (n *network) sendSnapshot(m raft.Message) error {
	snapshot, err := n.replica.wal.ReadSnapshot()
	if err != nil {
		return err
	}
	data := snapshot.Data
	snapshot.Data = nil
	m.Snapshot = &snapshot
	for offset := 0; offset == 0 || offset < len(data); offset += snapshotChunkBytes {
		chunk := data[offset:min(offset+snapshotChunkBytes, len(data))]
		params := marshal(&snapshotParams{
			Cluster: n.replica.clusterID.Load(), Address: n.replica.opts.Address, Message: m,
			Offset: offset, Total: len(data), Data: chunk,
		})
		ctx, cancel := context.WithTimeout(n.replica.ctx, snapshotChunkTimeout)
		_, err := n.caller.Call(ctx, n.address(m.To), MethodSnapshot, params)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// handleStep receives raft messages.
func (n *network) handleStep(_ context.Context, params []byte) ([]byte, error) {
	var p stepParams
	if err := unmarshal(params, &p); err != nil {
		return nil, err
	}
	if p.Cluster == 0 || p.Cluster != n.replica.clusterID.Load() {
		return nil, nil
	}
	for _, m := range p.Messages {
		n.setAddress(m.From, p.Address)
		n.deliver(m)
	}
	return nil, nil
}

func (n *network) deliver(m raft.Message) {
	select {
	case n.replica.messages <- m:
	default: // The queue of this replica is full. Raft sends the message again.
	}
}

// handleSnapshot receives the chunks of a snapshot, which must arrive in order.
func (n *network) handleSnapshot(_ context.Context, params []byte) ([]byte, error) {
	var p snapshotParams
	if err := unmarshal(params, &p); err != nil {
		return nil, err
	}
	if p.Cluster == 0 || p.Cluster != n.replica.clusterID.Load() || p.Message.Snapshot == nil {
		return nil, &ReplyError{Code: CodeInvalid, Reason: "snapshot of another cluster"}
	}
	n.setAddress(p.Message.From, p.Address)
	n.mu.Lock()
	if p.Offset == 0 {
		n.partialSnapshots[p.Message.From] = nil
	}
	collected := n.partialSnapshots[p.Message.From]
	if p.Offset != len(collected) || p.Total > maxSnapshotBytes {
		n.mu.Unlock()
		return nil, &ReplyError{Code: CodeInvalid, Reason: "piece of a snapshot out of order"}
	}
	collected = append(collected, p.Data...)
	complete := len(collected) >= p.Total
	n.partialSnapshots[p.Message.From] = collected
	if complete {
		delete(n.partialSnapshots, p.Message.From)
	}
	n.mu.Unlock()
	if complete {
		p.Message.Snapshot.Data = collected
		n.deliver(p.Message)
	}
	return nil, nil
}
