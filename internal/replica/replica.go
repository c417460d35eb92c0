package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/wal"
	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
)

// Replica is a running copy of the replicated state.
type Replica struct {
	*Client
	opts Options
	log  *zap.Logger
	wal  *wal.Log
	// recovered is what the data folder contained at the start. It is nil once the
	// event loop runs.
	recovered *wal.Recovered
	identity  wal.Identity
	clusterID atomic.Uint64

	messages  chan raft.Message
	proposals chan *proposal
	// loopCalls are functions that the event loop executes.
	loopCalls chan func()
	cancel    context.CancelFunc
	ctx       context.Context
	done      chan struct{}
	// running is closed once the replica belongs to a cluster and accepts requests.
	running    chan struct{}
	background sync.WaitGroup

	network *network
	watch   watch
	records recordWatch
	// recordsChanged is set while applied records are not yet published. Only the event
	// loop uses it.
	recordsChanged bool

	// Only the event loop uses the fields down to the mutex, except for rejoining.
	raft            *raft.Raft
	ledger          *ledger.State
	pending         map[uint64]*proposal
	reads           map[uint64]*readCall
	lastReadContext uint64
	role            raft.Role
	term            uint64
	// timeReplicatedUntil is the local time up to which the elapsed time has been
	// proposed to the replicated log.
	timeReplicatedUntil time.Time
	// lastLeaderSeen is the last time at which this replica knew a leader.
	lastLeaderSeen time.Time
	// rejoining is set while a request to join the cluster again is in progress.
	rejoining      atomic.Bool
	lastLedgerTick time.Time
	// lastForgotten is when former members were last dropped.
	lastForgotten time.Time
	snapshot      struct {
		index   uint64
		bytes   int
		running bool
	}

	mu      sync.Mutex
	stopErr error
	// peerAddresses are the addresses to join through, beside those of the members.
	peerAddresses []string
}

// proposal is a command or membership change that waits for its outcome.
type proposal struct {
	data  []byte
	lease *ledger.LeaseRequest
	// change is set instead of data for a membership change.
	change *raft.Change
	term   uint64
	answer chan reply
}

type readCall struct {
	view   func() reply
	answer chan reply
}

// Start opens the data folder and runs a replica. It registers the RPC methods of
// the replica on opts.Server, which must not be serving yet.
func Start(opts Options) (*Replica, error) {
	if err := opts.complete(); err != nil {
		return nil, err
	}
	log, recovered, err := wal.Open(opts.FS, RandomID)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		opts: opts, log: opts.Log.Named("[state]"), wal: log, recovered: recovered, identity: recovered.Identity,
		messages: make(chan raft.Message, queueLength), proposals: make(chan *proposal, queueLength),
		loopCalls: make(chan func(), queueLength), done: make(chan struct{}), running: make(chan struct{}),
		ledger: ledger.New(), pending: map[uint64]*proposal{}, reads: map[uint64]*readCall{}, peerAddresses: opts.Peers,
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.clusterID.Store(r.identity.Cluster)
	r.watch.init()
	r.records.init()
	r.network = newNetwork(r)
	r.Client = newClient(opts.Group, r.knownAddresses, &localCaller{r, opts.Caller})
	r.register()
	if recovered.TornBytes > 0 {
		r.log.Warn("Removed incomplete last record from the log.", zap.Int("bytes", recovered.TornBytes))
	}
	go r.run()
	return r, nil
}

// RandomID returns a random replica or cluster ID, which is never 0.
func RandomID() uint64 {
	for {
		var raw [8]byte
		// rand.Read never returns an error. If it fails, the runtime ends the process.
		_, _ = rand.Read(raw[:])
		if id := binary.LittleEndian.Uint64(raw[:]); id != 0 {
			return id
		}
	}
}

// SetPeers replaces the addresses through which the replica joins its cluster, also while it
// tries to.
func (r *Replica) SetPeers(addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerAddresses = slices.Clone(addresses)
}

func (r *Replica) peers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerAddresses
}

// ID returns the replica ID that is stored in the data folder.
func (r *Replica) ID() raft.ID { return r.identity.Replica }

// Done returns a channel that is closed once the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica. It is nil while the replica runs
// and after a Close without an error.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopErr
}

// Close stops the replica immediately. Call Resign first on a leader, so that
// another voter takes over without waiting for an election timeout.
func (r *Replica) Close() error {
	r.cancel()
	<-r.done
	return r.Err()
}

// run joins or bootstraps a cluster if needed and runs the event loop until the
// replica is closed or fails.
func (r *Replica) run() {
	defer close(r.done)
	err := r.enroll()
	if err == nil {
		err = r.startRaft()
	}
	if err == nil {
		close(r.running)
		err = r.loop()
	}
	r.cancel()
	r.failPending(CodeStopped)
	r.background.Wait()
	r.network.close()
	closeErr := r.wal.Close()
	if err == nil {
		err = closeErr
	}
	if err != nil {
		r.log.Error("Replica stopped because of an error.", zap.Error(err))
		r.mu.Lock()
		r.stopErr = &StoppedError{Err: err}
		r.mu.Unlock()
		r.opts.OnStop(r.Err())
	}
}

func (r *Replica) startRaft() error {
	recovered := r.recovered
	r.recovered = nil
	if err := r.ledger.Restore(recovered.Snapshot.Data); err != nil {
		return err
	}
	r.recordsChanged = true
	r.publishRecords()
	r.snapshot.index = recovered.Snapshot.Index
	snapshot := recovered.Snapshot
	snapshot.Data = nil
	node, err := raft.New(raft.Config{
		ID: r.identity.Replica, ElectionTicks: r.opts.ElectionTicks, HeartbeatTicks: r.opts.HeartbeatTicks,
		MaxAppendBytes: maxAppendBytes, AppendBytesPerTick: appendBytesPerTick,
		MaxInflight: maxInflight, MaxUncommittedBytes: maxUncommittedBytes,
		Rand: mathrand.IntN, HardState: recovered.HardState, Snapshot: snapshot, Entries: recovered.Entries,
	})
	r.raft = node
	return err
}

func (r *Replica) loop() error {
	ticker := time.NewTicker(r.opts.TickInterval)
	defer ticker.Stop()
	if err := r.process(); err != nil {
		return err
	}
	for {
		select {
		case <-ticker.C:
			r.tick()
		case m := <-r.messages:
			r.raft.Step(m)
		case p := <-r.proposals:
			r.acceptProposal(p)
		case call := <-r.loopCalls:
			call()
		case <-r.ctx.Done():
			return nil
		}
		r.drainQueues()
		if err := r.process(); err != nil {
			return err
		}
	}
}

// drainQueues processes what arrived during the last sync, up to MaxBatch, so that
// all of it is written with one further sync.
func (r *Replica) drainQueues() {
	for range r.opts.MaxBatch - 1 {
		select {
		case m := <-r.messages:
			r.raft.Step(m)
		case p := <-r.proposals:
			r.acceptProposal(p)
		case call := <-r.loopCalls:
			call()
		default:
			return
		}
	}
}

func (r *Replica) tick() {
	r.raft.Tick()
	r.rejoinIfLeaderless()
	r.forgetFormerMembers()
	if r.role != raft.Leader {
		return
	}
	now := time.Now()
	if now.Sub(r.lastLedgerTick) >= ledgerTickInterval {
		r.lastLedgerTick = now
		tick := &ledger.Tick{Elapsed: now.Sub(r.timeReplicatedUntil), Retention: r.opts.Retention()}
		if r.proposeInternal(&ledger.Command{Tick: tick}) {
			r.timeReplicatedUntil = now
		}
	}
	r.maintainMembership()
}

// forgetFormerMembers drops what is kept for replicas that are no longer members.
func (r *Replica) forgetFormerMembers() {
	now := time.Now()
	if now.Sub(r.lastForgotten) < forgetInterval {
		return
	}
	r.lastForgotten = now
	config := r.raft.Status().Config
	r.network.retain(config.Members())
}

// proposeInternal proposes a command that the leader itself issues. It does not wait
// for the outcome and reports whether the command was proposed.
func (r *Replica) proposeInternal(c *ledger.Command) bool {
	data, err := c.Encode()
	if err != nil {
		return false
	}
	_, _, err = r.raft.Propose(data)
	return err == nil
}

// updateRole applies a change of role or term.
func (r *Replica) updateRole() {
	role, term, leader := r.raft.Role()
	r.network.setLeader(leader)
	if role == r.role && term == r.term {
		return
	}
	if r.role == raft.Leader {
		r.failPending(CodeLost)
	}
	r.role, r.term = role, term
	// Without this reset the embedded client would wait for the answer of the former
	// leader. With an empty hint it calls this replica first, which leads or knows
	// the leader.
	r.setLeaderHint("")
	if role == raft.Leader {
		// The time before the election is not counted. The timers of the leases start again.
		r.timeReplicatedUntil, r.lastLedgerTick = time.Now(), time.Now()
		r.proposeInternal(&ledger.Command{Open: &ledger.NewTerm{Term: term}})
		r.log.Info("Replica leads.", zap.Uint64("term", term))
	}
}

// failPending fails all pending proposals and reads.
func (r *Replica) failPending(code ReplyCode) {
	for index, p := range r.pending {
		delete(r.pending, index)
		p.answer <- reply{Error: &ReplyError{Code: CodeLost, Reason: "leadership ended"}}
	}
	for context, call := range r.reads {
		delete(r.reads, context)
		call.answer <- reply{Error: &ReplyError{Code: code, Reason: "leadership ended"}}
	}
}
