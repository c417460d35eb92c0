package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/adapter/gossipudp"
	"github.com/boragelead/boragelead/internal/core/distribute"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// tickInterval is the resolution of the membership. A change of an endpoint
	// waits at most this long before it is sent.
	tickInterval = 50 * time.Millisecond
	// exchangeTimeout bounds one exchange with another daemon.
	exchangeTimeout = 2 * time.Second
	// maxExchanges bounds the exchanges that this daemon has open.
	maxExchanges = 8
	// leaveRepeats is how often the departure is sent, because datagrams get lost.
	leaveRepeats = 3
)

// RPC calls other daemons and registers methods for them.
type RPC interface {
	port.PeerCaller
	port.PeerServer
}

// Datagrams carries membership datagrams.
type Datagrams interface {
	Send(address string, data []byte) error
	// Serve passes each datagram on until Close.
	Serve(handle func(from string, data []byte)) error
	Stats() gossipudp.Stats
	Close() error
}

// Source gives the generations of the replicated state.
type Source interface {
	// WatchGeneration waits for a generation with a number above after.
	WatchGeneration(ctx context.Context, after uint64) (port.Generation, error)
}

// Options configure a cluster.
type Options struct {
	// Self needs all fields but Instance and Incarnation. Address is bound for UDP.
	Self member.Identity
	// Seeds are addresses of daemons to join by.
	Seeds []string
	// StateReplicas are addresses to pull the configuration from while no generation is known.
	StateReplicas []string
	Registry      *member.Registry
	RPC           RPC
	// Datagrams is a UDP socket on the address of Self if it is nil.
	Datagrams Datagrams
	// Keys authenticate the datagrams of that socket; nil means none.
	Keys *gossipudp.Keys
	// Install puts a generation in force on this daemon.
	Install func(port.Generation) error
	// Source is nil on a daemon without the replicated state.
	Source Source
	// IsLeader tells whether this daemon pushes generations; nil means always when it has a Source.
	IsLeader func() bool
	// SourceAge returns the time since the replicated state last had a
	// majority; nil means that a watch under way is contact.
	SourceAge func() (time.Duration, bool)
	// PriceClass is that of member.Options.
	PriceClass func(*member.Endpoint) uint8
	Log        *zap.Logger
}

// Cluster is the connection of one daemon to the others.
type Cluster struct {
	options Options
	log     *zap.Logger
	node    *member.Node
	socket  Datagrams
	state   *distribute.State
	remote  remoteCache

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	exchanges map[string]bool
	// closed stops new goroutines, so that Kill can wait for the others.
	closed bool
}

// New opens the UDP socket and registers the methods. The caller serves RPC on
// the same address over TCP, then calls Start.
func New(options Options) (*Cluster, error) {
	switch {
	case options.Self.Name == "" || options.Self.Domain == "":
		return nil, &OptionError{Option: "Self", Message: "name and failure domain are required"}
	case options.Registry == nil || options.RPC == nil || options.Install == nil:
		return nil, &OptionError{Option: "Registry, RPC, Install", Message: "all are required"}
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Datagrams == nil {
		socket, err := gossipudp.Listen(options.Self.Address, options.Self.Name, options.Keys)
		if err != nil {
			return nil, err
		}
		options.Datagrams = socket
	}
	options.Self.Instance = rand.Uint64()
	options.Self.Incarnation = 1
	c := &Cluster{
		options:   options,
		log:       options.Log.Named("[member]"),
		socket:    options.Datagrams,
		state:     distribute.New(options.Install),
		exchanges: make(map[string]bool),
	}
	c.node = member.New(member.Options{
		Self:       options.Self,
		Seeds:      options.Seeds,
		Registry:   options.Registry,
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		PriceClass: options.PriceClass,
	}, time.Now())
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.register()
	return c, nil
}

// Start starts the goroutines.
func (c *Cluster) Start() {
	c.spawn(func() { _ = c.socket.Serve(c.receive) })
	c.spawn(c.tickLoop)
	if c.options.Source != nil {
		c.spawn(c.watchLoop)
	}
}

// spawn runs f unless the cluster is closed.
func (c *Cluster) spawn(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.running.Go(f)
	}
}

// Close leaves the cluster and stops. The RPC node is closed by its owner.
func (c *Cluster) Close() {
	c.node.Leave()
	for range leaveRepeats {
		c.dispatch(c.node.Tick(time.Now()))
		c.node.Leave()
		time.Sleep(tickInterval + tickInterval/5)
	}
	c.Kill()
}

// Kill stops without a word to the others, as a sudden death does.
func (c *Cluster) Kill() {
	c.cancel()
	_ = c.socket.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
}

func (c *Cluster) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			c.noteSourceAge(now)
			c.dispatch(c.node.Tick(now))
			c.pullIfDue(now)
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Cluster) receive(from string, data []byte) {
	out, err := c.node.Receive(time.Now(), from, data)
	if err != nil {
		c.log.Debug("Malformed datagram.", zap.String("from", from), zap.Error(err))
		return
	}
	c.dispatch(out)
}

// dispatch carries out what the membership asked for.
func (c *Cluster) dispatch(out member.Output) {
	for _, packet := range out.Packets {
		// A failed send is like a lost datagram.
		_ = c.socket.Send(packet.Address, packet.Data)
	}
	for _, address := range out.Syncs {
		c.exchange("sync "+address, func(ctx context.Context) error { return c.sync(ctx, address) })
	}
	for _, pull := range out.Pulls {
		c.exchange("pull "+pull.Address, func(ctx context.Context) error { return c.pull(ctx, pull) })
	}
	for _, event := range out.Events {
		c.log.Info("Daemon changed.", zap.String("daemon", event.Peer.Name),
			zap.Uint32("incarnation", event.Peer.Incarnation), zap.Stringer("status", event.Status))
	}
	for _, id := range out.Expired {
		c.log.Warn("Endpoint lease expired.", zap.String("endpoint", id))
	}
}

// exchange runs an exchange unless the same one is under way or too many are.
func (c *Cluster) exchange(key string, run func(context.Context) error) {
	c.mu.Lock()
	busy := c.exchanges[key] || len(c.exchanges) >= maxExchanges
	if !busy {
		c.exchanges[key] = true
	}
	c.mu.Unlock()
	if busy || c.ctx.Err() != nil {
		return
	}
	c.spawn(func() {
		ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
		defer cancel()
		if err := run(ctx); err != nil {
			c.log.Debug("Exchange failed.", zap.String("exchange", key), zap.Error(err))
		}
		c.mu.Lock()
		delete(c.exchanges, key)
		c.mu.Unlock()
	})
}

// sync compares hashes with another daemon and exchanges the rest if they differ.
func (c *Cluster) sync(ctx context.Context, address string) error {
	for _, brief := range []bool{true, false} {
		reply, err := c.options.RPC.Call(ctx, address, member.MethodSync, c.node.BuildSync(time.Now(), brief))
		if err != nil {
			return err
		}
		again, err := c.node.ApplySync(time.Now(), reply)
		if err != nil || !again {
			return err
		}
	}
	return nil
}

func (c *Cluster) pull(ctx context.Context, pull member.Pull) error {
	reply, err := c.options.RPC.Call(ctx, pull.Address, member.MethodPull, pull.Request)
	if err != nil {
		return err
	}
	return c.node.ApplyPull(time.Now(), reply)
}

func (c *Cluster) register() {
	rpc := c.options.RPC
	rpc.Handle(member.MethodSync, func(_ context.Context, params []byte) ([]byte, error) {
		return c.node.HandleSync(time.Now(), params)
	})
	rpc.Handle(member.MethodPull, func(_ context.Context, params []byte) ([]byte, error) {
		return c.node.HandlePull(time.Now(), params)
	})
	rpc.Handle(member.MethodFetch, func(_ context.Context, params []byte) ([]byte, error) {
		return c.node.HandleFetch(time.Now(), params)
	})
	rpc.Handle(distribute.MethodPush, c.handlePush)
	rpc.Handle(distribute.MethodPull, c.handlePull)
	rpc.Handle(distribute.MethodStatus, c.handleStatus)
}
