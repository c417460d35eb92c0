package peerrpc

import (
	"context"
	"sync"
	"time"
)

const (
	// bulkBytes is the size of params from which a call uses the second
	// connection, so that it does not delay heartbeats.
	bulkBytes = 32 << 10
	// lanes is the number of connections per address: small calls and bulk calls.
	lanes = 2
)

// peer is the connection pool of one address.
type peer struct {
	node    *Node
	address string
	// slots bounds the calls in flight.
	slots chan struct{}
	lanes [lanes]lane

	mu       sync.Mutex
	lastUsed time.Time
}

// lane holds at most one connection; its lock covers dialling.
type lane struct {
	dialing chan struct{}
	mu      sync.Mutex
	conn    *clientConn
}

func newPeer(node *Node, address string) *peer {
	p := &peer{node: node, address: address, slots: make(chan struct{}, node.options.MaxInFlight), lastUsed: time.Now()}
	for i := range p.lanes {
		p.lanes[i].dialing = make(chan struct{}, 1)
	}
	return p
}

// Call implements port.PeerCaller. The error is a *RemoteError, an
// *UnreachableError or a *TimeoutError.
func (n *Node) Call(ctx context.Context, address, method string, params []byte) ([]byte, error) {
	ctx, cancel := n.deadline(ctx)
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
	ctx, cancel := n.deadline(ctx)
	defer cancel()
	p := n.peer(address)
	conn, err := p.acquire(ctx, method, len(params))
	if err != nil {
		return err
	}
	defer p.release()
	return conn.notify(ctx, method, params)
}

func (n *Node) deadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, n.options.Timeout)
}

// acquire waits for a free slot and a connection. On success release must follow.
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
	l := &p.lanes[0]
	if size >= bulkBytes {
		l = &p.lanes[1]
	}
	conn, err := l.get(ctx, p)
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

// get returns the open connection or dials a new one. One caller dials, the
// others wait for the outcome or for their deadline.
func (l *lane) get(ctx context.Context, p *peer) (*clientConn, error) {
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.dialing }()
	if conn := l.current(); conn != nil {
		return conn, nil
	}
	conn, err := dial(ctx, p.node, p.address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	if p.node.ctx.Err() != nil {
		conn.close(&ClosedError{})
		return nil, &ClosedError{}
	}
	return conn, nil
}

func (l *lane) current() *clientConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.closed() {
		l.conn = nil
	}
	return l.conn
}

func (p *peer) unused(now time.Time) bool {
	for i := range p.lanes {
		if p.lanes[i].current() != nil {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots) == 0 && now.Sub(p.lastUsed) > idleClose
}

func (p *peer) check(now time.Time) {
	for i := range p.lanes {
		if conn := p.lanes[i].current(); conn != nil {
			conn.check(now)
		}
	}
}

func (p *peer) close() {
	for i := range p.lanes {
		if conn := p.lanes[i].current(); conn != nil {
			conn.close(&ClosedError{})
		}
	}
}
