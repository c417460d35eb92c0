package enginehttp

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	// drainTime bounds the wait for the end of the HTTP answer after the last
	// frame; a connection whose answer ended can be used again.
	drainTime = 50 * time.Millisecond
	// drainBytes bounds what is read after the last frame.
	drainBytes = 1024
	// idleSlack divides the idle deadline into the share by which silence may
	// be noticed late. It keeps the deadline from being set for every frame.
	idleSlack = 4
)

// frameStream reads the frames of one attempt.
type frameStream struct {
	client  *Client
	baseURL string
	reply   *reply
	scanner *scanner
	ended   atomic.Bool
	// idle is the idle deadline in nanoseconds; 0 means none.
	idle atomic.Int64
	// armed is the read deadline that is set on the connection.
	armed time.Time
	// unbounded is set when no read deadline is set.
	unbounded bool
}

func newFrameStream(c *Client, baseURL string, r *reply) *frameStream {
	s := &frameStream{client: c, baseURL: baseURL, reply: r}
	s.idle.Store(int64(c.options.idle))
	s.scanner = newScanner(s)
	return s
}

// SetIdle implements port.IdleStream.
func (s *frameStream) SetIdle(d time.Duration) { s.idle.Store(int64(d)) }

// Read implements io.Reader for the scanner: it sets the idle deadline before
// it waits for more bytes.
func (s *frameStream) Read(p []byte) (int, error) {
	s.arm(time.Now())
	return s.reply.body.Read(p)
}

// arm moves the read deadline when it is closer than the idle time, or much
// farther away because the idle time became shorter.
func (s *frameStream) arm(now time.Time) {
	idle := time.Duration(s.idle.Load())
	if idle <= 0 {
		// The deadline of the status line is still set before the first frame.
		if !s.unbounded {
			s.reply.use.Arm(time.Time{})
		}
		s.unbounded, s.armed = true, time.Time{}
		return
	}
	s.unbounded = false
	slack := idle / idleSlack
	left := s.armed.Sub(now)
	if left < idle || left > idle+2*slack {
		s.armed = now.Add(idle + slack)
		s.reply.use.Arm(s.armed)
	}
}

// Next implements port.FrameStream.
func (s *frameStream) Next(frame *endpoint.Frame) error {
	if s.ended.Load() {
		return io.EOF
	}
	if err := s.scanner.next(frame); err != nil {
		return s.failure(err)
	}
	if frame.Type == endpoint.FrameDone || frame.Type == endpoint.FrameError {
		s.ended.Store(true)
		s.reply.use.Arm(time.Time{})
	}
	return nil
}

// Pending implements port.BufferedStream.
func (s *frameStream) Pending() bool { return s.scanner.pending() }

func (s *frameStream) failure(err error) error {
	silent := s.reply.use.Silent()
	if silent {
		s.client.suspect(s.baseURL, s.reply.pool)
	}
	return &port.TransportError{Sent: true, Silent: silent, Err: notEOF(err)}
}

// Close implements port.FrameStream. An unfinished stream closes its
// connection, which cancels the attempt in the engine.
func (s *frameStream) Close() error {
	if s.ended.Load() {
		s.reply.use.Arm(time.Now().Add(drainTime))
		_, _ = io.CopyN(io.Discard, s.reply.body, drainBytes)
		s.reply.use.Arm(time.Time{})
	}
	return s.reply.body.Close()
}
