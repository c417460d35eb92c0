package entry

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
)

const (
	// maxBufferedBytes limits the memory of all answers and events that are held at
	// the same time, beyond freeBufferBytes each. Endpoints may send bytes without
	// end to many requests at once.
	maxBufferedBytes = 24 << 20
	freeBufferBytes  = 16 << 10
)

var (
	errAnswerTooLong = errors.New("body of the answer exceeds the size limit")
	errBuffersFull   = errors.New("answers in memory exceed the size limit")
)

// bufferBudget limits the sum of the buffers of all requests. It is safe for
// concurrent use.
type bufferBudget struct {
	used atomic.Int64
	// onFull closes a caller that does not read its answer, and reports whether there was one;
	// nil means that there is none.
	onFull func() bool
}

// Waits for the memory of a caller that was closed: its handler returns it shortly after.
const (
	releaseTries = 10
	releasePause = 5 * time.Millisecond
)

// reserve takes bytes, and closes callers that do not read their answers if there are none left.
func (b *bufferBudget) reserve(bytes int64) bool {
	for try := 0; ; try++ {
		if b.used.Add(bytes) <= maxBufferedBytes {
			return true
		}
		b.used.Add(-bytes)
		if try == releaseTries || b.onFull == nil || !b.onFull() {
			return false
		}
		time.Sleep(releasePause)
	}
}

// buffer is a growing buffer that takes its memory from a budget. The owner must
// call release.
type buffer struct {
	budget *bufferBudget
	data   []byte
	taken  int64
}

func (b *bufferBudget) newBuffer(size int) *buffer {
	return &buffer{budget: b, data: make([]byte, size)}
}

// grow doubles the buffer up to a size limit. It returns false if the buffer has that
// size already or if the budget is used up.
func (b *buffer) grow(limit int) bool {
	size := min(2*len(b.data), limit)
	if size <= len(b.data) {
		return false
	}
	if needed := int64(max(size-freeBufferBytes, 0)) - b.taken; needed > 0 {
		if !b.budget.reserve(needed) {
			return false
		}
		b.taken += needed
	}
	data := make([]byte, size)
	copy(data, b.data)
	b.data = data
	return true
}

func (b *buffer) release() {
	b.budget.used.Add(-b.taken)
	b.taken, b.data = 0, nil
}

// readBody reads the complete body of an answer into the buffer.
func (b *buffer) readBody(answer *wire.Answer) ([]byte, error) {
	if answer.ContentLength > maxPlainBodyBytes {
		return nil, errAnswerTooLong
	}
	filled := 0
	for {
		if filled == len(b.data) && !b.grow(maxPlainBodyBytes+1) {
			return nil, errBuffersFull
		}
		n, err := answer.Read(b.data[filled:])
		filled += n
		switch {
		case filled > maxPlainBodyBytes:
			return nil, errAnswerTooLong
		case errors.Is(err, io.EOF):
			return b.data[:filled], nil
		case err != nil:
			return nil, err
		}
	}
}
