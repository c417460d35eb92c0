package peerrpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/guard"
	"github.com/boragelead/boragelead/internal/inlet"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	codeNoMethod = jsonrpc2.CodeMethodNotFound
	// codeBusy and codeFailed are in the range that JSON-RPC 2.0 reserves for servers.
	codeBusy   = -32000
	codeFailed = -32001
)

// serverIdleTimeout is the time after which a served connection that receives no
// data is closed. A live client probes or closes the connection earlier.
const serverIdleTimeout = idleTimeout + 2*idleProbeInterval

// Pauses before connections are accepted again after a failure, doubled with each failure in a
// row. The usual failure is a lack of descriptors, which ends as connections do.
const (
	minAcceptPause = 20 * time.Millisecond
	maxAcceptPause = time.Second
)

const (
	// maxPings bounds the probes of one connection that are being answered.
	maxPings = 8
	// maxServedCalls bounds the calls of all connections that are served at once. 370 entries
	// poll a replica with up to four calls each.
	maxServedCalls = 4096
)

// Serve accepts connections until the listener or the node is closed. It goes on after other
// failures to accept: a daemon that other daemons do not reach any more would be of no use.
func (n *Node) Serve(listener net.Listener) {
	if !n.addListener(listener) {
		return
	}
	pause := minAcceptPause
	for {
		raw, err := listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			if n.options.Log != nil {
				n.options.Log.Warn("Connection of another daemon not accepted.", zap.Duration("pause", pause), zap.Error(err))
			}
			if !wait.For(n.ctx, pause) {
				return
			}
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if !n.addServedConn() {
			_ = raw.Close()
			return
		}
		go func() {
			defer n.servedConns.Done()
			n.serveConn(raw)
		}()
	}
}

// addListener records a listener that Close has to close. If the node is already
// closed, addListener closes the listener and returns false.
func (n *Node) addListener(listener net.Listener) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = listener.Close()
		return false
	}
	n.listeners = append(n.listeners, listener)
	return true
}

// addServedConn adds a connection that Close waits for. It returns false if the node
// is already closed, since Close may be waiting by then.
func (n *Node) addServedConn() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.servedConns.Add(1)
	return true
}

func (n *Node) serveConn(raw net.Conn) {
	bounded, _ := raw.(*inlet.Conn)
	if tcp, ok := socketOf(raw).(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
		if rawConn, err := tcp.SyscallConn(); err == nil {
			_ = setUserTimeout("tcp", "", rawConn)
		}
	}
	metered := &meteredConn{Conn: raw, meter: &n.meter}
	metered.onRead = func() { _ = raw.SetReadDeadline(time.Now().Add(serverIdleTimeout)) }
	metered.onRead()
	var stream net.Conn = metered
	if n.options.ServerTLS != nil {
		tlsConn := tls.Server(stream, n.options.ServerTLS)
		ctx, cancel := context.WithTimeout(n.ctx, DefaultTimeout)
		err := tlsConn.HandshakeContext(ctx)
		cancel()
		if err != nil {
			_ = raw.Close()
			return
		}
		stream = tlsConn
	}
	handler := &connHandler{node: n}
	frames := newFrameStream(stream, nil)
	frames.bounded = bounded
	conn := jsonrpc2.NewConn(n.ctx, frames, handler, jsonrpc2.SetLogger(discardLogger))
	<-conn.DisconnectNotify()
}

// socketOf returns the socket below a connection of an inlet.
func socketOf(conn net.Conn) net.Conn {
	if bounded, ok := conn.(*inlet.Conn); ok {
		return bounded.NetConn()
	}
	return conn
}

// connHandler serves the calls of one connection, each in its own goroutine.
type connHandler struct {
	node     *Node
	inFlight atomic.Int64
	// pings is the number of probes whose reply is not written yet.
	pings atomic.Int64
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodPing {
		// A peer sends its next probe after the answer to the last one. A reply that cannot be
		// written must not hold a goroutine for each further probe.
		if h.pings.Add(1) > maxPings {
			h.pings.Add(-1)
			h.node.meter.refused.Add(1)
			return
		}
		go func() {
			defer h.pings.Add(-1)
			h.reply(ctx, conn, req, nil, nil)
		}()
		return
	}
	if h.node.inFlight.Add(1) > maxServedCalls {
		h.node.inFlight.Add(-1)
		h.refuseBusy(ctx, conn, req)
		return
	}
	if h.inFlight.Add(1) > int64(h.node.options.MaxInFlight) {
		h.inFlight.Add(-1)
		h.node.inFlight.Add(-1)
		h.refuseBusy(ctx, conn, req)
		return
	}
	go func() {
		defer h.node.inFlight.Add(-1)
		defer h.inFlight.Add(-1)
		result, err := h.run(ctx, req)
		size, ok := h.node.reserveReply(len(result))
		if !ok {
			h.node.meter.refused.Add(1)
			result, err = nil, &jsonrpc2.Error{Code: codeFailed, Message: "too many bytes of results in flight"}
		}
		defer h.node.replyBytes.Add(-size)
		h.reply(ctx, conn, req, result, err)
	}()
}

func (h *connHandler) refuseBusy(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	h.node.meter.refused.Add(1)
	h.reply(ctx, conn, req, nil, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls in flight"})
}

// smallReplyBytes is the size up to which results are always sent and not counted, so
// that large ones do not keep back heartbeats and grants.
const smallReplyBytes = 4 << 10

// reserveReply reports whether a result may be sent, and returns the size to subtract
// from replyBytes once it is sent.
func (n *Node) reserveReply(result int) (size int64, ok bool) {
	if result <= smallReplyBytes {
		return 0, true
	}
	size = int64(result)
	inFlight := n.replyBytes.Add(size)
	if inFlight <= n.options.MaxReplyBytes || inFlight == size {
		return size, true
	}
	n.replyBytes.Add(-size)
	return 0, false
}

func (h *connHandler) run(ctx context.Context, req *jsonrpc2.Request) ([]byte, *jsonrpc2.Error) {
	handler := h.node.handlers[req.Method]
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: codeNoMethod, Message: "no such method"}
	}
	var params []byte
	if req.Params != nil {
		if err := json.Unmarshal(*req.Params, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
	}
	h.node.meter.served.Add(1)
	var result []byte
	var err error
	if panicked := guard.Run(func() { result, err = handler(ctx, params) }); panicked != nil {
		h.node.meter.panics.Add(1)
		if h.node.options.Log != nil {
			h.node.options.Log.Error("Call failed unexpectedly.", zap.String("method", req.Method), zap.Error(panicked))
		}
		return nil, &jsonrpc2.Error{Code: codeFailed, Message: "unexpected failure"}
	}
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	}
	return result, nil
}

func (h *connHandler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result []byte, rpcErr *jsonrpc2.Error) {
	if req.Notif {
		return
	}
	var err error
	if rpcErr != nil {
		err = conn.ReplyWithError(ctx, req.ID, rpcErr)
	} else {
		err = conn.Reply(ctx, req.ID, result)
	}
	if err != nil {
		_ = conn.Close()
	}
}
