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
	// slowdownTime is the time in which a reported slowdown loses most of its weight. VMs share
	// their hardware with others, and the load of those changes within tenths of a second.
	slowdownTime = 400 * time.Millisecond
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
func (s *stats) slownessAt(usual float64, now time.Time) float64 {
	ratio := s.slowness
	if usual > 0 && s.pace.known() {
		ratio = s.pace.seconds / usual
	}
	return min(max(ratio*s.momentarySlowdown(now), 1/maxPaceRatio), maxPaceRatio)
}

// momentarySlowdown returns how many times longer work takes at the endpoint at this moment, as
// the last event of a stream or the last load report says. The older it is, the nearer to 1.
func (s *stats) momentarySlowdown(now time.Time) float64 {
	slowdown, at := s.reportedLoad.Slowdown, s.reportedAt
	if s.slowdownAt.After(at) {
		slowdown, at = s.slowdown, s.slowdownAt
	}
	if slowdown <= 0 || at.IsZero() {
		return 1
	}
	return 1 + (slowdown-1)*math.Exp(-now.Sub(at).Seconds()/slowdownTime.Seconds())
}

// RecordEvents records that events of a stream arrived.
func (c *Choice) RecordEvents(count int, now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	if !c.lastEventAt.IsZero() && count > 0 {
		c.stats.observeGap(now.Sub(c.lastEventAt).Seconds()/float64(count), now)
	}
	c.lastEventAt = now
}

// observeGap learns from the time between two events of a stream.
func (s *stats) observeGap(seconds float64, now time.Time) {
	s.pace.observe(seconds)
	if s.pace.known() {
		s.slowdown, s.slowdownAt = min(max(seconds/s.pace.seconds, 1), maxPaceRatio), now
	}
}
