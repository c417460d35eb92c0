package peerrpc

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// dialTimeout bounds the setup of a connection. It exceeds the round trip between
// regions by a margin.
const dialTimeout = 400 * time.Millisecond

// methodPing is the method of a probe. Every node answers it.
const methodPing = "peer.ping"

// keepAlive makes the kernel detect a dead path on idle connections. TCP keepalive
// does not suffice where a middlebox acknowledges in place of the peer; the probes
// of this package cover that case.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: idleProbeInterval, Interval: SilenceTimeout, Count: 2}

// discardLogger drops the log lines of the JSON-RPC library, such as those about
// responses that arrive after their call timed out.
var discardLogger = log.New(io.Discard, "", 0)

// clientConn is an outgoing connection of the pool.
type clientConn struct {
	node    *Node
	address string
	rpc     *jsonrpc2.Conn
	health  *health
	nextID  atomic.Uint64

	mu sync.Mutex
	// writeStarted holds the IDs of the calls whose write has started. No byte of
	// any other call was sent.
	writeStarted map[uint64]bool
	closeCause   error
}

func dial(ctx context.Context, n *Node, address string) (*clientConn, error) {
	n.meter.dials.Add(1)
	// A VM that lost power does not answer, and the kernel retransmits the SYN
	// packet only after 1 s. A new dial reaches a restarted VM sooner.
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	tcpConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{node: n, address: address, health: newHealth(time.Now()), writeStarted: make(map[uint64]bool)}
	var stream net.Conn = &meteredConn{Conn: tcpConn, meter: &n.meter, onRead: func() { c.health.recordReceive(time.Now()) }}
	if n.options.ClientTLS != nil {
		tlsConn := tls.Client(stream, n.options.ClientTLS)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = tcpConn.Close()
			return nil, err
		}
		stream = tlsConn
	}
	// The response to a probe cannot be read while an earlier message is decoded,
	// so decoding counts as received data.
	frames := newFrameStream(stream, func() { c.health.recordReceive(time.Now()) })
	c.rpc = jsonrpc2.NewConn(n.ctx, frames, ignoreRequests{},
		jsonrpc2.SetLogger(discardLogger), jsonrpc2.OnSend(c.recordWriteStart))
	return c, nil
}

// ignoreRequests ignores requests that arrive on connections that this node dialled.
type ignoreRequests struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func (c *clientConn) recordWriteStart(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req == nil {
		return
	}
	c.mu.Lock()
	c.writeStarted[req.ID.Num] = true
	c.mu.Unlock()
}

// takeWriteStarted reports whether the write of a call has started, and removes
// the ID of the call.
func (c *clientConn) takeWriteStarted(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	writeStarted := c.writeStarted[id]
	delete(c.writeStarted, id)
	return writeStarted
}

type outcome struct {
	result []byte
	err    error
}

func (c *clientConn) call(ctx context.Context, method string, params []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	c.health.recordSend(time.Now(), 1)
	// The write in the JSON-RPC library ignores the context, so it runs in a
	// goroutine of its own.
	done := make(chan outcome, 1)
	go func() {
		defer c.health.done()
		var out outcome
		out.err = c.rpc.Call(ctx, method, params, &out.result, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
		c.closeOnWriteError(out.err)
		done <- out
	}()
	select {
	case out := <-done:
		sent := c.takeWriteStarted(id)
		if out.err == nil {
			return out.result, nil
		}
		return nil, c.callError(ctx, method, sent, out.err)
	case <-ctx.Done():
		// The write may still start after this point, so the call counts as sent.
		go func() { <-done; c.takeWriteStarted(id) }()
		return nil, &TimeoutError{Address: c.address, Method: method, Sent: true, Err: ctx.Err()}
	}
}

func (c *clientConn) notify(ctx context.Context, method string, params []byte) error {
	id := c.nextID.Add(1)
	c.health.recordSend(time.Now(), 0)
	done := make(chan error, 1)
	go func() {
		err := c.rpc.Notify(ctx, method, params, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
		c.closeOnWriteError(err)
		done <- err
	}()
	select {
	case err := <-done:
		sent := c.takeWriteStarted(id)
		if err == nil {
			return nil
		}
		return c.callError(ctx, method, sent, err)
	case <-ctx.Done():
		go func() { <-done; c.takeWriteStarted(id) }()
		return &TimeoutError{Address: c.address, Method: method, Sent: true, Err: ctx.Err()}
	}
}

// closeOnWriteError closes the connection after a failed write, since a part of
// the message may have been sent.
func (c *clientConn) closeOnWriteError(err error) {
	var remote *jsonrpc2.Error
	if err == nil || errors.As(err, &remote) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled) {
		return
	}
	c.close(err)
}

func (c *clientConn) callError(ctx context.Context, method string, sent bool, err error) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return &RemoteError{Address: c.address, Method: method, Code: remote.Code, Message: remote.Message}
	}
	if ctx.Err() != nil {
		return &TimeoutError{Address: c.address, Method: method, Sent: sent, Err: ctx.Err()}
	}
	c.mu.Lock()
	if c.closeCause != nil {
		err = c.closeCause
	}
	c.mu.Unlock()
	return &UnreachableError{Address: c.address, Sent: sent, Err: err}
}

func (c *clientConn) closed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (c *clientConn) close(closeCause error) {
	c.mu.Lock()
	if c.closeCause == nil {
		c.closeCause = closeCause
	}
	c.mu.Unlock()
	_ = c.rpc.Close()
}

func (c *clientConn) check(now time.Time) {
	switch c.health.check(now) {
	case actionProbe:
		go c.probe()
	case actionCloseSilent:
		c.node.meter.silent.Add(1)
		c.close(&SilentError{})
	case actionCloseIdle:
		c.close(&ClosedError{})
	}
}

func (c *clientConn) probe() {
	id := c.nextID.Add(1)
	waiter, err := c.rpc.DispatchCall(c.node.ctx, methodPing, nil, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
	c.takeWriteStarted(id)
	if err != nil {
		c.closeOnWriteError(err)
		return
	}
	c.health.recordProbeSent(time.Now())
	_ = waiter.Wait(c.node.ctx, nil)
}
