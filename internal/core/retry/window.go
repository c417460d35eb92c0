package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of slots into which a WindowBudget divides its window.
const windowSlots = 10

// WindowLimits bounds the repeats within a sliding window.
type WindowLimits struct {
	Window time.Duration
	// Share is the ratio of repeats to first attempts that is allowed.
	Share float64
	// Allowance is the number of repeats allowed in addition to Share, until SetAllowance
	// changes it.
	Allowance float64
}

// WindowBudget bounds the attempts beyond the first that go to each service
// within a sliding window. It is safe for concurrent use.
type WindowBudget struct {
	mu     sync.Mutex
	limits WindowLimits
	// origin is the start of the first slot. Its monotonic clock reading protects
	// the slots from changes of the wall clock.
	origin   time.Time
	services map[string]*windowCounts
	// raised is a higher allowance that holds once it was due for a whole window, since
	// raisedAt.
	raised   float64
	raisedAt time.Time
}

type windowCounts struct {
	first, repeats [windowSlots]float64
	// slot is the number of the newest slot.
	slot int64
}

// NewWindowBudget returns a budget with the given limits.
func NewWindowBudget(limits WindowLimits, now time.Time) *WindowBudget {
	return &WindowBudget{limits: limits, origin: now, services: make(map[string]*windowCounts)}
}

// SetAllowance changes the allowance, which all entries share. A lower one holds at once. A
// higher one holds after a window: until then, what a lost entry or the process before this
// one has used counts for the whole deployment.
func (b *WindowBudget) SetAllowance(allowance float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if allowance <= b.limits.Allowance {
		b.limits.Allowance, b.raised = allowance, 0
		return
	}
	if b.raised == 0 {
		b.raised, b.raisedAt = allowance, now
	}
	b.raised = min(b.raised, allowance)
	if now.Sub(b.raisedAt) >= b.limits.Window {
		b.limits.Allowance, b.raised = b.raised, 0
	}
}

// First counts a first attempt.
func (b *WindowBudget) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(service, now)
	c.first[c.slot%windowSlots]++
}

// AllowRepeat reports whether a further attempt may be sent, and counts it if so.
func (b *WindowBudget) AllowRepeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(service, now)
	if sum(c.repeats)+1 > b.limits.Share*sum(c.first)+b.limits.Allowance {
		return false
	}
	c.repeats[c.slot%windowSlots]++
	return true
}

// ReturnRepeat gives back an attempt that AllowRepeat allowed and that was not sent.
func (b *WindowBudget) ReturnRepeat(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsAt(service, now)
	for slot := c.slot; slot > c.slot-windowSlots && slot >= 0; slot-- {
		if c.repeats[slot%windowSlots] >= 1 {
			c.repeats[slot%windowSlots]--
			return
		}
	}
}

// countsAt returns the counts of a service after clearing the slots that have left
// the window.
func (b *WindowBudget) countsAt(service string, now time.Time) *windowCounts {
	slot := int64(now.Sub(b.origin) / (b.limits.Window / windowSlots))
	c := b.services[service]
	if c == nil {
		c = &windowCounts{slot: slot}
		b.services[service] = c
	}
	if slot-c.slot >= windowSlots {
		*c = windowCounts{slot: slot}
	}
	for c.slot < slot {
		c.slot++
		c.first[c.slot%windowSlots] = 0
		c.repeats[c.slot%windowSlots] = 0
	}
	return c
}

func sum(list [windowSlots]float64) float64 {
	total := 0.0
	for _, n := range list {
		total += n
	}
	return total
}
