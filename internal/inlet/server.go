package inlet

import (
	"cmp"
	"context"
	"crypto/tls"
	"io"
	stdlog "log"
	"net"
	"net/http"
)

// maxHeaderBytes bounds the heads of servers that set no bound. Clients stay far below it.
const maxHeaderBytes = 64 << 10

// connKey is the context key of the connection of a request.
type connKey struct{}

// connOf returns the connection of a request, or nil if it came through no inlet.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// AccountOf returns the account of the connection of a request, or nil if it came through no
// inlet.
func AccountOf(ctx context.Context) *Account {
	if c := connOf(ctx); c != nil {
		return c.account
	}
	return nil
}

// Bound makes a server obey the limits of the listener that it serves. The bodies of requests
// are counted with a number of copies of each byte that the handler makes; 0 leaves counting to
// the handler, see NewBody.
func Bound(server *http.Server, l *Listener, copies int64) {
	next := server.Handler
	l.encrypted, l.countAnswers = server.TLSConfig != nil, copies > 0
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serve(next, copies, w, r) })
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if secure, ok := conn.(*tls.Conn); ok {
			conn = secure.NetConn()
		}
		c, ok := conn.(*Conn)
		switch {
		case !ok:
		case state == http.StateActive:
			c.endHead()
		case state == http.StateIdle:
			c.phase.Store(phaseIdle)
		}
	}
	server.MaxHeaderBytes = cmp.Or(server.MaxHeaderBytes, maxHeaderBytes)
	if server.ErrorLog == nil {
		// The server would write a line for each connection that fails.
		server.ErrorLog = stdlog.New(io.Discard, "", 0)
	}
}

// serve handles a request within the limits of the listener.
func (l *Listener) serve(next http.Handler, copies int64, w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	c.startRequest(r.ContentLength != 0)
	defer c.endRequest()
	if endedByClose(r) {
		c.beginAnswer()
	}
	returned := false
	defer func() { c.endHandler(returned) }()
	l.handle(next, copies, w, r, c)
	returned = true
}

// handle calls the handler of a request.
func (l *Listener) handle(next http.Handler, copies int64, w http.ResponseWriter, r *http.Request, c *Conn) {
	if most := l.limits.Load().MaxHeaderBytes; most > 0 && headBytes(r) > most {
		l.inlet.events.record(ReasonHeadSize, l.name, r.RemoteAddr)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	body := &countedBody{ReadCloser: r.Body, conn: c, copies: copies}
	defer body.release()
	r.Body = body
	next.ServeHTTP(w, r)
}

// countedBody tells the connection when a body was read to its end, and takes what it holds
// from the budget.
type countedBody struct {
	io.ReadCloser
	conn   *Conn
	copies int64
	taken  int64
}

// Read implements io.Reader. The error may be ErrFull.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.copies > 0 {
		if full := b.conn.account.Add(b.copies * int64(n)); full != nil {
			b.conn.listener.inlet.events.record(ReasonMemory, b.conn.listener.name, b.conn.RemoteAddr().String())
			return 0, full
		}
		b.taken += b.copies * int64(n)
	}
	if err != nil {
		b.conn.phase.CompareAndSwap(phaseBody, phaseRunning)
	}
	return n, err
}

// release returns the memory of the body to the budget.
func (b *countedBody) release() { b.conn.account.Release(b.taken) }
