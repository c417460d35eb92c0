package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBufferBytes = 4 << 10
	// maxHeadBytes limits the status line and header of an answer together with the
	// interim answers before it.
	maxHeadBytes = 64 << 10
)

// errHeadTooLong reports an answer whose head exceeds maxHeadBytes.
var errHeadTooLong = errors.New("head of the answer exceeds the size limit")

// headLimiter reads from a connection. While limited is set it returns at most
// remaining bytes.
type headLimiter struct {
	source    io.Reader
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.source.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn is one connection to an endpoint. It serves one request at a time.
type conn struct {
	net.Conn
	limiter *headLimiter
	reader  *bufio.Reader
	reused  bool
	// sendStarted is set before the first byte of a request is written.
	sendStarted atomic.Bool
	// write is that of the current request; nil if it ended before its answer was read.
	write *requestWrite
	// expiresAt is the time from which an idle connection must not be used.
	expiresAt time.Time
}

func newConn(raw net.Conn) *conn {
	limiter := &headLimiter{source: raw}
	return &conn{Conn: raw, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes)}
}

// roundTrip writes a request and reads the status line and header of its answer.
func (c *conn) roundTrip(req *Request) (*Answer, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	if err := req.encode(buffer); err != nil {
		buffers.Put(buffer)
		return nil, err
	}
	c.sendStarted.Store(true)
	c.write = nil
	if len(req.Body) < concurrentWriteBytes {
		buffer.Write(req.Body)
		_, err := c.Write(buffer.Bytes())
		buffers.Put(buffer)
		if err != nil {
			return nil, err
		}
	} else {
		c.write = startWrite(c.Conn, buffer, req.Body)
	}
	return c.readHead(req.Method)
}

// abort resets the connection and discards data that was not delivered yet. After
// a normal close during a network partition, the kernel could still deliver a
// request seconds after its caller disconnected.
func (c *conn) abort() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		// SetLinger fails only on a closed socket.
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

// readHead reads the status line and header of the final answer. The error is a
// *httpconn.StatusError or ErrTooManyInterim if an answer can be parsed but not used.
func (c *conn) readHead(method string) (*Answer, error) {
	c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
	defer func() { c.limiter.limited = false }()
	for range maxInterimAnswers + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		interim, err := isInterim(resp.StatusCode)
		if err != nil {
			return nil, err
		}
		if !interim {
			return &Answer{Response: resp, conn: c}, nil
		}
	}
	return nil, ErrTooManyInterim
}

// isUsable reports whether an idle connection is open and no unread data has
// arrived on it. Such data would not belong to any request.
func (c *conn) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && usable
}

// Answer is the answer to a request. Its body must be read by one goroutine only.
type Answer struct {
	*http.Response
	conn     *conn
	pool     *pool
	address  string
	stop     func() bool
	deadline readDeadline
	complete bool
	closed   bool
}

// Read reads the body. io.EOF means that the body is complete. If the body ends with its
// connection and the request was not written in full, the error is ErrRequestNotWritten.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if unproven := a.proveEnd(); unproven != nil {
		return n, unproven
	}
	a.complete = true
	return n, err
}

// SetDeadline sets the deadline for reading; the zero time removes it. It may be called while
// another goroutine reads.
func (a *Answer) SetDeadline(t time.Time) { a.deadline.set(a.conn, t) }

// Reused reports whether the request was sent over a pooled connection.
func (a *Answer) Reused() bool { return a.conn.reused }

// Close returns the connection to the pool if the answer was read to its end and
// the endpoint keeps the connection open. Otherwise it resets the connection.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	notAborted := a.stop()
	reusable := notAborted && a.complete && !a.Response.Close && a.conn.write.succeeded() && a.conn.reader.Buffered() == 0
	if !reusable {
		a.conn.abort()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.pool.put(a.address, a.conn, keepAliveTimeout(a.Header), time.Now())
}

// Discard resets the connection, even if it could be reused.
func (a *Answer) Discard() {
	a.complete = false
	a.Close()
}

// keepAliveTimeout returns the idle timeout in the Keep-Alive header; 0 means none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
