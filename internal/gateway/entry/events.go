package entry

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	eventBuffer = 4 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// errEventTooLong says that an event exceeds maxEventBytes.
var errEventTooLong = errors.New("event of a stream is too long")

// eventReader cuts a stream into whole events, so that an event that breaks
// off is never passed on.
type eventReader struct {
	source  io.Reader
	buffer  []byte
	pending int
	// searched bytes of the pending ones hold no end of an event.
	searched int
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source, buffer: make([]byte, eventBuffer)}
}

// next returns one or more whole events. At a clean end of the stream it first
// returns bytes that are left without the end of an event, then io.EOF.
func (e *eventReader) next() (events []byte, err error) {
	for {
		if end := lastEnd(e.buffer[:e.pending], e.searched); end > 0 {
			return e.cut(end), nil
		}
		e.searched = max(e.pending-len(eventEndCRLF), 0)
		if e.pending == len(e.buffer) {
			if len(e.buffer) >= maxEventBytes {
				return nil, errEventTooLong
			}
			e.buffer = append(e.buffer, make([]byte, len(e.buffer))...)
		}
		n, err := e.source.Read(e.buffer[e.pending:])
		e.pending += n
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) && e.pending > 0 {
				return e.cut(e.pending), nil
			}
			return nil, err
		}
	}
}

// cut returns the first bytes and keeps the others for the next call.
func (e *eventReader) cut(end int) []byte {
	events := make([]byte, end)
	copy(events, e.buffer)
	copy(e.buffer, e.buffer[end:e.pending])
	e.pending -= end
	e.searched = 0
	return events
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// lastEnd returns the position behind the last whole event, or 0.
func lastEnd(data []byte, from int) int {
	end := 0
	if at := bytes.LastIndex(data[from:], eventEnd); at >= 0 {
		end = from + at + len(eventEnd)
	}
	if at := bytes.LastIndex(data[from:], eventEndCRLF); at >= 0 {
		end = max(end, from+at+len(eventEndCRLF))
	}
	return end
}

// noID is the ID of an event without one.
const noID = -1

// eventID returns the ID of one event.
func eventID(event []byte) int64 {
	for len(event) > 0 {
		line := event
		if at := bytes.IndexByte(event, '\n'); at >= 0 {
			line, event = event[:at], event[at+1:]
		} else {
			event = nil
		}
		if value, found := bytes.CutPrefix(line, idField); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err == nil {
				return id
			}
		}
	}
	return noID
}

// splitEvents calls visit for each event of a block of whole events.
func splitEvents(block []byte, visit func(event []byte)) {
	for len(block) > 0 {
		end := len(block)
		if at := bytes.Index(block, eventEnd); at >= 0 {
			end = at + len(eventEnd)
		}
		if at := bytes.Index(block, eventEndCRLF); at >= 0 {
			end = min(end, at+len(eventEndCRLF))
		}
		visit(block[:end])
		block = block[end:]
	}
}
