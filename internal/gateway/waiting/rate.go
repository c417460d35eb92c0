package waiting

import "time"

const (
	// rateTime is the time over which the rate of places is averaged: long enough for some
	// places at an entry with few of them, and shorter than a burst of 3 s.
	rateTime = 1500 * time.Millisecond
	// minRateSamples is the number of places from which a rate is known. Before that no
	// request is refused because of its deadline.
	minRateSamples = 6
)

// placeRate measures how many places become free per second while requests wait.
type placeRate struct {
	// places and busy are sums that decay with rateTime; seen counts all places.
	places, busy float64
	seen         int
	updatedAt    time.Time
}

// advance adds the time since the last call if requests waited for all of it.
func (r *placeRate) advance(now time.Time, waited bool) {
	elapsed := now.Sub(r.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.updatedAt = now
	if !waited {
		return
	}
	decay := max(1-elapsed/rateTime.Seconds(), 0)
	r.places *= decay
	r.busy = r.busy*decay + elapsed
}

func (r *placeRate) add() {
	r.places++
	r.seen++
}

// perSecond returns the rate, or 0 if it is not known.
func (r *placeRate) perSecond() float64 {
	if r.seen < minRateSamples || r.busy <= 0 {
		return 0
	}
	return r.places / r.busy
}
