package peerrpc

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/port"
)

const (
	// DefaultTimeout is the deadline of calls whose context has none.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxInFlight bounds the calls in flight per address and, on the
	// serving side, per connection.
	DefaultMaxInFlight = 256
	// DefaultMaxReplyBytes bounds the results that are being sent. Each byte is held
	// about four times while a result is encoded and written.
	DefaultMaxReplyBytes = 16 << 20
)

// Options configure a node.
type Options struct {
	// Name labels the counters in expvar. Without a name they are not published.
	Name string
	// ServerTLS and ClientTLS enable mutual TLS on accepted and on dialled
	// connections; see tlsconfig.ForPeers.
	ServerTLS, ClientTLS *tls.Config
	// Log receives handler runs that fail unexpectedly and connections that are not accepted; nil
	// discards them.
	Log *zap.Logger
	// MaxInFlight bounds the calls in flight; 0 means DefaultMaxInFlight.
	MaxInFlight int
	// Timeout is the deadline of calls whose context has none; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxReplyBytes bounds the results that are being sent; 0 means
	// DefaultMaxReplyBytes. A larger result is sent if no other one is.
	MaxReplyBytes int64
}

// Node calls methods of other daemons and serves methods to them.
type Node struct {
	options  Options
	meter    meter
	handlers map[string]port.PeerHandler
	ctx      context.Context
	cancel   context.CancelFunc
	// replyBytes is the size of the results that are being sent.
	replyBytes atomic.Int64
	// inFlight is the number of served calls that run.
	inFlight atomic.Int64

	mu          sync.Mutex
	peers       map[string]*peer
	listeners   []net.Listener
	servedConns sync.WaitGroup
}

var (
	_ port.PeerCaller = (*Node)(nil)
	_ port.PeerServer = (*Node)(nil)
)

// New returns a node. Close releases its resources.
func New(options Options) *Node {
	if options.MaxInFlight <= 0 {
		options.MaxInFlight = DefaultMaxInFlight
	}
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.MaxReplyBytes <= 0 {
		options.MaxReplyBytes = DefaultMaxReplyBytes
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		options:  options,
		handlers: make(map[string]port.PeerHandler),
		ctx:      ctx,
		cancel:   cancel,
		peers:    make(map[string]*peer),
	}
	if options.Name != "" {
		n.meter.publish(options.Name)
	}
	go n.checkLoop()
	return n
}

// Handle implements port.PeerServer. It must not be called after Serve.
func (n *Node) Handle(method string, handler port.PeerHandler) { n.handlers[method] = handler }

// Stats returns the counters since the start.
func (n *Node) Stats() Stats {
	s := n.meter.stats()
	s.ReplyBytes = n.replyBytes.Load()
	return s
}

// Close closes all connections and listeners. Calls in flight fail.
func (n *Node) Close() {
	n.mu.Lock()
	// The context is cancelled under the lock, so that no connection or listener
	// is added afterwards.
	n.cancel()
	listeners := n.listeners
	peers := n.peers
	n.peers = make(map[string]*peer)
	n.mu.Unlock()
	for _, listener := range listeners {
		_ = listener.Close()
	}
	for _, p := range peers {
		p.close()
	}
	n.servedConns.Wait()
}

func (n *Node) peer(address string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[address]
	if p == nil {
		p = newPeer(n, address)
		n.peers[address] = p
	}
	return p
}

// checkLoop checks all connections from one goroutine and removes unused peers.
func (n *Node) checkLoop() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			n.check(now)
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) check(now time.Time) {
	n.mu.Lock()
	peers := make([]*peer, 0, len(n.peers))
	for address, p := range n.peers {
		if p.unused(now) {
			delete(n.peers, address)
			continue
		}
		peers = append(peers, p)
	}
	n.mu.Unlock()
	for _, p := range peers {
		p.check(now)
	}
}
