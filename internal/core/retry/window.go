package retry

import (
	"sync"
	"time"
)

// windowSlots is the resolution of a WindowBudget.
const windowSlots = 10

// WindowLimits bounds repeats within any span of a window.
type WindowLimits struct {
	Window time.Duration
	// Share of the first attempts may be repeated.
	Share float64
	// Allowance is granted without first attempts.
	Allowance float64
}

// WindowBudget bounds the attempts beyond the first that go to each service
// within a sliding window. It is safe for concurrent use.
type WindowBudget struct {
	mu     sync.Mutex
	limits WindowLimits
	// start is the origin of the slots; its monotonic reading makes them steady.
	start    time.Time
	services map[string]*windowCounts
}

type windowCounts struct {
	first, repeats [windowSlots]float64
	slot           int64
}

// NewWindowBudget returns a budget.
func NewWindowBudget(limits WindowLimits, now time.Time) *WindowBudget {
	return &WindowBudget{limits: limits, start: now, services: make(map[string]*windowCounts)}
}

// SetAllowance changes the allowance, as the number of entries that share it changes.
func (b *WindowBudget) SetAllowance(allowance float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Allowance = allowance
}

// First counts a first attempt.
func (b *WindowBudget) First(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service, now)
	c.first[c.slot%windowSlots]++
}

// Repeat reports whether a further attempt may be sent, and counts it.
func (b *WindowBudget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service, now)
	if sum(c.repeats)+1 > b.limits.Share*sum(c.first)+b.limits.Allowance {
		return false
	}
	c.repeats[c.slot%windowSlots]++
	return true
}

// at returns the counts of a service with the slots that are over cleared.
func (b *WindowBudget) at(service string, now time.Time) *windowCounts {
	slot := int64(now.Sub(b.start) / (b.limits.Window / windowSlots))
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
