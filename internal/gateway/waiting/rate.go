package waiting

import "time"

const (
	// rateTime is the time over which the rate of starts is averaged: long enough for some
	// starts at an entry with few of them, and shorter than a burst of 3 s.
	rateTime = 1500 * time.Millisecond
	// minRateSamples is the number of starts from which a rate is known. Before that no
	// request is refused because of its deadline.
	minRateSamples = 6
)

// startRate measures how many requests leave the queue for an endpoint per second while requests
// wait.
type startRate struct {
	// starts and busy are sums that decay with rateTime: of starts, and of the seconds in which
	// requests waited. seen counts all starts.
	starts, busy float64
	seen         int
	updatedAt    time.Time
}

// advance adds the time since the last call if requests waited for all of it.
func (r *startRate) advance(now time.Time, waited bool) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.updatedAt = now
	if !waited {
		return
	}
	decay := max(1-elapsed/rateTime.Seconds(), 0)
	r.starts *= decay
	r.busy = r.busy*decay + elapsed
}

func (r *startRate) add() {
	r.starts++
	r.seen++
}

// perSecond returns the rate, or 0 if it is not known.
func (r *startRate) perSecond() float64 {
	if r.seen < minRateSamples || r.busy <= 0 {
		return 0
	}
	return r.starts / r.busy
}
