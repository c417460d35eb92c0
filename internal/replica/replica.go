package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
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
	// recovered is what the folder held at the start; nil once the loop runs.
	recovered *wal.Recovered
	identity  wal.Identity
	cluster   atomic.Uint64

	messages  chan raft.Message
	proposals chan *proposal
	calls     chan func()
	cancel    context.CancelFunc
	ctx       context.Context
	done      chan struct{}
	// running is closed when the replica belongs to a cluster and takes requests.
	running chan struct{}
	tasks   sync.WaitGroup

	network *network
	watch   watch

	// The fields below belong to the loop.
	raft    *raft.Raft
	ledger  *ledger.State
	pending map[uint64]*proposal
	reads   map[uint64]*readCall
	context uint64
	role    raft.Role
	term    uint64
	// accounted is the local time up to which elapsed time was replicated.
	accounted  time.Time
	maintained time.Time
	absent     absence
	// led is when this replica last knew a leader, and rejoining is set while
	// it asks to be a member again.
	led       time.Time
	rejoining atomic.Bool
	ticked    time.Time
	snapshot  struct {
		index   uint64
		bytes   int
		running bool
	}

	mu      sync.Mutex
	stopErr error
}

// proposal is a command that waits for its outcome.
type proposal struct {
	data  []byte
	lease *ledger.LeaseRequest
	// change is set for a membership change instead of data.
	change *raft.Change
	term   uint64
	answer chan reply
}

type readCall struct {
	view   func() reply
	answer chan reply
}

// Start opens the data folder and runs a replica. It registers its methods on
// the server, which must not be serving yet.
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
		calls: make(chan func(), queueLength), done: make(chan struct{}), running: make(chan struct{}),
		ledger: ledger.New(), pending: map[uint64]*proposal{}, reads: map[uint64]*readCall{},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.cluster.Store(r.identity.Cluster)
	r.watch.init()
	r.network = newNetwork(r)
	r.Client = newClient(opts.Group, r.knownAddresses, &localCaller{r, opts.Caller})
	r.register()
	if recovered.TornBytes > 0 {
		r.log.Warn("Incomplete last record cut off.", zap.Int("bytes", recovered.TornBytes))
	}
	go r.run()
	return r, nil
}

// RandomID draws an identity. It is never 0.
func RandomID() uint64 {
	for {
		var raw [8]byte
		// Read never fails; the runtime ends the process instead.
		_, _ = rand.Read(raw[:])
		if id := binary.LittleEndian.Uint64(raw[:]); id != 0 {
			return id
		}
	}
}

// ID is the identity of the replica's data folder.
func (r *Replica) ID() raft.ID { return r.identity.Replica }

// Done is closed when the replica has stopped.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the replica stopped, nil while it runs or after Close.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopErr
}

// Close stops the replica at once. A leader should Resign before.
func (r *Replica) Close() error {
	r.cancel()
	<-r.done
	return r.Err()
}

// run joins a cluster if needed and then serves until the end.
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
	r.abandon(CodeStopped)
	r.tasks.Wait()
	r.network.close()
	closeErr := r.wal.Close()
	if err == nil {
		err = closeErr
	}
	if err != nil {
		r.log.Error("Replica stopped.", zap.Error(err))
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
	r.snapshot.index = recovered.Snapshot.Index
	snapshot := recovered.Snapshot
	snapshot.Data = nil
	node, err := raft.New(raft.Config{
		ID: r.identity.Replica, ElectionTicks: r.opts.ElectionTicks, HeartbeatTicks: r.opts.HeartbeatTicks,
		MaxAppendBytes: maxAppendBytes, MaxInflight: maxInflight, MaxUncommittedBytes: maxUncommitted,
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
			r.accept(p)
		case call := <-r.calls:
			call()
		case <-r.ctx.Done():
			return nil
		}
		r.drain()
		if err := r.process(); err != nil {
			return err
		}
	}
}

// drain takes what arrived during the last sync, so that it shares the next one.
func (r *Replica) drain() {
	for range r.opts.MaxBatch - 1 {
		select {
		case m := <-r.messages:
			r.raft.Step(m)
		case p := <-r.proposals:
			r.accept(p)
		case call := <-r.calls:
			call()
		default:
			return
		}
	}
}

func (r *Replica) tick() {
	r.raft.Tick()
	r.noteLed()
	if r.role != raft.Leader {
		return
	}
	now := time.Now()
	if now.Sub(r.ticked) >= ledgerTickInterval {
		r.ticked = now
		tick := &ledger.Tick{Elapsed: now.Sub(r.accounted), Retention: r.opts.Retention()}
		if r.proposeOwn(&ledger.Command{Tick: tick}) {
			r.accounted = now
		}
	}
	if now.Sub(r.maintained) >= maintainInterval || r.isGrowing() {
		r.maintained = now
		r.maintain()
	}
}

// proposeOwn proposes a command of the leader itself, whose outcome nobody waits for.
func (r *Replica) proposeOwn(c *ledger.Command) bool {
	data, err := c.Encode()
	if err != nil {
		return false
	}
	_, _, err = r.raft.Propose(data)
	return err == nil
}

// noteRole reacts to a change of role or term.
func (r *Replica) noteRole() {
	role, term, leader := r.raft.Role()
	r.network.setLeader(leader)
	if role == r.role && term == r.term {
		return
	}
	if r.role == raft.Leader {
		r.abandon(CodeLost)
	}
	r.role, r.term = role, term
	// The client must not wait for the answer of a leader that was lost: without
	// an address it asks this replica first, which knows the leader or is it.
	r.remember("")
	if role == raft.Leader {
		// Time before the election is not counted, and timers of leases start again.
		r.accounted, r.ticked = time.Now(), time.Now()
		r.absent = absence{}
		r.proposeOwn(&ledger.Command{Open: &ledger.OpenTerm{Term: term}})
		r.log.Info("Replica leads.", zap.Uint64("term", term))
	}
}

// abandon answers everything that waits.
func (r *Replica) abandon(code ReplyCode) {
	for index, p := range r.pending {
		delete(r.pending, index)
		p.answer <- reply{Error: &ReplyError{Code: CodeLost, Reason: "leadership ended"}}
	}
	for context, call := range r.reads {
		delete(r.reads, context)
		call.answer <- reply{Error: &ReplyError{Code: code, Reason: "leadership ended"}}
	}
}
