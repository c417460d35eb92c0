package engine

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// FrameFaultKind is a kind of damage to a stream of frames.
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
	// WrongOffsets adds a token frame at an offset that the stream has not reached.
	WrongOffsets
	// GarbageFrames adds a line that is not a valid frame.
	GarbageFrames
)

// FrameFault damages every frame whose number is a multiple of Every. Frames are
// counted over all streams of the engine.
type FrameFault struct {
	Kind  FrameFaultKind
	Every int
}

// wrongOffsetShift is the error that WrongOffsets adds to the offset of a frame.
const wrongOffsetShift = 1000

// SetFrameFault starts to damage frames. The zero FrameFault stops it.
func (e *Engine) SetFrameFault(frameFault FrameFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frameFault = frameFault
	e.frameCount = 0
}

// applyFrameFault modifies a streamWrite according to the configured fault. The
// caller holds mu.
func (e *Engine) applyFrameFault(item *streamWrite) {
	if e.frameFault.Kind == NoFrameFault || e.frameFault.Every <= 0 || item.count == 0 {
		return
	}
	e.frameCount++
	if e.frameCount%e.frameFault.Every != 0 {
		return
	}
	switch e.frameFault.Kind {
	case DuplicateFrames:
		item.faultFrame = item.s.appendTokens(nil, item.startOffset, item.count)
	case CrossFrames:
		item.faultFrame = e.foreignFrame(item)
	case SkipFrames:
		item.skipTokens = true
	case WrongOffsets:
		item.faultFrame = item.s.appendTokens(nil, item.startOffset+wrongOffsetShift, item.count)
	case GarbageFrames:
		item.faultFrame = []byte("{\"a\":\"\n")
	}
}

// foreignFrame returns a frame of another running attempt at the offset that the
// stream expects next. If no other attempt is running, the attempt ID is made up.
func (e *Engine) foreignFrame(item *streamWrite) []byte {
	for _, other := range e.running {
		if other != item.s {
			return other.appendTokens(nil, item.startOffset+item.count, 1)
		}
	}
	frame := endpoint.Frame{
		AttemptID: "crossed-" + item.s.req.AttemptID, Type: endpoint.FrameTokens,
		Offset: item.startOffset + item.count, Count: 1, Text: " crossed",
	}
	return appendFrame(nil, &frame)
}

// Crash simulates a crash: it closes all connections and ends announcements
// without a withdrawal.
func (e *Engine) Crash() { e.Close() }

// Stall suspends all streams, including pings, for a duration of real time.
func (e *Engine) Stall(d time.Duration) {
	e.mu.Lock()
	e.stalledUntil = time.Now().Add(d)
	e.mu.Unlock()
	e.wakeBatchLoop()
}

// SilenceConnections simulates a network fault on all open connections: data
// sent by either side is lost from now on, but the connections stay open. New
// connections work. It returns the number of connections affected.
func (e *Engine) SilenceConnections() int { return e.listener.silenceAll() }

// ReclaimNotice simulates a reclaim notice: the engine announces that it will
// stop after deadline, refuses new and waiting generations, and then crashes.
func (e *Engine) ReclaimNotice(deadline time.Duration) {
	e.startLeaving(deadline)
	time.AfterFunc(deadline, e.Crash)
	go e.withdraw(deadline, "reclaim")
}

// startLeaving makes the engine refuse new work. With a deadline it also refuses
// the waiting generations. Without one, all accepted generations are completed.
func (e *Engine) startLeaving(deadline time.Duration) {
	e.mu.Lock()
	e.state = endpoint.StateLeaving
	if deadline > 0 {
		e.leaveDeadline = time.Now().Add(deadline)
		e.refuseWaiting()
	}
	e.mu.Unlock()
	e.triggerAnnounce()
}

// refuseWaiting ends the generations that wait for a slot with an error frame
// which says that they were not run. The caller holds mu.
func (e *Engine) refuseWaiting() {
	now := time.Now()
	for _, s := range e.waiting {
		if s.ended {
			continue
		}
		frame := s.errorFrame(endpoint.CodeLeaving, "the engine leaves")
		go func() {
			s.write(now, func(buf []byte) []byte { return appendFrame(buf, frame) })
			e.drop(s)
		}()
		delete(e.attempts, s.req.AttemptID)
	}
	e.waiting = nil
}

// faultListener wraps each accepted connection in a faultConn.
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
	faulty := &faultConn{Conn: conn, listener: l}
	l.mu.Lock()
	l.conns[faulty] = struct{}{}
	l.mu.Unlock()
	return faulty, nil
}

func (l *faultListener) silenceAll() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.silent.Store(true)
	}
	return len(l.conns)
}

// faultConn is a connection that can be made to lose all data silently.
type faultConn struct {
	net.Conn
	listener *faultListener
	silent   atomic.Bool
}

// Write implements net.Conn. A silent connection discards the bytes and reports success.
func (c *faultConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. A silent connection discards the received bytes and
// keeps reading.
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
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
