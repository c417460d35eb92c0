package peerrpc

import (
	"context"
	"sync"
	"time"
)

const (
	// bulkThresholdBytes is the size of params from which a call uses the second
	// connection, so that a large call does not delay heartbeats.
	bulkThresholdBytes = 32 << 10
	// connsPerPeer is the number of connections per address: one for small calls
	// and one for bulk calls.
	connsPerPeer = 2
)

// peer is the connection pool of one address.
type peer struct {
	node    *Node
	address string
	// slots limits the calls in flight.
	slots chan struct{}
	conns [connsPerPeer]pooledConn

	mu       sync.Mutex
	lastUsed time.Time
}

// pooledConn holds at most one connection. dialSlot admits one dialling caller at a time.
type pooledConn struct {
	dialSlot chan struct{}
	mu       sync.Mutex
	conn     *clientConn
}

func newPeer(node *Node, address string) *peer {
	p := &peer{node: node, address: address, slots: make(chan struct{}, node.options.MaxInFlight), lastUsed: time.Now()}
	for i := range p.conns {
		p.conns[i].dialSlot = make(chan struct{}, 1)
	}
	return p
}

// Call implements port.PeerCaller. The error is a *RemoteError, an
// *UnreachableError or a *TimeoutError.
func (n *Node) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	ctx, cancel := n.withDefaultTimeout(ctx)
	defer cancel()
	p := n.peer(address)
	conn, err := p.acquire(ctx, method, len(params))
	if err != nil {
		return nil, err
	}
	defer p.release()
	return conn.call(ctx, method, params)
}

// Notify implements port.PeerCaller.
func (n *Node) Notify(ctx context.Context, address, method string, params []byte) error {
	ctx, cancel := n.withDefaultTimeout(ctx)
	defer cancel()
	p := n.peer(address)
	conn, err := p.acquire(ctx, method, len(params))
	if err != nil {
		return err
	}
	defer p.release()
	return conn.notify(ctx, method, params)
}

func (n *Node) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, n.options.Timeout)
}

// acquire waits for a free slot and a connection. After a success the caller must
// call release.
func (p *peer) acquire(ctx context.Context, method string, size int) (*clientConn, error) {
	p.node.meter.calls.Add(1)
	p.mu.Lock()
	p.lastUsed = time.Now()
	p.mu.Unlock()
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, &TimeoutError{Address: p.address, Method: method, Err: ctx.Err()}
	}
	pc := &p.conns[0]
	if size >= bulkThresholdBytes {
		pc = &p.conns[1]
	}
	conn, err := pc.get(ctx, p)
	if err == nil {
		return conn, nil
	}
	p.release()
	if ctx.Err() != nil {
		return nil, &TimeoutError{Address: p.address, Method: method, Err: ctx.Err()}
	}
	return nil, &UnreachableError{Address: p.address, Err: err}
}

func (p *peer) release() { <-p.slots }

// get returns the open connection or dials a new one. One caller dials; the others
// wait until it has finished or their context ends.
func (pc *pooledConn) get(ctx context.Context, p *peer) (*clientConn, error) {
	if conn := pc.current(); conn != nil {
		return conn, nil
	}
	select {
	case pc.dialSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-pc.dialSlot }()
	if conn := pc.current(); conn != nil {
		return conn, nil
	}
	conn, err := dial(ctx, p.node, p.address)
	if err != nil {
		return nil, err
	}
	pc.mu.Lock()
	pc.conn = conn
	pc.mu.Unlock()
	if p.node.ctx.Err() != nil {
		conn.close(&ClosedError{})
		return nil, &ClosedError{}
	}
	return conn, nil
}

func (pc *pooledConn) current() *clientConn {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.conn != nil && pc.conn.closed() {
		pc.conn = nil
	}
	return pc.conn
}

func (p *peer) unused(now time.Time) bool {
	for i := range p.conns {
		if p.conns[i].current() != nil {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots) == 0 && now.Sub(p.lastUsed) > idleTimeout
}

func (p *peer) check(now time.Time) {
	for i := range p.conns {
		if conn := p.conns[i].current(); conn != nil {
			conn.check(now)
		}
	}
}

func (p *peer) close() {
	for i := range p.conns {
		if conn := p.conns[i].current(); conn != nil {
			conn.close(&ClosedError{})
		}
	}
}
