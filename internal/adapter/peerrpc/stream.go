package peerrpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"
	"time"
)

const (
	// maxFrameBytes bounds one message. A snapshot of the replicated state is the
	// largest; base64 adds a third to it.
	maxFrameBytes = 64 << 20
	// aliveInterval is the pause between the empty frames that a node sends
	// while it encodes or decodes one message. It is a fifth of probeTimeout.
	aliveInterval = 100 * time.Millisecond
)

// frameStream carries messages as frames: the length (uvarint) and the JSON
// text. A frame of length 0 is a sign of life without a message: a node sends
// them while it encodes or decodes a large message, since a probe has to wait
// behind that message and its sender would take the connection for silent.
type frameStream struct {
	conn io.ReadWriteCloser
	in   *bufio.Reader
	// busy is called while a received message is decoded. It may be nil.
	busy func()

	// mu guards out. It is not held while a message is encoded.
	mu  sync.Mutex
	out *bufio.Writer
}

func newFrameStream(conn io.ReadWriteCloser, busy func()) *frameStream {
	return &frameStream{conn: conn, in: bufio.NewReader(conn), out: bufio.NewWriter(conn), busy: busy}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *frameStream) WriteObject(object any) error {
	stop := every(aliveInterval, s.writeAlive)
	data, err := json.Marshal(object)
	stop()
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return &FrameSizeError{Size: uint64(len(data)), Limit: maxFrameBytes}
	}
	return s.writeFrame(data)
}

func (s *frameStream) writeFrame(data []byte) error {
	var head [binary.MaxVarintLen64]byte
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.out.Write(head[:binary.PutUvarint(head[:], uint64(len(data)))]); err != nil {
		return err
	}
	if _, err := s.out.Write(data); err != nil {
		return err
	}
	return s.out.Flush()
}

// writeAlive sends a frame without a message. A frame that is being written is
// a sign of life itself. A failure shows in the next write of a message.
func (s *frameStream) writeAlive() {
	if !s.mu.TryLock() {
		return
	}
	defer s.mu.Unlock()
	if s.out.WriteByte(0) == nil {
		_ = s.out.Flush()
	}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *frameStream) ReadObject(object any) error {
	data, err := s.readFrame()
	if err != nil {
		return err
	}
	stop := every(aliveInterval, func() {
		if s.busy != nil {
			s.busy()
		}
		s.writeAlive()
	})
	defer stop()
	return json.Unmarshal(data, object)
}

// readFrame returns the next message, and skips frames without one.
func (s *frameStream) readFrame() ([]byte, error) {
	for {
		size, err := binary.ReadUvarint(s.in)
		if err != nil {
			return nil, err
		}
		if size > maxFrameBytes {
			return nil, &FrameSizeError{Size: size, Limit: maxFrameBytes}
		}
		if size == 0 {
			continue
		}
		// The buffer grows with the bytes that arrive, so a false length costs no memory.
		var frame bytes.Buffer
		if _, err := io.CopyN(&frame, s.in, int64(size)); err != nil {
			return nil, err
		}
		return frame.Bytes(), nil
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *frameStream) Close() error { return s.conn.Close() }

// every calls a function at an interval until stop is called. A call may still
// run when stop returns.
func every(interval time.Duration, call func()) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	mu.Lock()
	timer = time.AfterFunc(interval, func() {
		call()
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer.Reset(interval)
		}
	})
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
