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

// dialBound is above the round trip between regions with a margin.
const dialBound = 400 * time.Millisecond

// methodPing is the probe; every node answers it.
const methodPing = "peer.ping"

// keepAlive makes the kernel notice a dead path on idle connections. The
// application probe covers paths on which something else acknowledges.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: idleProbeInterval, Interval: SilenceBound, Count: 2}

// quiet drops the log lines of the JSON-RPC library, such as those for answers
// that arrive after their call timed out.
var quiet = log.New(io.Discard, "", 0)

// clientConn is one connection of the pool.
type clientConn struct {
	node    *Node
	address string
	rpc     *jsonrpc2.Conn
	health  *health
	nextID  atomic.Uint64

	mu sync.Mutex
	// begun holds the IDs of calls whose write began. A call that is not in it was not sent.
	begun map[uint64]bool
	cause error
}

func dial(ctx context.Context, n *Node, address string) (*clientConn, error) {
	n.meter.dials.Add(1)
	// A VM without power answers nothing, and the kernel repeats the opening
	// packet only after a second: a new attempt finds it sooner.
	ctx, cancel := context.WithTimeout(ctx, dialBound)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{node: n, address: address, health: newHealth(time.Now()), begun: make(map[uint64]bool)}
	var stream net.Conn = &meteredConn{Conn: raw, meter: &n.meter, onRead: func() { c.health.received(time.Now()) }}
	if n.options.ClientTLS != nil {
		secure := tls.Client(stream, n.options.ClientTLS)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		stream = secure
	}
	// A message that is being decoded keeps the answer to a probe from being read.
	frames := newFrameStream(stream, func() { c.health.received(time.Now()) })
	c.rpc = jsonrpc2.NewConn(n.ctx, frames, refuseAll{},
		jsonrpc2.SetLogger(quiet), jsonrpc2.OnSend(c.noteBegun))
	return c, nil
}

// refuseAll ignores requests on connections that this node dialled.
type refuseAll struct{}

// Handle implements jsonrpc2.Handler.
func (refuseAll) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

func (c *clientConn) noteBegun(req *jsonrpc2.Request, _ *jsonrpc2.Response) {
	if req == nil {
		return
	}
	c.mu.Lock()
	c.begun[req.ID.Num] = true
	c.mu.Unlock()
}

// takeBegun reports whether the write of a call began, and forgets the call.
func (c *clientConn) takeBegun(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := c.begun[id]
	delete(c.begun, id)
	return begun
}

type outcome struct {
	result []byte
	err    error
}

func (c *clientConn) call(ctx context.Context, method string, params []byte) ([]byte, error) {
	id := c.nextID.Add(1)
	c.health.sent(time.Now(), 1)
	// The library's write ignores the context, so it runs apart from the caller.
	done := make(chan outcome, 1)
	go func() {
		defer c.health.done()
		var out outcome
		out.err = c.rpc.Call(ctx, method, params, &out.result, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
		c.closeAfter(out.err)
		done <- out
	}()
	select {
	case out := <-done:
		begun := c.takeBegun(id)
		if out.err == nil {
			return out.result, nil
		}
		return nil, c.failure(ctx, method, begun, out.err)
	case <-ctx.Done():
		// The write may begin after this point, so nothing is proven.
		go func() { <-done; c.takeBegun(id) }()
		return nil, &TimeoutError{Address: c.address, Method: method, Sent: true, Err: ctx.Err()}
	}
}

func (c *clientConn) notify(ctx context.Context, method string, params []byte) error {
	id := c.nextID.Add(1)
	c.health.sent(time.Now(), 0)
	done := make(chan error, 1)
	go func() {
		err := c.rpc.Notify(ctx, method, params, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
		c.closeAfter(err)
		done <- err
	}()
	select {
	case err := <-done:
		begun := c.takeBegun(id)
		if err == nil {
			return nil
		}
		return c.failure(ctx, method, begun, err)
	case <-ctx.Done():
		go func() { <-done; c.takeBegun(id) }()
		return &TimeoutError{Address: c.address, Method: method, Sent: true, Err: ctx.Err()}
	}
}

// closeAfter closes the connection after a failed write: a part of a message may be on it.
func (c *clientConn) closeAfter(err error) {
	var remote *jsonrpc2.Error
	if err == nil || errors.As(err, &remote) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled) {
		return
	}
	c.close(err)
}

func (c *clientConn) failure(ctx context.Context, method string, begun bool, err error) error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return &RemoteError{Address: c.address, Method: method, Code: remote.Code, Message: remote.Message}
	}
	if ctx.Err() != nil {
		return &TimeoutError{Address: c.address, Method: method, Sent: begun, Err: ctx.Err()}
	}
	c.mu.Lock()
	if c.cause != nil {
		err = c.cause
	}
	c.mu.Unlock()
	return &UnreachableError{Address: c.address, Sent: begun, Err: err}
}

func (c *clientConn) closed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (c *clientConn) close(cause error) {
	c.mu.Lock()
	if c.cause == nil {
		c.cause = cause
	}
	c.mu.Unlock()
	_ = c.rpc.Close()
}

func (c *clientConn) check(now time.Time) {
	switch c.health.check(now) {
	case verdictProbe:
		go c.probe()
	case verdictSilent:
		c.node.meter.silent.Add(1)
		c.close(&SilentError{})
	case verdictIdle:
		c.close(&ClosedError{})
	}
}

func (c *clientConn) probe() {
	id := c.nextID.Add(1)
	waiter, err := c.rpc.DispatchCall(c.node.ctx, methodPing, nil, jsonrpc2.PickID(jsonrpc2.ID{Num: id}))
	c.takeBegun(id)
	if err != nil {
		c.closeAfter(err)
		return
	}
	c.health.probed(time.Now())
	_ = waiter.Wait(c.node.ctx, nil)
}
