package peerrpc

import (
	"sync"
	"time"
)

const (
	// SilenceTimeout is the time after which a connection that carries no data
	// while an answer is due is replaced. The service gap after the loss of the log
	// leader must stay under 2 s; half of that is spent on detecting the loss.
	SilenceTimeout = time.Second
	// probeDelay is how long an answer may be outstanding before a probe is sent.
	probeDelay = 300 * time.Millisecond
	// probeTimeout is how long a probe may stay unanswered. probeTimeout, probeDelay
	// and two checkIntervals add up to SilenceTimeout.
	probeTimeout = 500 * time.Millisecond
	// checkInterval is how often connections are checked.
	checkInterval = 100 * time.Millisecond
	// idleProbeInterval is the time without received data after which a connection
	// is probed even if no answer is due, so that most silent connections are
	// replaced before a call needs them. It costs about 40 B/s per connection.
	idleProbeInterval = 5 * time.Second
	// idleTimeout is the time after which a connection that no call uses is closed.
	idleTimeout = 15 * time.Second
)

// checkAction is what a check of a connection asks for.
type checkAction int

const (
	actionNone checkAction = iota
	actionProbe
	actionCloseSilent
	actionCloseIdle
)

// health decides when a connection is probed and when it is closed as silent or idle.
type health struct {
	mu       sync.Mutex
	pending  int
	lastRecv time.Time
	lastUsed time.Time
	// awaitingSince is when an answer became due: at the first send without an
	// answer, or at the last receipt while calls are pending. It is zero if none is due.
	awaitingSince time.Time
	probing       bool
	// probeSentAt is when the outstanding probe was written; it is zero until then.
	probeSentAt time.Time
}

func newHealth(now time.Time) *health {
	return &health{lastRecv: now, lastUsed: now}
}

func (h *health) recordSend(now time.Time, pending int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending += pending
	h.lastUsed = now
	if h.awaitingSince.IsZero() {
		h.awaitingSince = now
	}
}

func (h *health) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending--
}

func (h *health) recordReceive(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRecv = now
	h.probing = false
	h.awaitingSince = time.Time{}
	if h.pending > 0 {
		h.awaitingSince = now
	}
}

// recordProbeSent records that the probe was written. Before that, a long message
// may occupy the connection, which does not count as silence.
func (h *health) recordProbeSent(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probeSentAt = now
}

func (h *health) check(now time.Time) checkAction {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing {
		if !h.probeSentAt.IsZero() && now.Sub(h.probeSentAt) >= probeTimeout {
			return actionCloseSilent
		}
		return actionNone
	}
	if h.pending == 0 && now.Sub(h.lastUsed) >= idleTimeout {
		return actionCloseIdle
	}
	overdue := !h.awaitingSince.IsZero() && now.Sub(h.awaitingSince) >= probeDelay
	if overdue || now.Sub(h.lastRecv) >= idleProbeInterval {
		h.probing = true
		h.probeSentAt = time.Time{}
		return actionProbe
	}
	return actionNone
}
