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

// ErrOpen says that the end of an answer was read but its request was not yet written.
var ErrOpen = errors.New("request not written in full")

const readBuffer = 4 << 10

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// conn is one connection to an endpoint. It serves one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
	// started is set before the first byte of a request is written.
	started atomic.Bool
	// unwritten is set while a request is written beside the reading.
	unwritten atomic.Bool
	// until is when an idle connection must not be used any more.
	until time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// exchange writes a request and reads the head of its answer.
func (c *conn) exchange(req *Request) (*Answer, error) {
	buffer := buffers.Get().(*bytes.Buffer)
	buffer.Reset()
	if err := req.encode(buffer); err != nil {
		buffers.Put(buffer)
		return nil, err
	}
	c.started.Store(true)
	if len(req.Body) < separateWriteBytes {
		buffer.Write(req.Body)
		_, err := c.Write(buffer.Bytes())
		buffers.Put(buffer)
		if err != nil {
			return nil, err
		}
	} else {
		c.unwritten.Store(true)
		go c.writeBeside(buffer, req.Body)
	}
	return c.readHead(req.Method)
}

// writeBeside writes a long request. A failure shows in the reading as well.
func (c *conn) writeBeside(head *bytes.Buffer, body []byte) {
	parts := net.Buffers{head.Bytes(), body}
	_, err := parts.WriteTo(c.Conn)
	buffers.Put(head)
	if err == nil {
		c.unwritten.Store(false)
	}
}

// abort closes the connection and drops what was not delivered yet. A plain
// close would leave the kernel to deliver a request behind a partition seconds
// after its caller left.
func (c *conn) abort() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		// It fails only on a closed socket.
		_ = socket.SetLinger(0)
	}
	_ = c.Close()
}

func (c *conn) readHead(method string) (*Answer, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return &Answer{Response: resp, conn: c}, nil
		}
	}
}

// isQuiet reports whether an idle connection is open and nothing arrived on
// it. Bytes that arrived belong to no request.
func (c *conn) isQuiet() bool {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Answer is the answer to a request. Its body is read by one goroutine.
type Answer struct {
	*http.Response
	conn    *conn
	pool    *pool
	address string
	stop    func() bool
	ended   bool
	closed  bool
}

// Read reads the body. io.EOF means that it is complete.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// SetDeadline bounds the wait for the next bytes; the zero time removes the bound.
func (a *Answer) SetDeadline(t time.Time) { _ = a.conn.SetReadDeadline(t) }

// Reused reports whether the request went over a pooled connection.
func (a *Answer) Reused() bool { return a.conn.reused }

// Close gives the connection back if the answer was read to its end and the
// endpoint keeps it open, and closes it otherwise.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	alive := a.stop()
	reusable := alive && a.ended && !a.Response.Close && !a.conn.unwritten.Load() && a.conn.reader.Buffered() == 0
	if !reusable {
		a.conn.abort()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.pool.put(a.address, a.conn, keepAlive(a.Header), time.Now())
}

// Discard closes the connection, whatever state the answer is in.
func (a *Answer) Discard() {
	a.ended = false
	a.Close()
}

// keepAlive returns the idle timeout that the endpoint named; 0 means none.
func keepAlive(header http.Header) time.Duration {
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
