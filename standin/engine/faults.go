package engine

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// FrameFaultKind is a way to damage a stream of frames.
type FrameFaultKind int

// Kinds of frame fault.
const (
	NoFrameFault FrameFaultKind = iota
	// DuplicateFrames sends a frame twice.
	DuplicateFrames
	// CrossFrames adds a frame of another attempt to a stream.
	CrossFrames
	// SkipFrames leaves a frame out.
	SkipFrames
	// WrongOffsets sends a frame again at an offset that was never reached.
	WrongOffsets
	// GarbageFrames adds a line that is no frame.
	GarbageFrames
)

// FrameFault damages every frame whose number is a multiple of Every.
type FrameFault struct {
	Kind  FrameFaultKind
	Every int
}

// wrongOffsetShift is added to the offset of a frame by WrongOffsets.
const wrongOffsetShift = 1000

// SetFrameFault starts to damage frames; the zero FrameFault ends it.
func (e *Engine) SetFrameFault(fault FrameFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
	e.frames = 0
}

// applyFault changes an emission according to the scripted fault. The caller holds mu.
func (e *Engine) applyFault(item *emission) {
	if e.fault.Kind == NoFrameFault || e.fault.Every <= 0 || item.count == 0 {
		return
	}
	e.frames++
	if e.frames%e.fault.Every != 0 {
		return
	}
	switch e.fault.Kind {
	case DuplicateFrames:
		item.other = item.s.appendTokens(nil, item.from, item.count)
	case CrossFrames:
		item.other = e.crossed(item)
	case SkipFrames:
		item.skip = true
	case WrongOffsets:
		item.other = item.s.appendTokens(nil, item.from+wrongOffsetShift, item.count)
	case GarbageFrames:
		item.other = []byte("{\"a\":\"\n")
	}
}

// crossed returns a frame of another running attempt, or of an invented one,
// at the offset that the stream expects next.
func (e *Engine) crossed(item *emission) []byte {
	for _, other := range e.running {
		if other != item.s {
			return other.appendTokens(nil, item.from+item.count, 1)
		}
	}
	frame := endpoint.Frame{
		AttemptID: "crossed-" + item.s.req.AttemptID, Type: endpoint.FrameTokens,
		Offset: item.from + item.count, Count: 1, Text: " crossed",
	}
	return appendFrame(nil, &frame)
}

// Crash drops all connections and ends announcements without notice.
func (e *Engine) Crash() { e.Close() }

// Stall stops all generation, pings included, for a real duration.
func (e *Engine) Stall(d time.Duration) {
	e.mu.Lock()
	e.stalled = time.Now().Add(d)
	e.mu.Unlock()
	e.wakeLoop()
}

// SilenceConnections makes all open connections silent for good: what either
// side sends is lost, while new connections work. It returns their number.
func (e *Engine) SilenceConnections() int { return e.listener.silence() }

// ReclaimNotice announces that the engine stops at a deadline, refuses new
// work, and stops it then.
func (e *Engine) ReclaimNotice(deadline time.Duration) {
	e.leave(deadline)
	time.AfterFunc(deadline, e.Crash)
	go e.withdraw(deadline, "reclaim")
}

// leave refuses new work. With a deadline, waiting generations are refused
// too; without one, everything accepted is finished.
func (e *Engine) leave(deadline time.Duration) {
	e.mu.Lock()
	e.state = endpoint.StateLeaving
	if deadline > 0 {
		e.leaveBy = time.Now().Add(deadline)
		e.refuseWaiting()
	}
	e.mu.Unlock()
	e.announceSoon()
}

// refuseWaiting tells generations that wait for a slot that they were not
// run. The caller holds mu.
func (e *Engine) refuseWaiting() {
	now := time.Now()
	for _, s := range e.waiting {
		if s.ended {
			continue
		}
		frame := s.errorFrame(endpoint.CodeLeaving, "the engine leaves")
		go func() {
			s.write(now, func(buf []byte) []byte { return appendFrame(buf, frame) })
			e.end(s)
		}()
		delete(e.attempts, s.req.AttemptID)
	}
	e.waiting = nil
}

// faultListener wraps accepted connections so that they can be silenced.
type faultListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*faultConn]struct{}
}

func newFaultListener(inner net.Listener) *faultListener {
	return &faultListener{Listener: inner, conns: make(map[*faultConn]struct{})}
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &faultConn{Conn: conn, owner: l}
	l.mu.Lock()
	l.conns[wrapped] = struct{}{}
	l.mu.Unlock()
	return wrapped, nil
}

func (l *faultListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.silent.Store(true)
	}
	return len(l.conns)
}

// faultConn is a connection that can go silent.
type faultConn struct {
	net.Conn
	owner  *faultListener
	silent atomic.Bool
}

// Write implements net.Conn. A silent connection swallows the bytes.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. A silent connection swallows what arrives.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Close implements net.Conn.
func (c *faultConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
