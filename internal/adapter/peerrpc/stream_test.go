package peerrpc

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"

	"github.com/onsi/gomega"
)

// endedStream is a stream whose peer sent some bytes and then closed the connection.
type endedStream struct {
	io.Reader
	io.Writer
}

func (endedStream) Close() error { return nil }

func newTestStream(data []byte) *frameStream {
	return newFrameStream(endedStream{bytes.NewReader(data), io.Discard}, nil)
}

// Guards against keepalive frames that are read as messages.
func TestEmptyFramesAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	stream := newTestStream([]byte("\x00\x00\x03\"a\"\x00\x03\"b\"\x00"))
	var text string
	for _, want := range []string{"a", "b"} {
		g.Expect(stream.ReadObject(&text)).To(gomega.Succeed())
		g.Expect(text).To(gomega.Equal(want))
	}
	g.Expect(stream.ReadObject(&text)).To(gomega.MatchError(io.EOF))
}

// FuzzReadFrame guards against bytes from a peer that crash the process and against
// a false length that makes the reader allocate memory.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte("\x03\"a\""))
	f.Add([]byte{0, 0, 0})
	f.Add(binary.AppendUvarint(nil, maxFrameBytes))
	f.Add(binary.AppendUvarint(nil, maxFrameBytes+1))
	f.Add(bytes.Repeat([]byte{0xff}, 12))
	f.Fuzz(func(t *testing.T, data []byte) {
		const slack = 1 << 20
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		stream := newTestStream(data)
		for {
			var object any
			err := stream.ReadObject(&object)
			var size *FrameSizeError
			if errors.As(err, &size) && size.Size <= maxFrameBytes {
				t.Fatalf("frame of %d bytes refused", size.Size)
			}
			if err != nil {
				break
			}
		}
		runtime.ReadMemStats(&after)
		if after.TotalAlloc-before.TotalAlloc > uint64(100*len(data)+slack) {
			t.Fatalf("%d bytes allocated for %d received", after.TotalAlloc-before.TotalAlloc, len(data))
		}
	})
}
