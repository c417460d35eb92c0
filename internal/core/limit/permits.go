package limit

import (
	"math"
	"time"
)

// permitTTL is how long an unused permit stays valid. It bounds the burst of many
// entries that were idle: together they hold at most the permits of this time.
const permitTTL = time.Second

// Permits issues permits at a steady rate, which may be 0 or far below one a second. It
// is the share of one entry in a request rate that an endpoint accepts from all
// entries together. It is not safe for concurrent use.
type Permits struct {
	perS float64
	// Permit n is issued at start + n/perS.
	start time.Time
	// used is the number of the last permit that was taken.
	used int
}

// NewPermits returns a schedule of permits. phase is the part of the first interval
// that has already passed, in [0, 1): if it is random, the entries do not all send
// at the same time.
func NewPermits(perS, phase float64, now time.Time) *Permits {
	p := &Permits{perS: perS}
	p.restart(phase, 0, now)
	return p
}

// SetRate changes the rate and keeps the valid permits.
func (p *Permits) SetRate(perS float64, now time.Time) {
	if perS == p.perS {
		return
	}
	elapsed := p.elapsed(now)
	valid := p.valid(now)
	p.perS = perS
	p.restart(elapsed-math.Floor(elapsed), valid, now)
}

// restart begins a new schedule in which the permits up to now that are valid have
// the numbers up to 0.
func (p *Permits) restart(phase float64, valid int, now time.Time) {
	p.start = now.Add(-p.interval(phase))
	p.used = -valid
}

// interval returns the time in which a number of permits is issued, 0 for a rate of 0.
func (p *Permits) interval(permits float64) time.Duration {
	if p.perS <= 0 {
		return 0
	}
	return time.Duration(permits / p.perS * float64(time.Second))
}

// elapsed returns the number of permits since the start, including the part of the
// next one.
func (p *Permits) elapsed(now time.Time) float64 { return p.perS * now.Sub(p.start).Seconds() }

func (p *Permits) valid(now time.Time) int {
	issued := int(math.Floor(p.elapsed(now)))
	lapsed := int(math.Floor(p.elapsed(now.Add(-permitTTL))))
	return max(issued-max(p.used, lapsed), 0)
}

// Available reports whether a permit can be taken.
func (p *Permits) Available(now time.Time) bool { return p.valid(now) > 0 }

// Take takes a permit and reports whether there was one.
func (p *Permits) Take(now time.Time) bool {
	valid := p.valid(now)
	if valid == 0 {
		return false
	}
	p.used = int(math.Floor(p.elapsed(now))) - valid + 1
	return true
}

// noPermitTime is the time until the next permit that is assumed for a rate of 0.
const noPermitTime = time.Hour

// NextAt returns when the next permit is issued.
func (p *Permits) NextAt(now time.Time) time.Time {
	if p.perS <= 0 {
		return now.Add(noPermitTime)
	}
	return p.start.Add(p.interval(math.Floor(p.elapsed(now)) + 1))
}
