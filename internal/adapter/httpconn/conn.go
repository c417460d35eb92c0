package httpconn

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// ErrWritesBlocked is returned by writes on a connection whose request was reported as
// not sent, or whose request may already have been sent over another connection.
var ErrWritesBlocked = errors.New("writes to the connection are blocked: its request must not be sent")

// Conn is a connection that records whether bytes were written for the current request.
type Conn struct {
	net.Conn
	// readTimedOut is set once a read has failed because its deadline passed.
	readTimedOut atomic.Bool

	mu sync.Mutex
	// useNumber is the number of requests that have used the connection, including
	// the current one. It identifies the current request.
	useNumber uint64
	// wroteByte is set once a byte was written for the current request.
	// pendingWrites counts the writes that have not returned.
	wroteByte     bool
	pendingWrites int
	writesBlocked bool
	// writeFailed is set once a write has failed. writeReturned is signalled after each write.
	writeFailed   bool
	writeReturned *sync.Cond
}

func newConn(inner net.Conn) *Conn {
	c := &Conn{Conn: inner}
	c.writeReturned = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.readTimedOut.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, ErrWritesBlocked
	}
	c.pendingWrites++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.pendingWrites--
	c.wroteByte = c.wroteByte || n > 0
	c.writeFailed = c.writeFailed || err != nil
	c.writeReturned.Broadcast()
	c.mu.Unlock()
	return n, err
}

// startUse starts the use of the connection by a request and returns its number.
func (c *Conn) startUse() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.useNumber++
	c.wroteByte = false
	// Clear the read deadline that an earlier request may have set.
	_ = c.Conn.SetReadDeadline(time.Time{})
	return c.useNumber
}

// setReadDeadline sets the read deadline if the connection is still used by the
// request with the given number.
func (c *Conn) setReadDeadline(useNumber uint64, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.useNumber == useNumber {
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// sentOrBlockWrites reports whether a byte of the request may have been sent. If not,
// it blocks later writes: net/http writes in a goroutine of its own, which may reach
// its write only after the request was abandoned.
func (c *Conn) sentOrBlockWrites(useNumber uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.useNumber != useNumber || c.wroteByte || c.pendingWrites > 0 {
		return true
	}
	c.writesBlocked = true
	return false
}

// blockWrites makes all later writes fail with ErrWritesBlocked.
func (c *Conn) blockWrites() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
}

// Use tracks the connection that carries a request.
type Use struct {
	conn      *Conn
	useNumber uint64
	reused    bool
	// maybeSent is set if the request used a connection that is not a Conn, or if
	// net/http replayed it after a byte may have been sent.
	maybeSent bool
	// firstByteTimeout bounds the time until the first byte of the response; 0 means
	// no bound.
	firstByteTimeout time.Duration
	// written is the result of writing the request to the current connection.
	written atomic.Pointer[writeResult]
	// replayable is set if net/http may replay the request.
	replayable bool
}

// Track returns a context that makes a request report its connection to the Use, and
// that keeps net/http from replaying a request that may have been sent. The first
// byte of the response must arrive within firstByteTimeout, unless that is 0. The
// Use may be read once the round trip has returned.
func Track(ctx context.Context, firstByteTimeout time.Duration) (context.Context, *Use) {
	return track(ctx, &Use{firstByteTimeout: firstByteTimeout})
}

// TrackReplayable is Track for a request that net/http may replay. Sent covers all replays.
func TrackReplayable(ctx context.Context) (context.Context, *Use) {
	return track(ctx, &Use{replayable: true})
}

func track(ctx context.Context, use *Use) (context.Context, *Use) {
	trace := &httptrace.ClientTrace{
		GotConn:      use.gotConn,
		WroteRequest: use.wroteRequest,
	}
	return httptrace.WithClientTrace(ctx, trace), use
}

func (u *Use) gotConn(info httptrace.GotConnInfo) {
	u.written.Store(newWriteResult())
	conn, tracked := info.Conn.(*Conn)
	if !tracked {
		u.maybeSent = true
		return
	}
	// A second connection means that net/http replays the request. The replay is
	// blocked unless it is proven that the first connection sent no byte of it.
	u.maybeSent = u.maybeSent || u.conn != nil && u.conn.sentOrBlockWrites(u.useNumber)
	u.conn = conn
	u.useNumber = conn.startUse()
	u.reused = info.Reused
	if u.maybeSent && !u.replayable {
		conn.blockWrites()
		return
	}
	if u.firstByteTimeout > 0 {
		conn.setReadDeadline(u.useNumber, time.Now().Add(u.firstByteTimeout))
	}
}

func (u *Use) wroteRequest(info httptrace.WroteRequestInfo) { u.written.Load().set(info) }

// Sent reports, after a failed round trip, whether a byte of the request may have
// been sent. A result of false proves that none was sent and that none will be.
func (u *Use) Sent() bool {
	if u.maybeSent {
		return true
	}
	return u.conn != nil && u.conn.sentOrBlockWrites(u.useNumber)
}

// Reused reports whether the request used a pooled connection.
func (u *Use) Reused() bool { return u.reused }

// Silent reports whether a read from the connection exceeded its deadline.
func (u *Use) Silent() bool { return u.conn != nil && u.conn.readTimedOut.Load() }

// SetReadDeadline sets the read deadline of the connection while it is used by the
// request. The zero time removes the deadline.
func (u *Use) SetReadDeadline(deadline time.Time) {
	if u.conn != nil {
		u.conn.setReadDeadline(u.useNumber, deadline)
	}
}
