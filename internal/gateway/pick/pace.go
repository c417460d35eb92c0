package pick

import (
	"math"
	"slices"
	"time"
)

const (
	// paceQuantile is the quantile of the times between events that tells the speed of an
	// endpoint: prompts that are processed between the events make the longer times.
	paceQuantile = 0.3
	// paceStep is the step of the estimate with each event, as a part of it. The first steps
	// are larger.
	paceStep = 0.05
	// minPaceEvents is the number of events from which a pace is used.
	minPaceEvents = 12
	// paceRefresh is how often the usual pace of a service is computed.
	paceRefresh = 500 * time.Millisecond
	// maxPaceRatio limits the effect of a pace on the choice.
	maxPaceRatio = 4
)

// pace estimates a quantile of the times between the events of an endpoint's streams, in
// seconds.
type pace struct {
	seconds float64
	events  int
}

// observe adds the mean time between some events.
func (p *pace) observe(seconds float64) {
	if seconds <= 0 {
		return
	}
	p.events++
	if p.events == 1 {
		p.seconds = seconds
		return
	}
	step := max(paceStep, 1/float64(p.events))
	if seconds < p.seconds {
		p.seconds *= math.Exp(-step * (1 - paceQuantile))
	} else {
		p.seconds *= math.Exp(step * paceQuantile)
	}
}

func (p *pace) known() bool { return p.events >= minPaceEvents }

// usualPace is the median pace of the endpoints of a service.
type usualPace struct {
	seconds float64
	at      time.Time
}

// paceOf returns the usual pace of a service; 0 if it is not known. The caller must hold mu.
func (b *Board) paceOf(service string, now time.Time) float64 {
	u := b.paces[service]
	if u == nil {
		u = &usualPace{}
		b.paces[service] = u
	}
	if now.Sub(u.at) < paceRefresh {
		return u.seconds
	}
	u.at = now
	var known []float64
	for _, s := range b.services[service] {
		if s.pace.known() {
			known = append(known, s.pace.seconds)
		}
	}
	u.seconds = 0
	if len(known) > 0 {
		slices.Sort(known)
		u.seconds = known[len(known)/2]
	}
	return u.seconds
}

// slownessAt returns how many times longer the endpoint takes than is usual for its service.
func (s *stats) slownessAt(usual float64) float64 {
	if usual <= 0 || !s.pace.known() {
		return s.slowness
	}
	return min(max(s.pace.seconds/usual, 1/maxPaceRatio), maxPaceRatio)
}

// RecordEvents records that events of a stream arrived.
func (c *Choice) RecordEvents(count int, now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if !c.lastEventAt.IsZero() && count > 0 {
		c.stats.pace.observe(now.Sub(c.lastEventAt).Seconds() / float64(count))
	}
	c.lastEventAt = now
}
