package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// sendTimeout bounds a hanging connection; the consensus repeats what it loses.
	sendTimeout = time.Second
	// snapshotPiece is the size of one message of a snapshot.
	snapshotPiece = 1 << 20
	// snapshotPieceTimeout bounds one piece on a slow path.
	snapshotPieceTimeout = 10 * time.Second
	// maxSnapshot bounds what a receiver collects.
	maxSnapshot = 1 << 30
	// maxMessagesPerSend bounds one batch of messages.
	maxMessagesPerSend = 64
)

// network sends messages of the consensus: one goroutine per member keeps their order.
type network struct {
	r      *Replica
	caller port.PeerCaller

	mu        sync.Mutex
	addresses map[raft.ID]string
	queues    map[raft.ID]chan raft.Message
	leader    raft.ID
	// partial collects snapshots by their sender.
	partial map[raft.ID][]byte
	wait    sync.WaitGroup
}

func newNetwork(r *Replica) *network {
	return &network{
		r: r, caller: r.opts.Caller, addresses: map[raft.ID]string{},
		queues: map[raft.ID]chan raft.Message{}, partial: map[raft.ID][]byte{},
	}
}

func (n *network) close() { n.wait.Wait() }

func (n *network) learn(id raft.ID, address string) {
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

// leaderAddress returns where the known leader is, or "".
func (n *network) leaderAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == n.r.identity.Replica {
		return n.r.opts.Address
	}
	return n.addresses[n.leader]
}

// known returns all addresses that were learned.
func (n *network) known() []string {
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
		default: // The member does not keep up; the consensus repeats.
		}
	}
}

// queue returns the queue of a member and starts its goroutine.
func (n *network) queue(id raft.ID) chan raft.Message {
	if member, ok := n.r.raft.Address(id); ok {
		n.learn(id, member)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	queue := n.queues[id]
	if queue == nil {
		queue = make(chan raft.Message, queueLength)
		n.queues[id] = queue
		n.wait.Add(1)
		go n.sender(id, queue)
	}
	return queue
}

func (n *network) sender(id raft.ID, queue chan raft.Message) {
	defer n.wait.Done()
	for {
		var list []raft.Message
		select {
		case m := <-queue:
			list = append(list, m)
		case <-n.r.ctx.Done():
			return
		}
		for len(queue) > 0 && len(list) < maxMessagesPerSend {
			list = append(list, <-queue)
		}
		n.notify(id, list)
	}
}

func (n *network) notify(id raft.ID, list []raft.Message) {
	address := n.address(id)
	if address == "" {
		return
	}
	params := marshal(&stepParams{Cluster: n.r.cluster.Load(), Address: n.r.opts.Address, List: list})
	ctx, cancel := context.WithTimeout(n.r.ctx, sendTimeout)
	defer cancel()
	if err := n.caller.Notify(ctx, address, MethodStep, params); err != nil {
		n.r.log.Debug("Message not sent.", zap.String("address", address), zap.Error(err))
	}
}

func (n *network) startSnapshot(m raft.Message) {
	if member, ok := n.r.raft.Address(m.To); ok {
		n.learn(m.To, member)
	}
	n.wait.Add(1)
	go func() {
		defer n.wait.Done()
		err := n.sendSnapshot(m)
		if err != nil {
			n.r.log.Warn("Snapshot not delivered.", zap.Uint64("replica", uint64(m.To)), zap.Error(err))
		}
		n.r.submit(func() { n.r.raft.ReportSnapshot(m.To, err == nil) })
	}()
}

func (n *network) sendSnapshot(m raft.Message) error {
	snapshot, err := n.r.wal.ReadSnapshot()
	if err != nil {
		return err
	}
	data := snapshot.Data
	snapshot.Data = nil
	m.Snapshot = &snapshot
	for offset := 0; offset == 0 || offset < len(data); offset += snapshotPiece {
		piece := data[offset:min(offset+snapshotPiece, len(data))]
		params := marshal(&snapshotParams{
			Cluster: n.r.cluster.Load(), Address: n.r.opts.Address, Message: m,
			Offset: offset, Total: len(data), Data: piece,
		})
		ctx, cancel := context.WithTimeout(n.r.ctx, snapshotPieceTimeout)
		_, err := n.caller.Call(ctx, n.address(m.To), MethodSnapshot, params)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// handleStep takes messages of the consensus.
func (n *network) handleStep(_ context.Context, params []byte) ([]byte, error) {
	var p stepParams
	if err := unmarshal(params, &p); err != nil {
		return nil, err
	}
	if p.Cluster == 0 || p.Cluster != n.r.cluster.Load() {
		return nil, nil
	}
	for _, m := range p.List {
		n.learn(m.From, p.Address)
		n.deliver(m)
	}
	return nil, nil
}

func (n *network) deliver(m raft.Message) {
	select {
	case n.r.messages <- m:
	default: // The replica does not keep up; the consensus repeats.
	}
}

// handleSnapshot collects the pieces of a snapshot in order.
func (n *network) handleSnapshot(_ context.Context, params []byte) ([]byte, error) {
	var p snapshotParams
	if err := unmarshal(params, &p); err != nil {
		return nil, err
	}
	if p.Cluster == 0 || p.Cluster != n.r.cluster.Load() || p.Message.Snapshot == nil {
		return nil, &ReplyError{Code: CodeInvalid, Reason: "snapshot of another cluster"}
	}
	n.learn(p.Message.From, p.Address)
	n.mu.Lock()
	if p.Offset == 0 {
		n.partial[p.Message.From] = nil
	}
	collected := n.partial[p.Message.From]
	if p.Offset != len(collected) || p.Total > maxSnapshot {
		n.mu.Unlock()
		return nil, &ReplyError{Code: CodeInvalid, Reason: "piece of a snapshot out of order"}
	}
	collected = append(collected, p.Data...)
	complete := len(collected) >= p.Total
	n.partial[p.Message.From] = collected
	if complete {
		delete(n.partial, p.Message.From)
	}
	n.mu.Unlock()
	if complete {
		p.Message.Snapshot.Data = collected
		n.deliver(p.Message)
	}
	return nil, nil
}
