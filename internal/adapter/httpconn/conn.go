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

// ErrSealed is returned by writes for a request that was reported as not sent, or that was sent before.
var ErrSealed = errors.New("connection sealed: its request must not be sent")

// Conn is a connection that counts what is written for each request.
type Conn struct {
	net.Conn
	// timedOut is set when a read met its deadline.
	timedOut atomic.Bool

	mu sync.Mutex
	// user numbers the requests that used the connection one after the other.
	user uint64
	// written is set when a byte was written for the current request, and
	// writing counts writes whose outcome is open.
	written bool
	writing int
	sealed  bool
}

func newConn(inner net.Conn) *Conn { return &Conn{Conn: inner} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, ErrSealed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.written = c.written || n > 0
	c.mu.Unlock()
	return n, err
}

// acquire begins the use of the connection by a request.
func (c *Conn) acquire() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user++
	c.written = false
	// An earlier user may have left its read deadline behind.
	_ = c.Conn.SetReadDeadline(time.Time{})
	return c.user
}

// arm sets the read deadline if the connection is still used by the same request.
func (c *Conn) arm(user uint64, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == user {
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// sent reports whether a byte of the request may have left. If none has, it
// seals the connection: net/http writes in another goroutine, which may come
// to its write only after the request was given up.
func (c *Conn) sent(user uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != user || c.written || c.writing > 0 {
		return true
	}
	c.sealed = true
	return false
}

// seal makes all later writes fail.
func (c *Conn) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}

// Use follows one request over the connection that carries it.
type Use struct {
	conn    *Conn
	user    uint64
	reused  bool
	unknown bool
	// first is how long the answer may take to begin; 0 means no bound.
	first time.Duration
}

// Track returns a context that makes a request report its connection to the
// Use and keeps net/http from replaying a request that may have left. The first byte of the answer must arrive within a time, unless that is 0.
// The Use may be read once the round trip has returned.
func Track(ctx context.Context, first time.Duration) (context.Context, *Use) {
	use := &Use{first: first}
	trace := &httptrace.ClientTrace{GotConn: use.gotConn}
	return httptrace.WithClientTrace(ctx, trace), use
}

func (u *Use) gotConn(info httptrace.GotConnInfo) {
	conn, tracked := info.Conn.(*Conn)
	if !tracked {
		u.unknown = true
		return
	}
	// A second connection means that net/http replays the request. That is
	// stopped unless the first connection is proven to have carried nothing.
	replay := u.unknown || u.conn != nil && u.conn.sent(u.user)
	u.unknown = replay
	u.conn = conn
	u.user = conn.acquire()
	u.reused = info.Reused
	if replay {
		conn.seal()
		return
	}
	if u.first > 0 {
		conn.arm(u.user, time.Now().Add(u.first))
	}
}

// Sent reports, after a failed round trip, whether a byte of the request may
// have left. False is proof that none did and none will.
func (u *Use) Sent() bool {
	if u.unknown {
		return true
	}
	return u.conn != nil && u.conn.sent(u.user)
}

// Reused reports whether the request went over a pooled connection.
func (u *Use) Reused() bool { return u.reused }

// Silent reports whether the connection met a read deadline.
func (u *Use) Silent() bool { return u.conn != nil && u.conn.timedOut.Load() }

// Arm sets the time until which something must be read; the zero time removes it.
func (u *Use) Arm(deadline time.Time) {
	if u.conn != nil {
		u.conn.arm(u.user, deadline)
	}
}
