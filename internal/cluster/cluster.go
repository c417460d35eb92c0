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
	"github.com/boragelead/boragelead/internal/guard"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// tickInterval is the interval between ticks of the membership. A change of an
	// endpoint waits at most this long before it is sent.
	tickInterval = 50 * time.Millisecond
	// exchangeTimeout bounds one exchange with another daemon.
	exchangeTimeout = 2 * time.Second
	// maxExchanges is the maximum number of concurrent exchanges that this daemon starts.
	maxExchanges = 8
	// leaveSends is how often the departure is announced, because datagrams may be lost.
	leaveSends = 3
)

// RPC calls methods of other daemons and registers the methods of this daemon.
type RPC interface {
	port.PeerCaller
	port.PeerServer
}

// Datagrams sends and receives membership datagrams.
type Datagrams interface {
	Send(address string, data []byte) error
	// Serve calls handle for each received datagram until Close.
	Serve(handle func(from string, data []byte)) error
	Stats() gossipudp.Stats
	Close() error
}

// Source provides the generations of the replicated state.
type Source interface {
	// WatchGeneration waits for a generation with a number greater than after.
	WatchGeneration(ctx context.Context, after uint64) (port.Generation, error)
}

// Options configure a cluster.
type Options struct {
	// Self is the identity of this daemon. New sets Instance and Incarnation, the caller
	// all other fields. The UDP socket is bound to Address.
	Self member.Identity
	// Seeds are the addresses of daemons through which this daemon joins.
	Seeds []string
	// StateReplicas are the addresses from which the configuration is pulled while no
	// generation is known.
	StateReplicas []string
	Registry      *member.Registry
	RPC           RPC
	// Datagrams defaults to a UDP socket on the address of Self.
	Datagrams Datagrams
	// Keys authenticate the datagrams of the default socket. With nil, datagrams are not
	// authenticated.
	Keys *gossipudp.Keys
	// Install puts a generation in force on this daemon.
	Install func(port.Generation) error
	// Source is nil on a daemon without access to the replicated state.
	Source Source
	// IsLeader reports whether this daemon pushes generations to the others. With nil, a
	// daemon with a Source always does.
	IsLeader func() bool
	// SourceAge returns the time since the replicated state last had a majority. With
	// nil, a daemon with a Source always counts as in contact with the replicated state.
	SourceAge func() (time.Duration, bool)
	// PriceClass is passed on to member.Options.
	PriceClass func(*member.Endpoint) uint8
	Log        *zap.Logger
}

// Cluster connects one daemon to the others.
type Cluster struct {
	options         Options
	log             *zap.Logger
	node            *member.Node
	socket          Datagrams
	state           *distribute.State
	remoteEndpoints remoteCache

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	exchanges map[string]bool
	// closed prevents new goroutines, so that Kill can wait for the running ones.
	closed bool
}

// New opens the UDP socket and registers the RPC methods. The caller then serves RPC on
// the same address over TCP and calls Start.
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

// Start starts the goroutines of the cluster.
func (c *Cluster) Start() {
	c.spawnLoop(func() { _ = c.socket.Serve(c.receive) })
	c.spawnLoop(c.tickLoop)
	if c.options.Source != nil {
		c.spawnLoop(c.watchLoop)
	}
}

// spawn runs f in a goroutine unless the cluster is closed. A panic ends f only.
func (c *Cluster) spawn(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.goroutines.Go(func() {
		if err := guard.Run(f); err != nil {
			c.reportPanic(err)
		}
	})
}

// spawnLoop runs f in a goroutine until the cluster is closed, again after a panic.
func (c *Cluster) spawnLoop(f func()) {
	c.spawn(func() { guard.Loop(c.ctx, f, c.reportPanic) })
}

func (c *Cluster) reportPanic(err error) {
	c.log.Error("Background task failed unexpectedly.", zap.Error(err))
}

// Close announces the departure of this daemon to the others and stops. It does not
// close the RPC node, which belongs to the caller.
func (c *Cluster) Close() {
	c.node.Leave()
	for range leaveSends {
		c.handleOutput(c.node.Tick(time.Now()))
		c.node.Leave()
		time.Sleep(tickInterval + tickInterval/5)
	}
	c.Kill()
}

// Kill stops without announcing the departure, which simulates a crash.
func (c *Cluster) Kill() {
	c.cancel()
	_ = c.socket.Close()
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.goroutines.Wait()
}

func (c *Cluster) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			now := time.Now()
			c.updateSourceContact(now)
			c.handleOutput(c.node.Tick(now))
			c.pullIfDue(now)
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Cluster) receive(from string, data []byte) {
	out, err := c.node.Receive(time.Now(), from, data)
	if err != nil {
		c.log.Debug("Malformed datagram ignored.", zap.String("from", from), zap.Error(err))
		return
	}
	c.handleOutput(out)
}

// handleOutput sends the packets, starts the exchanges and logs the events that the
// membership returned.
func (c *Cluster) handleOutput(out member.Output) {
	for _, packet := range out.Packets {
		// The membership tolerates lost datagrams, so a failed send needs no handling.
		_ = c.socket.Send(packet.Address, packet.Data)
	}
	for _, address := range out.Syncs {
		c.startExchange("sync "+address, func(ctx context.Context) error { return c.sync(ctx, address) })
	}
	for _, pull := range out.Pulls {
		c.startExchange("pull "+pull.Address, func(ctx context.Context) error { return c.pull(ctx, pull) })
	}
	for _, event := range out.Events {
		c.log.Info("Daemon status changed.", zap.String("daemon", event.Peer.Name),
			zap.Uint32("incarnation", event.Peer.Incarnation), zap.Stringer("status", event.Status))
	}
	for _, id := range out.Expired {
		c.log.Warn("Endpoint lease expired.", zap.String("endpoint", id))
	}
}

// startExchange runs an exchange in a goroutine, unless one with the same key or the
// maximum number of exchanges is already running.
func (c *Cluster) startExchange(key string, run func(context.Context) error) {
	c.mu.Lock()
	skip := c.exchanges[key] || len(c.exchanges) >= maxExchanges
	if !skip {
		c.exchanges[key] = true
	}
	c.mu.Unlock()
	if skip || c.ctx.Err() != nil {
		return
	}
	c.spawn(func() {
		defer c.endExchange(key)
		ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
		defer cancel()
		if err := run(ctx); err != nil {
			c.log.Debug("Exchange failed.", zap.String("exchange", key), zap.Error(err))
		}
	})
}

func (c *Cluster) endExchange(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.exchanges, key)
}

// sync compares hashes with another daemon and runs a full exchange if they differ.
func (c *Cluster) sync(ctx context.Context, address string) error {
	for _, hashesOnly := range []bool{true, false} {
		reply, err := c.options.RPC.Call(ctx, address, member.MethodSync, c.node.BuildSync(time.Now(), hashesOnly))
		if err != nil {
			return err
		}
		differ, err := c.node.ApplySync(time.Now(), reply)
		if err != nil || !differ {
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
