package waiting

import (
	"math"
	"time"
)

const (
	// sumsTTL is how long the sums of all entries are used. Polls bring them each 0.4 s; two
	// polls may be lost before the gate no longer relies on them.
	sumsTTL = 1500 * time.Millisecond
	// overcommit is the number of requests of all entries at the endpoints, relative to their
	// slots, from which entries keep to their shares. Below it each sends as it wants. It
	// exceeds 1 because the sums are up to 0.8 s old. A small share cannot be used as evenly:
	// overcommitSmall is added for an entry with a share of one slot, at most
	// maxOvercommitSmall. If many entries share few slots, a lower limit leaves slots idle. If
	// one entry has all slots, a higher limit makes more requests miss their targets.
	overcommit         = 1.5
	overcommitSmall    = 0.5
	maxOvercommitSmall = 1.0
	// windowTTL is how long after a rejection the entry limits its requests in flight.
	windowTTL = 2 * time.Second
	// fullInRow is the number of rejections in a row from which they count although the sums
	// show free slots. A single full endpoint does not cause as many: it is paused.
	fullInRow = 3
	// firstHold and maxHold are the pauses after rejections while the limit is one request.
	firstHold = 50 * time.Millisecond
	maxHold   = 400 * time.Millisecond
)

// Sums is what all entries together do with a service, as a replica reports it.
type Sums struct {
	// Running is the number of requests of all entries at the endpoints, and Own that of them
	// which this entry reported.
	Running, Own int
	// Share is the part of this entry of the demand of all entries.
	Share float64
}

// Gate limits the requests that one entry has at the endpoints of a service while those are
// full. It is not safe for concurrent use.
type Gate struct {
	slots    int
	sums     Sums
	sumsAt   time.Time
	inFlight int
	// window limits inFlight until windowUntil.
	window      float64
	windowUntil time.Time
	// inRow counts the rejections since an endpoint took a request.
	inRow int
	// heldUntil is when the next request may start after a rejection, and holds counts such
	// pauses since an endpoint took a request.
	heldUntil time.Time
	holds     int
	// credit is the number of requests that may start beyond whole shares, at creditAt.
	credit   float64
	creditAt time.Time
	// workSeconds is the average time of an attempt.
	workSeconds float64
}

// SetSlots sets the number of slots of the ready endpoints; 0 if it is not known.
func (g *Gate) SetSlots(slots int) { g.slots = slots }

// SetSums sets the sums of all entries.
func (g *Gate) SetSums(s Sums, now time.Time) { g.sums, g.sumsAt = s, now }

// Open reports whether a request may start now. What closes the gate ends with another request, or
// within the interval in which the entry looks at its queue.
func (g *Gate) Open(now time.Time) bool {
	known := g.sumsKnown(now)
	if known && g.running() < g.slots && g.inRow < fullInRow {
		// Rejections by a single endpoint do not show that the others are full.
		return true
	}
	if now.Before(g.windowUntil) && float64(g.inFlight) >= max(g.window, 1) || now.Before(g.heldUntil) {
		return false
	}
	if !g.full(now) {
		return true
	}
	share := g.share()
	return float64(g.inFlight+1) <= share || g.fractionOpen(share, now)
}

// full reports whether the requests of all entries fill the endpoints, as far as is known.
func (g *Gate) full(now time.Time) bool {
	return g.sumsKnown(now) && float64(g.running()) >= g.requestLimit()
}

// requestLimit returns the number of requests of all entries at the endpoints from which the
// endpoints count as full.
func (g *Gate) requestLimit() float64 {
	share := g.sums.Share * float64(g.slots)
	return (overcommit + min(overcommitSmall/max(share, overcommitSmall), maxOvercommitSmall)) * float64(g.slots)
}

// share returns the part of this entry of requestLimit.
func (g *Gate) share() float64 { return g.sums.Share * g.requestLimit() }

// sumsKnown reports whether the sums of all entries are recent enough.
func (g *Gate) sumsKnown(now time.Time) bool {
	return g.slots > 0 && !g.sumsAt.IsZero() && now.Sub(g.sumsAt) <= sumsTTL
}

// running estimates the number of requests of all entries at the endpoints.
func (g *Gate) running() int { return max(g.sums.Running-g.sums.Own, 0) + g.inFlight }

// fractionOpen reports whether the fraction of the share beyond whole requests lets one more
// start. With 86 entries and 36 slots each entry has less than one slot: it uses it in turns.
func (g *Gate) fractionOpen(share float64, now time.Time) bool {
	if float64(g.inFlight) >= math.Ceil(share) {
		return false
	}
	g.accrue(share, now)
	return g.credit >= 1
}

// fractionPerS returns how many requests a second the fraction of a share allows.
func (g *Gate) fractionPerS(share float64) float64 {
	return (share - math.Floor(share)) / max(g.workSeconds, minWorkSeconds)
}

// minWorkSeconds limits the rate that follows from short attempts.
const minWorkSeconds = 0.005

// accrue adds the credit that the fraction of a share earned since the last call.
func (g *Gate) accrue(share float64, now time.Time) {
	if g.creditAt.IsZero() {
		g.credit = 1
	} else if elapsed := now.Sub(g.creditAt); elapsed > 0 {
		g.credit = min(g.credit+g.fractionPerS(share)*elapsed.Seconds(), 1)
	}
	g.creditAt = now
}

// Start records the start of a request.
func (g *Gate) Start(now time.Time) {
	if share := g.share(); g.full(now) && float64(g.inFlight+1) > share {
		g.credit = max(g.credit-1, 0)
	}
	g.inFlight++
}

// Cancel records that a started request was not sent.
func (g *Gate) Cancel() { g.inFlight-- }

// workWeight is the weight of one attempt in the average time of attempts.
const workWeight = 0.1

// End records the end of a request, how long it took, and whether an endpoint rejected it because
// it was full.
func (g *Gate) End(took time.Duration, rejected bool, random float64, now time.Time) {
	if rejected {
		g.reject(random, now)
	} else {
		g.holds, g.inRow = 0, 0
		if g.window > 0 {
			g.window += 1 / g.window
		}
		if g.workSeconds == 0 {
			g.workSeconds = took.Seconds()
		}
		g.workSeconds += workWeight * (took.Seconds() - g.workSeconds)
	}
	g.inFlight--
}

// reject records a rejection. It limits the requests in flight to those that the endpoints may
// still hold.
func (g *Gate) reject(random float64, now time.Time) {
	g.inRow++
	limit := float64(g.inFlight - 1)
	if now.Before(g.windowUntil) {
		limit = min(limit, g.window)
	}
	g.window = max(limit, 1)
	g.windowUntil = now.Add(windowTTL)
	if g.window > 1 || now.Before(g.heldUntil) {
		return
	}
	hold := min(firstHold<<min(g.holds, maxHoldDoublings), maxHold)
	g.holds++
	g.heldUntil = now.Add(time.Duration(float64(hold) * (0.5 + random)))
}

// maxHoldDoublings limits the doublings of a pause, so that the shift cannot overflow.
const maxHoldDoublings = 4

// Work returns the average time of an attempt, 0 if it is not known.
func (g *Gate) Work() time.Duration { return time.Duration(g.workSeconds * float64(time.Second)) }
