package limit

import (
	"sync"
	"time"
)

const (
	// maxLimitPerSlot bounds the limit as a multiple of the slots of the endpoint.
	// It exceeds 1 so that enough requests wait at the endpoint to refill a free slot
	// without a round trip.
	maxLimitPerSlot = 1.25
	// minWindow and minSamples are the minimum duration and number of samples of a
	// window, after which the limit is adjusted.
	minWindow  = 500 * time.Millisecond
	minSamples = 8
	// raiseBelow and lowerAbove are shares of the target. Between them the limit
	// does not change, so that it does not oscillate with the noise of the samples.
	raiseBelow = 0.92
	lowerAbove = 1.0
	// minDecreaseFactor is the smallest factor of one multiplicative decrease.
	minDecreaseFactor = 0.6
	// increasePerWindow is the additive increase per window as a share of the slots.
	increasePerWindow = 0.05
	// bindingShare is the share of the limit that must have been in flight for the
	// limit to be raised. Below it, the measurements do not show whether the endpoint
	// can take more.
	bindingShare = 0.8
)

// Target is the tightest latency target in use at an endpoint.
type Target struct {
	PerToken, FirstToken time.Duration
}

// Limiter adapts the limit of one endpoint by additive increase while the target
// is met and the limit binds, and by multiplicative decrease in proportion to the
// excess over the target. It is safe for concurrent use.
type Limiter struct {
	mu            sync.Mutex
	slots         int
	limit         float64
	target        Target
	tokenInterval mean
	firstToken    mean
	peakInFlight  int
	windowStart   time.Time
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

// NewLimiter returns a limiter whose initial limit is the number of slots of the
// endpoint.
func NewLimiter(slots int, target Target) *Limiter {
	return &Limiter{slots: max(slots, 1), limit: float64(max(slots, 1)), target: target}
}

// SetTarget sets the target, which is the tightest one of the ranks that use the
// endpoint. A change discards the samples of the current window.
func (l *Limiter) SetTarget(target Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.target != target {
		l.target = target
		l.tokenInterval, l.firstToken = mean{}, mean{}
	}
}

// ObserveTokens records the mean time between count tokens of a request. inFlight
// is the number of requests of all entries that were in flight at the endpoint.
func (l *Limiter) ObserveTokens(tokenInterval time.Duration, count, inFlight int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokenInterval.add(tokenInterval, max(count, 1))
	l.recordObservation(inFlight, now)
}

// ObserveFirst records the time to the first token, without the time that the
// request waited in this entry.
func (l *Limiter) ObserveFirst(latency time.Duration, inFlight int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstToken.add(latency, 1)
	l.recordObservation(inFlight, now)
}

// Limit returns the current limit, which is at least 1.
func (l *Limiter) Limit() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(int(l.limit), 1)
}

// recordObservation updates the window after a sample, and adjusts the limit if
// the window is long enough.
func (l *Limiter) recordObservation(inFlight int, now time.Time) {
	l.peakInFlight = max(l.peakInFlight, inFlight)
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	if now.Sub(l.windowStart) < minWindow || l.tokenInterval.n+l.firstToken.n < minSamples {
		return
	}
	l.adjustLimit()
	l.tokenInterval, l.firstToken, l.peakInFlight, l.windowStart = mean{}, mean{}, 0, now
}

// adjustLimit adjusts the limit once from the samples of a window.
func (l *Limiter) adjustLimit() {
	ratioToTarget := max(ratio(l.tokenInterval.value(), l.target.PerToken), ratio(l.firstToken.value(), l.target.FirstToken))
	switch {
	case ratioToTarget > lowerAbove:
		// If fewer requests were in flight than the limit allows, these requests
		// caused the excess, so the decrease starts from their number.
		l.limit = max(min(l.limit, float64(l.peakInFlight))*max(1/ratioToTarget, minDecreaseFactor), 1)
	case ratioToTarget < raiseBelow && float64(l.peakInFlight) >= bindingShare*l.limit:
		l.limit += max(increasePerWindow*float64(l.slots), 1)
	}
	l.limit = min(l.limit, max(maxLimitPerSlot*float64(l.slots), 1))
}

func ratio(measured, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	return float64(measured) / float64(target)
}
