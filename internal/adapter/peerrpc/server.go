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
)

const (
	codeNoMethod = jsonrpc2.CodeMethodNotFound
	// codeBusy and codeFailed are in the range that JSON-RPC 2.0 leaves to servers.
	codeBusy   = -32000
	codeFailed = -32001
)

// serverIdle closes a served connection on which nothing arrived. A live
// client probes or closes it earlier.
const serverIdle = idleClose + 2*idleProbeInterval

// Serve accepts connections until the listener or the node is closed.
func (n *Node) Serve(listener net.Listener) error {
	if !n.listen(listener) {
		return nil
	}
	for {
		raw, err := listener.Accept()
		if err != nil {
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if !n.takeOn() {
			_ = raw.Close()
			return nil
		}
		go func() {
			defer n.serving.Done()
			n.serveConn(raw)
		}()
	}
}

// listen notes a listener for Close. It closes it, and reports false, where the
// node is closed already.
func (n *Node) listen(listener net.Listener) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = listener.Close()
		return false
	}
	n.listeners = append(n.listeners, listener)
	return true
}

// takeOn counts a connection that Close waits for, and reports false where the
// node is closed already: Close may wait by then.
func (n *Node) takeOn() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		return false
	}
	n.serving.Add(1)
	return true
}

func (n *Node) serveConn(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
		if control, err := tcp.SyscallConn(); err == nil {
			_ = setUserTimeout("tcp", "", control)
		}
	}
	metered := &meteredConn{Conn: raw, meter: &n.meter}
	metered.onRead = func() { _ = raw.SetReadDeadline(time.Now().Add(serverIdle)) }
	metered.onRead()
	var stream net.Conn = metered
	if n.options.ServerTLS != nil {
		secure := tls.Server(stream, n.options.ServerTLS)
		ctx, cancel := context.WithTimeout(n.ctx, DefaultTimeout)
		err := secure.HandshakeContext(ctx)
		cancel()
		if err != nil {
			_ = raw.Close()
			return
		}
		stream = secure
	}
	handler := &connHandler{node: n}
	conn := jsonrpc2.NewConn(n.ctx, newFrameStream(stream, nil), handler, jsonrpc2.SetLogger(quiet))
	<-conn.DisconnectNotify()
}

// connHandler serves the calls of one connection, each in its own goroutine.
type connHandler struct {
	node     *Node
	inFlight atomic.Int64
}

// Handle implements jsonrpc2.Handler.
func (h *connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Method == methodPing {
		go h.reply(ctx, conn, req, nil, nil)
		return
	}
	if h.inFlight.Add(1) > int64(h.node.options.MaxInFlight) {
		h.inFlight.Add(-1)
		h.node.meter.refused.Add(1)
		h.reply(ctx, conn, req, nil, &jsonrpc2.Error{Code: codeBusy, Message: "too many calls in flight"})
		return
	}
	go func() {
		defer h.inFlight.Add(-1)
		result, err := h.run(ctx, req)
		h.reply(ctx, conn, req, result, err)
	}()
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
	result, err := handler(ctx, params)
	if err != nil {
		return nil, &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	}
	return result, nil
}

func (h *connHandler) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, result []byte, failure *jsonrpc2.Error) {
	if req.Notif {
		return
	}
	var err error
	if failure != nil {
		err = conn.ReplyWithError(ctx, req.ID, failure)
	} else {
		err = conn.Reply(ctx, req.ID, result)
	}
	if err != nil {
		_ = conn.Close()
	}
}
