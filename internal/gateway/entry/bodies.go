package entry

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// reservedBytes is the memory for everything but request bodies: the program, and answers
	// up to their own limit.
	reservedBytes = 64 << 20
	// bodyShare is the share of the other memory that the bodies of all requests may take
	// together, and minBodyShare that of all memory on a VM with little more than
	// reservedBytes. The rest is for kernel buffers and for bodies that are not collected yet.
	// A body is held until the end of its request, since another endpoint may need it.
	bodyShare    = 0.7
	minBodyShare = 0.25
	// defaultBodyBytes is the limit if the settings name no memory, in bytes.
	defaultBodyBytes = 256 << 20
	// smallBodyBytes is the size up to which a body may use the whole limit. Larger ones leave
	// smallBodyShare of it free, so that a burst of large bodies does not refuse all requests.
	smallBodyBytes = 64 << 10
	smallBodyShare = 0.125
	// initialBodyBytes is the initial size of the buffer for a body of unknown length.
	initialBodyBytes = 4 << 10
)

// errBodiesFull reports that the bodies of all requests together exceed their limit.
var errBodiesFull = errors.New("request bodies in memory exceed the size limit")

// bodyBudget limits the memory for the bodies of all requests. It is safe for concurrent use.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// newBodyBudget returns the budget of a VM with a memory in megabytes; 0 means unknown.
func newBodyBudget(memoryMB int) *bodyBudget {
	if memoryMB <= 0 {
		return &bodyBudget{limit: defaultBodyBytes}
	}
	memory := float64(memoryMB) * (1 << 20)
	return &bodyBudget{limit: int64(max(bodyShare*(memory-reservedBytes), minBodyShare*memory))}
}

// requestBody is the body of one request. The owner must call release.
type requestBody struct {
	budget *bodyBudget
	data   []byte
	taken  int64
}

// take reserves memory for a body of a size in all. It reports whether there is room.
func (b *requestBody) take(size int64) bool {
	limit := b.budget.limit
	if size > smallBodyBytes {
		limit -= int64(smallBodyShare * float64(limit))
	}
	needed := size - b.taken
	if b.budget.used.Add(needed) > limit {
		b.budget.used.Add(-needed)
		return false
	}
	b.taken = size
	return true
}

// release returns the memory of the body to the budget.
func (b *requestBody) release() {
	b.budget.used.Add(-b.taken)
	b.taken, b.data = 0, nil
}

// read reads a body of a length; a negative length is unknown. The error is errBodiesFull,
// or that of the reader.
func (b *requestBody) read(reader io.Reader, length int64) error {
	if length < 0 {
		return b.readUnknown(reader)
	}
	if !b.take(length) {
		return errBodiesFull
	}
	b.data = make([]byte, length)
	_, err := io.ReadFull(reader, b.data)
	return err
}

// readUnknown reads a body of unknown length into a buffer that doubles when it is full.
func (b *requestBody) readUnknown(reader io.Reader) error {
	if !b.take(initialBodyBytes) {
		return errBodiesFull
	}
	buffer, filled := make([]byte, initialBodyBytes), 0
	for {
		n, err := reader.Read(buffer[filled:])
		filled += n
		if errors.Is(err, io.EOF) {
			b.data = buffer[:filled]
			return nil
		}
		if err != nil {
			return err
		}
		if filled < len(buffer) {
			continue
		}
		if !b.take(int64(2 * len(buffer))) {
			return errBodiesFull
		}
		buffer = append(buffer, make([]byte, len(buffer))...)
	}
}
