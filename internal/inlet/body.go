package inlet

import (
	"errors"
	"io"
)

// initialBodyBytes is the initial size of the buffer for a body of unknown length.
const initialBodyBytes = 4 << 10

// Body is the body of one request, which is kept until Release. It is not safe for concurrent
// use.
type Body struct {
	account *Account
	data    []byte
	taken   int64
}

// NewBody returns an empty body that takes its memory from an account.
func NewBody(account *Account) Body { return Body{account: account} }

// Data returns the bytes that were read.
func (b *Body) Data() []byte { return b.data }

// Release returns the memory of the body to the budget.
func (b *Body) Release() {
	b.account.Release(b.taken)
	b.taken, b.data = 0, nil
}

// take reserves memory so that the body holds size bytes in all. The error is ErrFull.
func (b *Body) take(size int64) error {
	if err := b.account.Add(size - b.taken); err != nil {
		return err
	}
	b.taken = size
	return nil
}

// Read reads a body of the given length; a negative length means that it is not known. The error is ErrFull, or that
// of the reader.
func (b *Body) Read(reader io.Reader, length int64) error {
	if length < 0 {
		return b.readUnknown(reader)
	}
	if err := b.take(length); err != nil {
		return err
	}
	b.data = make([]byte, length)
	_, err := io.ReadFull(reader, b.data)
	return err
}

// readUnknown reads a body of unknown length into a buffer that doubles when it is full.
func (b *Body) readUnknown(reader io.Reader) error {
	if err := b.take(initialBodyBytes); err != nil {
		return err
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
		if err := b.take(int64(2 * len(buffer))); err != nil {
			return err
		}
		buffer = append(buffer, make([]byte, len(buffer))...)
	}
}
