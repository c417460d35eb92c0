package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// ErrRequestNotWritten reports that a body ended with its connection although its request was
// not written in full, so that the end does not prove that the body is complete.
var ErrRequestNotWritten = errors.New("request not written in full")

// requestWrite is the write of a request that runs concurrently with reading its answer. Nil
// stands for a write that ended before.
type requestWrite struct {
	done chan struct{}
	// err is the result of the write. It is set before done is closed.
	err error
}

// startWrite writes a request in the background.
func startWrite(conn net.Conn, head *bytes.Buffer, body []byte) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	go w.run(conn, head, body)
	return w
}

func (w *requestWrite) run(conn net.Conn, head *bytes.Buffer, body []byte) {
	defer close(w.done)
	parts := net.Buffers{head.Bytes(), body}
	_, w.err = parts.WriteTo(conn)
	buffers.Put(head)
}

// wait returns the result of the write once it has ended.
func (w *requestWrite) wait() error {
	if w == nil {
		return nil
	}
	<-w.done
	return w.err
}

// succeeded reports whether the request is written in full.
func (w *requestWrite) succeeded() bool {
	if w == nil {
		return true
	}
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// readDeadline is the deadline for reading an answer. Once the body has ended it limits the
// write of the request, which is all that the reader then waits for.
type readDeadline struct {
	mu           sync.Mutex
	at           time.Time
	limitsWrites bool
}

func (d *readDeadline) set(conn net.Conn, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	// Setting a deadline fails only on a closed connection.
	_ = conn.SetReadDeadline(at)
	if d.limitsWrites {
		_ = conn.SetWriteDeadline(at)
	}
}

// limitWrites makes the deadline one for writing as well.
func (d *readDeadline) limitWrites(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limitsWrites = true
	_ = conn.SetWriteDeadline(d.at)
}

// proveEnd returns nil if the end of the body proves that it is complete. A reset is reported to
// one system call only: if the write of the request takes the error, reading sees an end like that
// of a close in order. Such an end is therefore judged once the write has ended. It ends at the
// latest with the read deadline or the context, and soon after a reset. An endpoint that has
// ended its answer may still read the rest of its request.
func (a *Answer) proveEnd() error {
	if a.Framing() != FramingClose {
		return nil
	}
	a.deadline.limitWrites(a.conn)
	if err := a.conn.write.wait(); err != nil {
		return fmt.Errorf("%w: %w", ErrRequestNotWritten, err)
	}
	return nil
}
