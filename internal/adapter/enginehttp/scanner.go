package enginehttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"unicode/utf8"
	"unsafe"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// frameBufferBytes is the initial size of the read buffer of one stream.
	frameBufferBytes = 4096
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 1 << 20
	// arenaBytes is the size of the blocks in which frame texts are kept.
	arenaBytes = 4096
	// maxDigits bounds the numbers of the fast path; longer ones fit no int on some platforms.
	maxDigits = 9
	// maxEmptyReads bounds reads that return neither bytes nor an error.
	maxEmptyReads = 100
)

// FrameTooLongError says that an endpoint sent a line that is too long for a frame.
type FrameTooLongError struct{ Bytes int }

// Error implements error.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("frame of more than %d bytes", e.Bytes)
}

// scanner reads frames, one JSON object per line. The common token frame in
// the field order of api/endpoint is read by hand, anything else by encoding/json.
type scanner struct {
	source     io.Reader
	buf        []byte
	start, end int
	// attempt is the attempt ID of the last frame, kept to avoid an allocation per frame.
	attempt string
	// arena is the rest of a block for frame texts. Bytes given out are never written again.
	arena []byte
}

func newScanner(source io.Reader) *scanner {
	return &scanner{source: source, buf: make([]byte, frameBufferBytes)}
}

// next reads one frame. An answer that ends without a newline gives io.EOF.
func (s *scanner) next(frame *endpoint.Frame) error {
	line, err := s.line()
	if err != nil {
		return err
	}
	if s.fast(line, frame) {
		return nil
	}
	*frame = endpoint.Frame{}
	return json.Unmarshal(line, frame)
}

// line returns the next line without its newline; it is valid until the next call.
func (s *scanner) line() ([]byte, error) {
	searched := s.start
	for empty := 0; empty < maxEmptyReads; {
		if i := bytes.IndexByte(s.buf[searched:s.end], '\n'); i >= 0 {
			line := s.buf[s.start : searched+i]
			s.start = searched + i + 1
			return line, nil
		}
		searched = s.end
		if s.end == len(s.buf) || s.start == s.end {
			if err := s.makeRoom(); err != nil {
				return nil, err
			}
			searched = s.end
		}
		n, err := s.source.Read(s.buf[s.end:])
		s.end += n
		if n == 0 && err != nil {
			return nil, err
		}
		if n == 0 {
			empty++
		}
	}
	return nil, io.ErrNoProgress
}

// pending reports whether the next line is in the buffer already.
func (s *scanner) pending() bool {
	return bytes.IndexByte(s.buf[s.start:s.end], '\n') >= 0
}

// makeRoom moves the unread bytes to the front, or doubles a full buffer.
func (s *scanner) makeRoom() error {
	unread := s.buf[s.start:s.end]
	target := s.buf
	if len(unread) == len(s.buf) {
		if len(s.buf) >= maxFrameBytes {
			return &FrameTooLongError{Bytes: maxFrameBytes}
		}
		target = make([]byte, 2*len(s.buf))
	}
	s.end = copy(target, unread)
	s.start = 0
	s.buf = target
	return nil
}

// fast reads a token frame and reports false for anything else.
func (s *scanner) fast(line []byte, frame *endpoint.Frame) bool {
	rest, ok := cut(line, `{"a":"`)
	if !ok {
		return false
	}
	attempt, rest, ok := plainString(rest)
	if !ok {
		return false
	}
	if rest, ok = cut(rest, `,"t":"tokens","o":`); !ok {
		return false
	}
	offset, rest, ok := number(rest)
	if !ok {
		return false
	}
	if rest, ok = cut(rest, `,"n":`); !ok {
		return false
	}
	count, rest, ok := number(rest)
	if !ok {
		return false
	}
	if rest, ok = cut(rest, `,"x":"`); !ok {
		return false
	}
	text, rest, ok := plainString(rest)
	if !ok || len(rest) != 1 || rest[0] != '}' {
		return false
	}
	if s.attempt != string(attempt) {
		s.attempt = string(attempt)
	}
	*frame = endpoint.Frame{
		AttemptID: s.attempt, Type: endpoint.FrameTokens, Offset: offset, Count: count, Text: s.keep(text),
	}
	return true
}

// keep copies a text into the arena and returns it as a string.
func (s *scanner) keep(text []byte) string {
	if len(text) == 0 {
		return ""
	}
	if len(text) > len(s.arena) {
		s.arena = make([]byte, max(arenaBytes, len(text)))
	}
	kept := s.arena[:copy(s.arena, text)]
	s.arena = s.arena[len(text):]
	// The bytes are never written again, as strings require.
	return unsafe.String(unsafe.SliceData(kept), len(kept))
}

// cut removes a prefix.
func cut(data []byte, prefix string) ([]byte, bool) {
	if len(data) < len(prefix) || string(data[:len(prefix)]) != prefix {
		return nil, false
	}
	return data[len(prefix):], true
}

// plainString reads up to the closing quote of a string that needs no
// decoding: no escapes, no control characters, valid UTF-8.
func plainString(data []byte) (text, rest []byte, ok bool) {
	end := bytes.IndexByte(data, '"')
	if end < 0 {
		return nil, nil, false
	}
	ascii := true
	for _, c := range data[:end] {
		if c < ' ' || c == '\\' {
			return nil, nil, false
		}
		ascii = ascii && c < utf8.RuneSelf
	}
	if !ascii && !utf8.Valid(data[:end]) {
		return nil, nil, false
	}
	return data[:end], data[end+1:], true
}

// number reads a non-negative integer in the form that JSON allows.
func number(data []byte) (value int, rest []byte, ok bool) {
	i := 0
	for i < len(data) && i < maxDigits && data[i] >= '0' && data[i] <= '9' {
		value = value*10 + int(data[i]-'0')
		i++
	}
	if i == 0 || (data[0] == '0' && i > 1) {
		return 0, nil, false
	}
	return value, data[i:], true
}
