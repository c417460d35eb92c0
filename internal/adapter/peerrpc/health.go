package peerrpc

import (
	"sync"
	"time"
)

const (
	// SilenceBound is the time after which a connection that carries nothing
	// while an answer is due is replaced. The service gap after losing the log
	// leader must stay under 2 s, so half of it goes to the detection.
	SilenceBound = time.Second
	// probeAfter is how long an answer may be outstanding before a probe.
	probeAfter = 300 * time.Millisecond
	// probeTimeout is how long a probe may stay unanswered. With probeAfter
	// and two checkIntervals it adds up to SilenceBound.
	probeTimeout = 500 * time.Millisecond
	// checkInterval is how often connections are checked.
	checkInterval = 100 * time.Millisecond
	// idleProbeInterval probes connections without calls, so that most silent
	// ones are replaced before a call needs them. It costs about 40 B/s per connection.
	idleProbeInterval = 5 * time.Second
	// idleClose closes a connection that no call used.
	idleClose = 15 * time.Second
)

type verdict int

const (
	verdictOK verdict = iota
	verdictProbe
	verdictSilent
	verdictIdle
)

// health decides when a connection is probed, and when it counts as silent.
type health struct {
	mu       sync.Mutex
	pending  int
	lastRecv time.Time
	lastUsed time.Time
	// awaiting is when the oldest unanswered send happened; zero when none is.
	awaiting time.Time
	probing  bool
	// probeAt is when the outstanding probe was written.
	probeAt time.Time
}

func newHealth(now time.Time) *health {
	return &health{lastRecv: now, lastUsed: now}
}

func (h *health) sent(now time.Time, pending int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending += pending
	h.lastUsed = now
	if h.awaiting.IsZero() {
		h.awaiting = now
	}
}

func (h *health) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending--
}

func (h *health) received(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastRecv = now
	h.probing = false
	h.awaiting = time.Time{}
	if h.pending > 0 {
		h.awaiting = now
	}
}

// probed notes that the probe was written. Until then a long message may
// occupy the connection, which is no sign of silence.
func (h *health) probed(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probeAt = now
}

func (h *health) check(now time.Time) verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.probing {
		if !h.probeAt.IsZero() && now.Sub(h.probeAt) >= probeTimeout {
			return verdictSilent
		}
		return verdictOK
	}
	if h.pending == 0 && now.Sub(h.lastUsed) >= idleClose {
		return verdictIdle
	}
	due := !h.awaiting.IsZero() && now.Sub(h.awaiting) >= probeAfter
	if due || now.Sub(h.lastRecv) >= idleProbeInterval {
		h.probing = true
		h.probeAt = time.Time{}
		return verdictProbe
	}
	return verdictOK
}
