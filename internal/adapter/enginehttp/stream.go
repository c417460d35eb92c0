package enginehttp

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// drainTimeout limits the wait for the end of the HTTP response after the
	// last frame. A connection can be reused only after the response has ended.
	drainTimeout = 50 * time.Millisecond
	// drainBytes limits how much is read after the last frame.
	drainBytes = 1024
	// idleSlackDivisor determines the slack of the idle timeout: the read
	// deadline is up to 1/idleSlackDivisor of the timeout late, so that it need
	// not be set for every frame.
	idleSlackDivisor = 4
)

// frameStream reads the frames of one attempt.
type frameStream struct {
	client  *Client
	baseURL string
	reply   *reply
	scanner *scanner
	ended   atomic.Bool
	// idleTimeout is the idle timeout in nanoseconds; 0 means none.
	idleTimeout atomic.Int64
	// deadline is the read deadline of the connection.
	deadline time.Time
	// noDeadline is set when the connection has no read deadline.
	noDeadline bool
}

func newFrameStream(c *Client, baseURL string, r *reply) *frameStream {
	s := &frameStream{client: c, baseURL: baseURL, reply: r}
	s.idleTimeout.Store(int64(c.options.idleTimeout))
	s.scanner = newScanner(s)
	return s
}

// SetIdle implements port.IdleStream.
func (s *frameStream) SetIdle(d time.Duration) { s.idleTimeout.Store(int64(d)) }

// Read implements io.Reader for the scanner. It updates the read deadline before
// it waits for more bytes.
func (s *frameStream) Read(p []byte) (int, error) {
	s.updateDeadline(time.Now())
	return s.reply.body.Read(p)
}

// updateDeadline sets a new read deadline when the current one is closer than the
// idle timeout, or much later because the idle timeout was reduced. Without an
// idle timeout it removes the deadline.
func (s *frameStream) updateDeadline(now time.Time) {
	idleTimeout := time.Duration(s.idleTimeout.Load())
	if idleTimeout <= 0 {
		// Before the first frame the deadline for the status line is still set.
		if !s.noDeadline {
			s.reply.use.SetReadDeadline(time.Time{})
		}
		s.noDeadline, s.deadline = true, time.Time{}
		return
	}
	s.noDeadline = false
	slack := idleTimeout / idleSlackDivisor
	remaining := s.deadline.Sub(now)
	if remaining < idleTimeout || remaining > idleTimeout+2*slack {
		s.deadline = now.Add(idleTimeout + slack)
		s.reply.use.SetReadDeadline(s.deadline)
	}
}

// Next implements port.FrameStream.
func (s *frameStream) Next(frame *endpoint.Frame) error {
	if s.ended.Load() {
		return io.EOF
	}
	if err := s.scanner.next(frame); err != nil {
		return s.transportError(err)
	}
	if frame.Type == endpoint.FrameDone || frame.Type == endpoint.FrameError {
		s.ended.Store(true)
		s.reply.use.SetReadDeadline(time.Time{})
	}
	return nil
}

// Pending implements port.BufferedStream.
func (s *frameStream) Pending() bool { return s.scanner.pending() }

// transportError returns the error of a broken stream. If the engine went
// silent, it also starts a check of the engine's connection pool.
func (s *frameStream) transportError(err error) error {
	silent := s.reply.use.Silent()
	if silent {
		s.client.suspect(s.baseURL, s.reply.pool)
	}
	return &port.TransportError{Sent: true, Silent: silent, Err: replaceEOF(err)}
}

// Close implements port.FrameStream. Closing an unfinished stream closes its
// connection, which makes the engine cancel the attempt.
func (s *frameStream) Close() error {
	if s.ended.Load() {
		s.reply.use.SetReadDeadline(time.Now().Add(drainTimeout))
		_, _ = io.CopyN(io.Discard, s.reply.body, drainBytes)
		s.reply.use.SetReadDeadline(time.Time{})
	}
	return s.reply.body.Close()
}
