package peerrpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/inlet"
)

const (
	// maxFrameBytes limits the size of a message. The largest message is a snapshot
	// of the replicated state, which base64 makes a third longer.
	maxFrameBytes = 64 << 20
	// keepAliveFrameInterval is the pause between the empty frames that a node sends
	// while it encodes or decodes a message. It is a fifth of probeTimeout.
	keepAliveFrameInterval = 100 * time.Millisecond
	// framePartBytes is the size of the parts of a received message that are counted at once.
	// Shorter messages are not counted, so that heartbeats and polls never wait for memory.
	framePartBytes = 64 << 10
	// frameCopies is how often a message is held while it is read and decoded.
	frameCopies = 3
)

// frameStream carries messages as frames. A frame is the length (uvarint) and the
// JSON text. A frame of length 0 is a keepalive without a message. A node sends
// keepalive frames while it encodes or decodes a large message: a probe has to wait
// behind that message, and its sender would otherwise count the connection as silent.
type frameStream struct {
	conn io.ReadWriteCloser
	in   *bufio.Reader
	// onDecoding is called at intervals while a received message is decoded. It may be nil.
	onDecoding func()
	// bounded is the connection of an inlet that counts received messages; nil if none does.
	bounded *inlet.Conn

	// mu guards out. It is not locked while a message is encoded.
	mu  sync.Mutex
	out *bufio.Writer
}

func newFrameStream(conn io.ReadWriteCloser, onDecoding func()) *frameStream {
	return &frameStream{conn: conn, in: bufio.NewReader(conn), out: bufio.NewWriter(conn), onDecoding: onDecoding}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *frameStream) WriteObject(object any) error {
	stop := callEvery(keepAliveFrameInterval, s.writeKeepAliveFrame)
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
	var header [binary.MaxVarintLen64]byte
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.out.Write(header[:binary.PutUvarint(header[:], uint64(len(data)))]); err != nil {
		return err
	}
	if _, err := s.out.Write(data); err != nil {
		return err
	}
	return s.out.Flush()
}

// writeKeepAliveFrame sends a frame without a message. It does nothing while another
// frame is being written, since that frame has the same effect. Errors are ignored,
// because the next write of a message fails as well.
func (s *frameStream) writeKeepAliveFrame() {
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
	data, counted, err := s.readFrame()
	if counted > 0 {
		defer s.bounded.EndMessage(counted)
	}
	if err != nil {
		return err
	}
	stop := callEvery(keepAliveFrameInterval, func() {
		if s.onDecoding != nil {
			s.onDecoding()
		}
		s.writeKeepAliveFrame()
	})
	defer stop()
	return json.Unmarshal(data, object)
}

// readFrame returns the next message and skips keepalive frames. The connection holds counted
// bytes for the message until it was decoded.
func (s *frameStream) readFrame() (data []byte, counted int64, err error) {
	for {
		size, err := binary.ReadUvarint(s.in)
		if err != nil {
			return nil, 0, err
		}
		if size > maxFrameBytes {
			return nil, 0, &FrameSizeError{Size: size, Limit: maxFrameBytes}
		}
		if size == 0 {
			continue
		}
		// The buffer grows with the bytes that arrive, so a false length does not
		// allocate memory.
		var frame bytes.Buffer
		for left := int64(size); left > 0; {
			part := min(left, framePartBytes)
			if s.bounded != nil && size > framePartBytes {
				if err := s.bounded.BeginMessage(frameCopies * part); err != nil {
					return nil, counted, err
				}
				counted += frameCopies * part
			}
			if _, err := io.CopyN(&frame, s.in, part); err != nil {
				return nil, counted, err
			}
			left -= part
		}
		return frame.Bytes(), counted, nil
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *frameStream) Close() error { return s.conn.Close() }

// callEvery calls a function at an interval until stop is called. A call may still
// be running when stop returns.
func callEvery(interval time.Duration, call func()) (stop func()) {
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
