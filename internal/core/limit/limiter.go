package limit

import (
	"sync"
	"time"
)

const (
	// slotsBound is how far the limit may exceed the slots of the endpoint:
	// enough work waits there that a slot is never empty for a round trip.
	slotsBound = 1.25
	// window and minSamples say when enough was observed for one step.
	window     = 500 * time.Millisecond
	minSamples = 8
	// raiseBelow and lowerAbove are shares of the target. The limit holds
	// between them, so that it does not swing with the noise of the samples.
	raiseBelow = 0.92
	lowerAbove = 1.0
	// maxCut bounds one multiplicative decrease.
	maxCut = 0.6
	// growth is the additive increase per window as a share of the slots.
	growth = 0.05
	// bindingShare is the use of the limit above which a fast endpoint tells
	// that it could carry more.
	bindingShare = 0.8
)

// Target is the tightest latency target in use at an endpoint.
type Target struct {
	PerToken, FirstToken time.Duration
}

// Limiter adapts the limit of one endpoint: additive increase while the target
// is met and the limit binds, multiplicative decrease in proportion to the
// excess. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	slots   int
	limit   float64
	target  Target
	between mean
	first   mean
	peak    int
	start   time.Time
}

type mean struct {
	sum time.Duration
	n   int
}

func (m *mean) add(d time.Duration, weight int) {
	m.sum += d * time.Duration(weight)
	m.n += weight
}

func (m *mean) value() time.Duration {
	if m.n == 0 {
		return 0
	}
	return m.sum / time.Duration(m.n)
}

// NewLimiter returns a limiter that starts at the slots of the endpoint.
func NewLimiter(slots int, target Target) *Limiter {
	return &Limiter{slots: max(slots, 1), limit: float64(max(slots, 1)), target: target}
}

// SetTarget takes the tightest target of the ranks that now use the endpoint.
func (l *Limiter) SetTarget(target Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target != target {
		l.target = target
		l.between, l.first = mean{}, mean{}
	}
}

// ObserveTokens takes the mean time between count tokens of a generation and
// the number of generations then in flight at the endpoint over all entries.
func (l *Limiter) ObserveTokens(between time.Duration, count, inFlight int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.between.add(between, max(count, 1))
	l.observed(inFlight, now)
}

// ObserveFirst takes the time to a first token that did not wait for this entry.
func (l *Limiter) ObserveFirst(wait time.Duration, inFlight int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first.add(wait, 1)
	l.observed(inFlight, now)
}

// Limit returns the limit, at least 1.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(int(l.limit), 1)
}

func (l *Limiter) observed(inFlight int, now time.Time) {
	l.peak = max(l.peak, inFlight)
	if l.start.IsZero() {
		l.start = now
	}
	if now.Sub(l.start) < window || l.between.n+l.first.n < minSamples {
		return
	}
	l.step()
	l.between, l.first, l.peak, l.start = mean{}, mean{}, 0, now
}

// step makes one change from the observations of a window.
func (l *Limiter) step() {
	load := max(ratio(l.between.value(), l.target.PerToken), ratio(l.first.value(), l.target.FirstToken))
	switch {
	case load > lowerAbove:
		// The work in flight, not the limit, made the load where it was lower.
		l.limit = max(min(l.limit, float64(l.peak))*max(1/load, maxCut), 1)
	case load < raiseBelow && float64(l.peak) >= bindingShare*l.limit:
		l.limit += max(growth*float64(l.slots), 1)
	}
	l.limit = min(l.limit, max(slotsBound*float64(l.slots), 1))
}

func ratio(measured, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return float64(measured) / float64(target)
}
