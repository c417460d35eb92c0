package retry

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failures that opens a breaker.
	failureThreshold = 4
	// initialPause is the time that a breaker stays open at first. The pause
	// doubles with each failed probe, up to maxPause.
	initialPause = time.Second
	maxPause     = 30 * time.Second
	// successThreshold is the number of successful probes that closes a breaker.
	successThreshold = 2
	// probeTimeout is the time after which another probe is allowed if the
	// outcome of the last one was not recorded.
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
	mu          sync.Mutex
	state       BreakerState
	failures    int
	successes   int
	pause       time.Duration
	pausedUntil time.Time
	probeStart  time.Time
}

// Allow reports whether an attempt may be sent now. A half-open breaker allows one
// probe at a time.
func (b *Breaker) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Closed {
		return true
	}
	if now.Before(b.pausedUntil) {
		return false
	}
	if b.state == HalfOpen && !b.probeStart.IsZero() && now.Sub(b.probeStart) < probeTimeout {
		return false
	}
	b.state, b.probeStart = HalfOpen, now
	return true
}

// State returns the state of the breaker, which is HalfOpen once the pause of an
// open breaker has ended.
func (b *Breaker) State(now time.Time) BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == Open && !now.Before(b.pausedUntil) {
		return HalfOpen
	}
	return b.state
}

// Success records an attempt that the endpoint answered.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	if b.state != HalfOpen {
		return
	}
	b.probeStart = time.Time{}
	b.successes++
	if b.successes >= successThreshold {
		b.state, b.successes, b.pause = Closed, 0, 0
	}
}

// Failure records an attempt that the endpoint failed to answer. It must not be
// called if the endpoint refused to run the attempt, for example due to overload.
func (b *Breaker) Failure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.state == HalfOpen || (b.state == Closed && b.failures >= failureThreshold) {
		b.pause = min(max(b.pause*2, initialPause), maxPause)
		b.state, b.pausedUntil = Open, now.Add(b.pause)
		b.successes, b.probeStart = 0, time.Time{}
	}
}
