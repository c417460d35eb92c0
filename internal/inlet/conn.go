package inlet

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout closes a connection whose client takes none of an answer for this long.
	writeTimeout = 30 * time.Second
	// writeBytes is the size of the parts in which answers are written, so that progress shows.
	writeBytes = 64 << 10
	// refusalTimeout bounds the write of a refusal to a client that is disconnected.
	refusalTimeout = 50 * time.Millisecond
	// progressBytes is the least number of bytes within a request that count as progress.
	progressBytes = 1 << 10
	// headCopies is how often a head is held while it is read and decoded.
	headCopies = 2
	// kernelBytes bounds each of the two kernel buffers of a connection of a caller. The kernel
	// doubles it, which is enough for 25 Mbit/s at a round trip of 40 ms.
	kernelBytes = 128 << 10
)

// Refusals that are written before a request was read to its end, so that it has not run. Its
// deadline is not known yet. Retry-After may be three tenths of the time left at most, and the
// shortest deadline of ordinary requests is 2.5 s.
const (
	refusalUnavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	refusalTimedOut    = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Phases of a connection.
const (
	// phaseHead lasts from accepting a connection, or from the first byte of a later request,
	// until the head was read.
	phaseHead = iota
	phaseBody
	// phaseRunning lasts from the end of the body to the end of the answer.
	phaseRunning
	// phaseIdle is between two requests.
	phaseIdle
)

// Conn is a connection that takes a place of a listener.
type Conn struct {
	net.Conn
	listener *Listener
	address  netip.Addr
	account  *Account
	phase    atomic.Int32
	// requests is the number of requests that run. It exceeds 1 with HTTP/2 only.
	requests atomic.Int32
	// progress is when the connection last made progress, in nanoseconds since the Unix epoch.
	// unmarked is the number of bytes of a request that arrived since then.
	progress atomic.Int64
	unmarked atomic.Int64
	writing  atomic.Bool
	// headStart is when the first byte of the head arrived, as progress; 0 before.
	headStart atomic.Int64
	// headTaken is what the account holds for the head.
	headTaken atomic.Int64
	// end is an answerEnd.
	end       atomic.Int32
	closeOnce sync.Once

	mu sync.Mutex
	// readDeadline and writeDeadline are those that the server set.
	readDeadline, writeDeadline time.Time
}

func newConn(l *Listener, raw net.Conn, address netip.Addr) *Conn {
	c := &Conn{Conn: raw, listener: l, address: address, account: l.inlet.budget.NewAccount()}
	if !l.http {
		c.phase.Store(phaseIdle)
	}
	// The bytes of a connection are counted, but it is its place that is limited.
	c.account.taken = connBytes
	l.inlet.budget.used.Add(connBytes)
	c.progress.Store(time.Now().UnixNano())
	if socket, ok := raw.(*net.TCPConn); ok && l.boundBuffers {
		_ = socket.SetReadBuffer(kernelBytes)
		_ = socket.SetWriteBuffer(kernelBytes)
	}
	return c
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// progressAt returns when the connection last made progress.
func (c *Conn) progressAt() time.Time { return time.Unix(0, c.progress.Load()) }

// stuck reports whether the connection is in the middle of a request that the client has not
// sent to its end, or of an answer that it has not taken for stallTime.
func (c *Conn) stuck(now time.Time) bool {
	switch c.phase.Load() {
	case phaseHead, phaseBody:
		return true
	}
	return c.writing.Load() && now.Sub(c.progressAt()) >= stallTime
}

// idle reports whether the connection has no request.
func (c *Conn) idle() bool { return c.phase.Load() == phaseIdle }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	phase := c.phase.Load()
	if c.listener.http && (phase == phaseIdle || phase == phaseHead) {
		c.applyReadDeadline()
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.isProgress(phase, int64(n)) {
		c.progress.Store(time.Now().UnixNano())
	}
	if !c.listener.http {
		return n, err
	}
	if n > 0 && (phase == phaseHead || phase == phaseIdle) {
		if headErr := c.readHead(int64(n)); headErr != nil {
			return 0, headErr
		}
	}
	if phase == phaseHead && c.headStart.Load() > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.refuse(ReasonHeadTime, refusalTimedOut)
	}
	return n, err
}

// isProgress reports whether bytes that arrived count as progress. Within a request, single bytes
// do not: a client could otherwise keep its place, and a declared body, with a byte now and then.
func (c *Conn) isProgress(phase int32, bytes int64) bool {
	if !c.listener.http || phase == phaseIdle || phase == phaseRunning {
		return true
	}
	if c.unmarked.Add(bytes) < progressBytes {
		return false
	}
	c.unmarked.Store(0)
	return true
}

// readHead counts bytes of a head. The error is ErrFull.
func (c *Conn) readHead(n int64) error {
	c.phase.CompareAndSwap(phaseIdle, phaseHead)
	c.headStart.CompareAndSwap(0, time.Now().UnixNano())
	if err := c.account.Add(headCopies * n); err != nil {
		c.refuse(ReasonMemory, refusalUnavailable)
		// The server does not answer after a failed read of the connection.
		return &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	c.headTaken.Add(headCopies * n)
	return nil
}

// refuse answers a request that was not read to its end.
func (c *Conn) refuse(reason Reason, answer string) {
	c.listener.inlet.events.record(reason, c.listener.name, c.RemoteAddr().String())
	if c.listener.encrypted {
		return
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write([]byte(answer))
}

// BeginMessage counts bytes of a message on a connection without HTTP. Until EndMessage, the
// connection counts as in the middle of a request. The error is ErrFull.
func (c *Conn) BeginMessage(bytes int64) error {
	c.phase.Store(phaseBody)
	if err := c.account.Add(bytes); err != nil {
		c.listener.inlet.events.record(ReasonMemory, c.listener.name, c.RemoteAddr().String())
		return err
	}
	return nil
}

// EndMessage returns the bytes of a message that was decoded.
func (c *Conn) EndMessage(bytes int64) {
	c.account.Release(bytes)
	c.phase.Store(phaseIdle)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if answerEnd(c.end.Load()) == endBroken {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: ErrAnswerBroken}
	}
	n, err := c.write(p)
	if err != nil {
		c.breakAnswer()
	}
	return n, err
}

// write writes within the limits of the listener.
func (c *Conn) write(p []byte) (int, error) {
	if held := int64(len(p)); c.listener.countAnswers && held > writeBytes {
		if err := c.account.Add(held); err != nil {
			c.listener.inlet.events.record(ReasonMemory, c.listener.name, c.RemoteAddr().String())
			return 0, err
		}
		defer c.account.Release(held)
	}
	c.writing.Store(true)
	defer c.writing.Store(false)
	written := 0
	for {
		c.applyWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if n > 0 {
			c.progress.Store(time.Now().UnixNano())
		}
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(c.progressAt()) >= writeTimeout {
				c.listener.inlet.events.record(ReasonUnread, c.listener.name, c.RemoteAddr().String())
			}
			return written, err
		}
		if written >= len(p) {
			return written, nil
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. net/http removes the deadline between the last write of
// an answer and the close of the connection, and tells the end of the answer in no other way.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		c.finishAnswer()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// applyReadDeadline sets the earlier of the read deadline that the server set and the one that
// follows from the time-outs of the document.
func (c *Conn) applyReadDeadline() {
	limits := c.listener.limits.Load()
	start, timeout := c.headStart.Load(), limits.HeaderTimeout
	if start == 0 {
		start, timeout = c.progress.Load(), limits.IdleTimeout
		if c.phase.Load() != phaseIdle {
			// The server's own timeout bounds the wait for the first request.
			return
		}
	}
	if timeout <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetReadDeadline(earlier(time.Unix(0, start).Add(timeout), c.readDeadline))
}

// earlier returns the earlier of two deadlines; a zero time is none.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}

// applyWriteDeadline sets the earlier of a write deadline and the one that the server set.
func (c *Conn) applyWriteDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(earlier(deadline, c.writeDeadline))
}

// endHead is called when the head of a request was read, and before the server starts to watch
// the connection for its end. Otherwise that read would obey the time for heads and, after it,
// end a request that runs.
func (c *Conn) endHead() {
	c.headStart.Store(0)
	c.progress.Store(time.Now().UnixNano())
	c.phase.Store(phaseRunning)
}

// startRequest is called when the handler of a request begins.
func (c *Conn) startRequest(hasBody bool) {
	phase := int32(phaseRunning)
	// A connection that carries several requests may be running one of them.
	if c.requests.Add(1) == 1 && hasBody {
		phase = phaseBody
	}
	c.phase.Store(phase)
}

// endRequest is called after the handler has returned.
func (c *Conn) endRequest() {
	c.requests.Add(-1)
	c.account.Release(c.headTaken.Swap(0))
}

// evict closes the connection for the place or the bytes of another. What it holds counts as
// free at once, since its handler ends shortly after.
func (c *Conn) evict(reason Reason) {
	c.listener.inlet.events.record(reason, c.listener.name, c.RemoteAddr().String())
	c.breakAnswer()
	_ = c.Close()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.forget(c)
		c.listener.mu.Unlock()
		c.account.close()
	})
	return c.Conn.Close()
}
