package route

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// prefillGain is the weight of a new observation of prefill speed.
	prefillGain = 0.2
	// forget is the weight that older observations of decode speed keep per new one.
	forget = 0.85
	// priorWeight is the weight of each of the two prior points of the decode line.
	priorWeight = 0.05
	// minPrefillTokens is the least prefill work that tells the speed; below
	// it fixed costs of the request dominate.
	minPrefillTokens = 16
	// priorBaseShare is the part of the time between tokens at full batch that
	// a batch of one needs as well, until observations say otherwise.
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

// Between returns the time between tokens at a batch size, in seconds.
func (s Speed) Between(batch int) float64 { return s.BaseS + s.SlopeS*float64(batch) }

// priorSpeed is assumed of an endpoint whose class is not configured. The
// figures are those of a small accelerator; observations replace them.
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

// learner estimates the speed of one endpoint: an exponentially weighted mean
// for prefill, and least squares with exponential forgetting for the time
// between tokens over batch size. Reads take no lock.
type learner struct {
	prefill, base, slope atomic.Uint64
	seen                 atomic.Int64

	mu                  sync.Mutex
	n, sb, sbb, sy, sby float64
	priorLow, priorHigh float64
	priorBatch          float64
	prefillSeen         bool
}

func (l *learner) reset(prior Speed, slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n, l.sb, l.sbb, l.sy, l.sby = 0, 0, 0, 0, 0
	l.priorBatch = float64(max(slots, 2))
	l.priorLow, l.priorHigh = prior.Between(1), prior.Between(int(l.priorBatch))
	l.prefillSeen = false
	l.seen.Store(0)
	l.store(prior)
}

func (l *learner) store(s Speed) {
	l.prefill.Store(math.Float64bits(s.PrefillS))
	l.base.Store(math.Float64bits(s.BaseS))
	l.slope.Store(math.Float64bits(s.SlopeS))
}

// Speed returns the present estimate.
func (l *learner) speed() Speed {
	return Speed{
		PrefillS: math.Float64frombits(l.prefill.Load()),
		BaseS:    math.Float64frombits(l.base.Load()),
		SlopeS:   math.Float64frombits(l.slope.Load()),
	}
}

// observePrefill learns from the time to a first token behind the given work.
func (l *learner) observePrefill(seconds float64, tokens int) {
	if tokens < minPrefillTokens || seconds <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen.Add(1)
	sample := seconds / float64(tokens)
	known := math.Float64frombits(l.prefill.Load())
	if !l.prefillSeen {
		known, l.prefillSeen = sample, true
	}
	known += prefillGain * (sample - known)
	l.prefill.Store(math.Float64bits(max(known, minSeconds)))
}

// observeDecode learns from the mean time between tokens at a batch size.
func (l *learner) observeDecode(seconds float64, batch int) {
	if seconds <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen.Add(1)
	b := float64(max(batch, 1))
	l.n = l.n*forget + 1
	l.sb = l.sb*forget + b
	l.sbb = l.sbb*forget + b*b
	l.sy = l.sy*forget + seconds
	l.sby = l.sby*forget + b*seconds
	l.fit()
}

// fit solves for base and slope. The prior points are scaled to the observed
// speed, so that they give the slope its shape where observations have one
// batch size only, and not its level.
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

// adopt takes the figures of a peer while nothing was observed here.
func (l *learner) adopt(s Speed) {
	if l.seen.Load() > 0 || s.PrefillS <= 0 || s.BaseS <= 0 || s.SlopeS < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store(s)
}
