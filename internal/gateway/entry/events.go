package entry

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// eventBuffer is the initial size of the read buffer, in bytes.
	eventBuffer = 4 << 10
	// maxEventBytes limits the size of one event of a stream.
	maxEventBytes = 1 << 20
)

// errEventTooLong reports that an event exceeds maxEventBytes, or what is left of the
// memory for all events.
var errEventTooLong = errors.New("stream event exceeds the size limit")

// eventReader splits a stream of server-sent events at the ends of events, so
// that a truncated event is never forwarded.
type eventReader struct {
	source  io.Reader
	buffer  *buffer
	pending int
	// searched is the number of pending bytes, from the start, in which no event
	// ends.
	searched int
}

// newEventReader returns a reader with a buffer of the budget. The caller must call
// close.
func newEventReader(source io.Reader, budget *bufferBudget) *eventReader {
	return &eventReader{source: source, buffer: budget.newBuffer(eventBuffer)}
}

func (e *eventReader) close() { e.buffer.release() }

// next returns one or more complete events. The error is io.EOF at a regular end of
// the stream, and io.ErrUnexpectedEOF if the stream ended inside an event: without a
// length that is the only sign that it was broken off.
func (e *eventReader) next() (events []byte, err error) {
	for {
		if end := lastEventEnd(e.buffer.data[:e.pending], e.searched); end > 0 {
			return e.take(end), nil
		}
		e.searched = max(e.pending-len(eventEndCRLF), 0)
		if e.pending == len(e.buffer.data) && !e.buffer.grow(maxEventBytes) {
			return nil, errEventTooLong
		}
		n, err := e.source.Read(e.buffer.data[e.pending:])
		e.pending += n
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.buffer.data[:e.pending])) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// take removes the first end bytes from the buffer and returns them.
func (e *eventReader) take(end int) []byte {
	events := make([]byte, end)
	copy(events, e.buffer.data)
	copy(e.buffer.data, e.buffer.data[end:e.pending])
	e.pending -= end
	e.searched = 0
	return events
}

var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// lastEventEnd returns the position after the last complete event, or 0. It
// searches from the given position.
func lastEventEnd(data []byte, from int) int {
	end := 0
	if at := bytes.LastIndex(data[from:], eventEnd); at >= 0 {
		end = from + at + len(eventEnd)
	}
	if at := bytes.LastIndex(data[from:], eventEndCRLF); at >= 0 {
		end = max(end, from+at+len(eventEndCRLF))
	}
	return end
}

// noID marks an event without an ID.
const noID = -1

// eventID returns the ID of an event, or noID.
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

// hasEvent reports whether a block has a field of an event, and not only comments.
func hasEvent(block []byte) bool {
	for line := range bytes.Lines(block) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// splitEvents calls visit for each event of a block of complete events.
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
