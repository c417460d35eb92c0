package retry

import (
	"sync"
	"time"
)

const (
	// openAfter is the number of failures without a success between that opens a breaker.
	openAfter = 4
	// openFor is the first pause; it doubles with each failed probe up to openMax.
	openFor = time.Second
	openMax = 30 * time.Second
	// closeAfter is the number of successful probes that closes a breaker.
	closeAfter = 2
	// probeTimeout frees the place of a probe whose outcome was never noted.
	probeTimeout = 10 * time.Second
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

// States of a breaker.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// Breaker stops new attempts at an endpoint that fails. It is safe for
// concurrent use.
type Breaker struct {
	mu        sync.Mutex
	state     BreakerState
	failures  int
	successes int
	pause     time.Duration
	until     time.Time
	probe     time.Time
}

// Allow reports whether an attempt may be sent now. While half open it allows
// one probe at a time.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Closed {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	if b.state == HalfOpen && !b.probe.IsZero() && now.Sub(b.probe) < probeTimeout {
		return false
	}
	b.state, b.probe = HalfOpen, now
	return true
}

// State returns the state, HalfOpen once the pause of an open breaker is over.
func (b *Breaker) State(now time.Time) BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Open && !now.Before(b.until) {
		return HalfOpen
	}
	return b.state
}

// Success notes an attempt that the endpoint answered.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	if b.state != HalfOpen {
		return
	}
	b.probe = time.Time{}
	b.successes++
	if b.successes >= closeAfter {
		b.state, b.successes, b.pause = Closed, 0, 0
	}
}

// Failure notes an attempt that the endpoint broke. A refusal before the run,
// such as overload, is none.
func (b *Breaker) Failure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.state == HalfOpen || (b.state == Closed && b.failures >= openAfter) {
		b.pause = min(max(b.pause*2, openFor), openMax)
		b.state, b.until = Open, now.Add(b.pause)
		b.successes, b.probe = 0, time.Time{}
	}
}
