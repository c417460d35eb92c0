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
	// maxFrameBytes limits the size of one frame.
	maxFrameBytes = 1 << 20
	// arenaBytes is the size of the blocks that hold the texts of frames.
	arenaBytes = 4096
	// maxDigits limits the numbers that parseTokenFrame accepts; longer ones
	// overflow an int on 32-bit platforms.
	maxDigits = 9
	// maxEmptyReads limits the number of reads that return neither bytes nor an error.
	maxEmptyReads = 100
)

// FrameTooLongError reports that an endpoint sent a line that exceeds the maximum frame size.
type FrameTooLongError struct{ Bytes int }

// Error implements error.
func (e *FrameTooLongError) Error() string {
	return fmt.Sprintf("endpoint sent a frame of more than %d bytes", e.Bytes)
}

// scanner reads frames, one JSON object per line. Token frames with the fields
// in the order of api/endpoint are decoded by parseTokenFrame, all other frames
// by encoding/json.
type scanner struct {
	source     io.Reader
	buf        []byte
	start, end int
	// lastAttemptID is the attempt ID of the last frame. Frames share the string
	// to avoid an allocation per frame.
	lastAttemptID string
	// arena is the unused part of a block for the texts of frames. Bytes that a
	// frame uses are never written again.
	arena []byte
}

func newScanner(source io.Reader) *scanner {
	return &scanner{source: source, buf: make([]byte, frameBufferBytes)}
}

// next reads one frame. It returns io.EOF at the end of the input, even after an
// incomplete line.
func (s *scanner) next(frame *endpoint.Frame) error {
	line, err := s.line()
	if err != nil {
		return err
	}
	if s.parseTokenFrame(line, frame) {
		return nil
	}
	*frame = endpoint.Frame{}
	return json.Unmarshal(line, frame)
}

// line returns the next line without its newline. The line is valid until
// the next call.
func (s *scanner) line() ([]byte, error) {
	searched := s.start
	for emptyReads := 0; emptyReads < maxEmptyReads; {
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
			emptyReads++
		}
	}
	return nil, io.ErrNoProgress
}

// pending reports whether the buffer contains a complete line.
func (s *scanner) pending() bool {
	return bytes.IndexByte(s.buf[s.start:s.end], '\n') >= 0
}

// makeRoom moves the unread bytes to the front of the buffer. If they fill the
// buffer, it doubles the buffer.
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

// parseTokenFrame decodes a token frame. It returns false for any other line.
func (s *scanner) parseTokenFrame(line []byte, frame *endpoint.Frame) bool {
	rest, ok := cutPrefix(line, `{"a":"`)
	if !ok {
		return false
	}
	attempt, rest, ok := cutPlainString(rest)
	if !ok {
		return false
	}
	if rest, ok = cutPrefix(rest, `,"t":"tokens","o":`); !ok {
		return false
	}
	offset, rest, ok := cutNumber(rest)
	if !ok {
		return false
	}
	if rest, ok = cutPrefix(rest, `,"n":`); !ok {
		return false
	}
	count, rest, ok := cutNumber(rest)
	if !ok {
		return false
	}
	if rest, ok = cutPrefix(rest, `,"x":"`); !ok {
		return false
	}
	text, rest, ok := cutPlainString(rest)
	if !ok || len(rest) != 1 || rest[0] != '}' {
		return false
	}
	if s.lastAttemptID != string(attempt) {
		s.lastAttemptID = string(attempt)
	}
	*frame = endpoint.Frame{
		AttemptID: s.lastAttemptID, Type: endpoint.FrameTokens, Offset: offset, Count: count, Text: s.copyText(text),
	}
	return true
}

// copyText copies a text into the arena and returns it as a string.
func (s *scanner) copyText(text []byte) string {
	if len(text) == 0 {
		return ""
	}
	if len(text) > len(s.arena) {
		s.arena = make([]byte, max(arenaBytes, len(text)))
	}
	kept := s.arena[:copy(s.arena, text)]
	s.arena = s.arena[len(text):]
	// Safe because these bytes are never written again.
	return unsafe.String(unsafe.SliceData(kept), len(kept))
}

// cutPrefix returns the data after a prefix and whether the data had the prefix.
func cutPrefix(data []byte, prefix string) ([]byte, bool) {
	if len(data) < len(prefix) || string(data[:len(prefix)]) != prefix {
		return nil, false
	}
	return data[len(prefix):], true
}

// cutPlainString splits the data at the closing quote of a JSON string. It
// accepts only strings that need no decoding: valid UTF-8 without escapes and
// control characters.
func cutPlainString(data []byte) (text, rest []byte, ok bool) {
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

// cutNumber splits off a non-negative JSON integer of at most maxDigits digits.
func cutNumber(data []byte) (value int, rest []byte, ok bool) {
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
