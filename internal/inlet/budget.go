package inlet

import (
	"errors"
	"sync"
	"sync/atomic"
)

const (
	// smallBytes is the size up to which an account may use the whole budget. Larger ones leave
	// smallShare of it free, so that a burst of large bodies does not refuse all requests.
	smallBytes = 64 << 10
	smallShare = 0.125
)

// ErrFull reports that connections together hold as much as they may. The request to which it
// happened has not run.
var ErrFull = errors.New("requests in memory exceed the size limit")

// Budget limits the memory of all connections. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
	// onFull closes connections without progress, and reports whether it closed any; nil means
	// that there are none.
	onFull func() bool
}

// NewBudget returns a budget in bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the bytes that may be in use.
func (b *Budget) Limit() int64 { return b.limit }

// NewAccount returns an account that holds nothing.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// reserve takes bytes for an account that will hold a size in all, and reports whether there
// is room.
func (b *Budget) reserve(bytes, size int64) bool {
	limit := b.limit
	if size > smallBytes {
		limit -= int64(smallShare * float64(limit))
	}
	for {
		if b.used.Add(bytes) <= limit {
			return true
		}
		b.used.Add(-bytes)
		if b.onFull == nil || !b.onFull() {
			return false
		}
	}
}

// Account is what one connection holds of a budget. It is safe for concurrent use.
type Account struct {
	budget *Budget
	mu     sync.Mutex
	taken  int64
	closed bool
}

// Add takes further bytes. The error is ErrFull.
func (a *Account) Add(bytes int64) error {
	a.mu.Lock()
	size, closed := a.taken+bytes, a.closed
	a.mu.Unlock()
	// The lock is not held while other connections are closed, since that locks their accounts.
	if closed || !a.budget.reserve(bytes, size) {
		return ErrFull
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		a.budget.used.Add(-bytes)
		return ErrFull
	}
	a.taken += bytes
	return nil
}

// Release returns bytes to the budget.
func (a *Account) Release(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	bytes = min(bytes, a.taken)
	a.taken -= bytes
	a.budget.used.Add(-bytes)
}

// close returns all bytes for good. A connection that is closed frees them shortly after.
func (a *Account) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.used.Add(-a.taken)
	a.taken, a.closed = 0, true
}
