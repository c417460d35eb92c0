package route

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// prefillGain is the weight of a new observation in the moving average of
	// the prefill speed.
	prefillGain = 0.2
	// forgettingFactor is the factor by which each new observation of decode speed
	// reduces the weight of older ones.
	forgettingFactor = 0.85
	// priorWeight is the weight of each of the two prior points in the
	// regression of decode speed.
	priorWeight = 0.05
	// minPrefillTokens is the number of prompt tokens below which a prefill is
	// not observed, because the fixed costs of the request dominate.
	minPrefillTokens = 16
	// priorBaseShare is the share of the time between tokens at full batch that
	// does not depend on the batch size, as assumed before any observation.
	priorBaseShare = 0.5
	// minSeconds keeps learned times positive.
	minSeconds = 1e-7
)

// Speed is the learned speed of an endpoint, in seconds per token.
type Speed struct {
	// PrefillS is the time per uncached prompt token.
	PrefillS float64
	// BaseS and SlopeS give the time between tokens as BaseS + SlopeS × batch.
	BaseS, SlopeS float64
}

// TokenInterval returns the time between tokens at a batch size, in seconds.
func (s Speed) TokenInterval(batch int) float64 { return s.BaseS + s.SlopeS*float64(batch) }

// priorSpeed is the initial estimate for an endpoint whose class is not
// configured. The values are those of a small accelerator. Observations replace
// them.
var priorSpeed = Speed{PrefillS: 1.0 / 2000, BaseS: 0.015, SlopeS: 0.001}

func classSpeed(prefillPerS, decodePerS float64, slots int) Speed {
	if prefillPerS <= 0 || decodePerS <= 0 || slots <= 0 {
		return priorSpeed
	}
	full := float64(slots) / decodePerS
	return Speed{
		PrefillS: 1 / prefillPerS,
		BaseS:    full * priorBaseShare,
		SlopeS:   full * (1 - priorBaseShare) / float64(slots),
	}
}

// learner estimates the speed of one endpoint: prefill by an exponentially
// weighted mean, and the time between tokens as a linear function of the batch
// size by least squares with exponential forgetting. Reads take no lock.
type learner struct {
	prefill, base, slope atomic.Uint64
	observations         atomic.Int64

	mu                  sync.Mutex
	n, sb, sbb, sy, sby float64 // weighted count and sums of batch, batch², seconds, batch×seconds
	priorLow, priorHigh float64
	priorBatch          float64
	prefillObserved     bool
}

func (l *learner) reset(prior Speed, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n, l.sb, l.sbb, l.sy, l.sby = 0, 0, 0, 0, 0
	l.priorBatch = float64(max(slots, 2))
	l.priorLow, l.priorHigh = prior.TokenInterval(1), prior.TokenInterval(int(l.priorBatch))
	l.prefillObserved = false
	l.observations.Store(0)
	l.store(prior)
}

func (l *learner) store(s Speed) {
	l.prefill.Store(math.Float64bits(s.PrefillS))
	l.base.Store(math.Float64bits(s.BaseS))
	l.slope.Store(math.Float64bits(s.SlopeS))
}

// speed returns the current estimate.
func (l *learner) speed() Speed {
	return Speed{
		PrefillS: math.Float64frombits(l.prefill.Load()),
		BaseS:    math.Float64frombits(l.base.Load()),
		SlopeS:   math.Float64frombits(l.slope.Load()),
	}
}

// observePrefill updates the prefill speed from the time to a first token, in which
// the endpoint prefilled the given number of tokens.
func (l *learner) observePrefill(seconds float64, tokens int) {
	if tokens < minPrefillTokens || seconds <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observations.Add(1)
	sample := seconds / float64(tokens)
	mean := math.Float64frombits(l.prefill.Load())
	if !l.prefillObserved {
		mean, l.prefillObserved = sample, true
	}
	mean += prefillGain * (sample - mean)
	l.prefill.Store(math.Float64bits(max(mean, minSeconds)))
}

// observeDecode updates the decode speed from the mean time between tokens at a
// batch size.
func (l *learner) observeDecode(seconds float64, batch int) {
	if seconds <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observations.Add(1)
	b := float64(max(batch, 1))
	l.n = l.n*forgettingFactor + 1
	l.sb = l.sb*forgettingFactor + b
	l.sbb = l.sbb*forgettingFactor + b*b
	l.sy = l.sy*forgettingFactor + seconds
	l.sby = l.sby*forgettingFactor + b*seconds
	l.fit()
}

// fit solves for base and slope. The prior points are scaled to the observed
// speed. They determine the ratio of slope to base if all observations have the
// same batch size, but they do not shift the observed mean.
func (l *learner) fit() {
	meanB, meanY := l.sb/l.n, l.sy/l.n
	expected := l.priorLow + (l.priorHigh-l.priorLow)*(meanB-1)/(l.priorBatch-1)
	scale := meanY / max(expected, minSeconds)
	low, high := l.priorLow*scale, l.priorHigh*scale
	n := l.n + 2*priorWeight
	sb := l.sb + priorWeight*(1+l.priorBatch)
	sbb := l.sbb + priorWeight*(1+l.priorBatch*l.priorBatch)
	sy := l.sy + priorWeight*(low+high)
	sby := l.sby + priorWeight*(low+high*l.priorBatch)
	slope := 0.0
	if det := n*sbb - sb*sb; det > 0 {
		slope = max((n*sby-sb*sy)/det, 0)
	}
	base := (sy - slope*sb) / n
	if base < minSeconds {
		base, slope = minSeconds, max(sy/max(sb, 1), 0)
	}
	l.base.Store(math.Float64bits(base))
	l.slope.Store(math.Float64bits(slope))
}

// adopt takes over the estimate of a peer if this entry has no observations.
func (l *learner) adopt(s Speed) {
	if l.observations.Load() > 0 || s.PrefillS <= 0 || s.BaseS <= 0 || s.SlopeS < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store(s)
}
