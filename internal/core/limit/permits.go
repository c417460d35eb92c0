package limit

import (
	"math"
	"time"
)

// permitTTL is how long an unused permit stays valid. It bounds the burst of many
// entries that were idle: together they hold at most the permits of this time.
const permitTTL = time.Second

// maxDebtTime bounds the permits that may be taken before they are issued to those of this
// time. Rates are judged over 4 s, so that an older excess need not be made up for.
const maxDebtTime = 4 * time.Second

// Permits issues permits at a steady rate, which may be 0 or far below one a second. It
// is the share of one entry in a request rate that an endpoint accepts from all
// entries together. It is not safe for concurrent use.
type Permits struct {
	perS float64
	// Permit n is issued at start + n/perS.
	start time.Time
	// used is the number of the last permit that was taken. It exceeds that of the last one
	// issued while more were taken.
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

// SetRate changes the rate and keeps the valid permits, or the debt as far as maxDebtTime allows.
func (p *Permits) SetRate(perS float64, now time.Time) {
	if perS == p.perS {
		return
	}
	elapsed := p.elapsed(now)
	balance := p.balance(now)
	p.perS = perS
	p.restart(elapsed-math.Floor(elapsed), max(balance, -p.maxDebt()), now)
}

// restart begins a new schedule in which the permits up to now that are valid have
// the numbers up to 0. A negative balance is a debt.
func (p *Permits) restart(phase float64, balance int, now time.Time) {
	p.start = now.Add(-p.interval(phase))
	p.used = -balance
}

// maxDebt returns the number of permits that may be taken before they are issued.
func (p *Permits) maxDebt() int {
	return max(int(math.Ceil(p.perS*maxDebtTime.Seconds())), 1)
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

func (p *Permits) issued(now time.Time) int { return int(math.Floor(p.elapsed(now))) }

// balance returns the number of valid permits, or the debt as a negative number.
func (p *Permits) balance(now time.Time) int {
	lapsed := p.issued(now.Add(-permitTTL))
	return p.issued(now) - max(p.used, lapsed)
}

// Available reports whether a permit can be taken.
func (p *Permits) Available(now time.Time) bool { return p.balance(now) > 0 }

// Take takes a permit and reports whether there was one.
func (p *Permits) Take(now time.Time) bool {
	if !p.Available(now) {
		return false
	}
	p.setBalance(p.balance(now)-1, now)
	return true
}

// TakeAhead takes a permit that is issued later if none is valid, for a request that has
// to be sent all the same. Later requests then wait longer.
func (p *Permits) TakeAhead(now time.Time) {
	p.setBalance(max(p.balance(now)-1, -p.maxDebt()), now)
}

func (p *Permits) setBalance(balance int, now time.Time) { p.used = p.issued(now) - balance }

// noPermitTime is the time until the next permit that is assumed for a rate of 0.
const noPermitTime = time.Hour

// NextAt returns when the next permit is issued that is not taken yet.
func (p *Permits) NextAt(now time.Time) time.Time {
	if p.perS <= 0 {
		return now.Add(noPermitTime)
	}
	next := max(p.issued(now), p.used) + 1
	return p.start.Add(p.interval(float64(next)))
}
