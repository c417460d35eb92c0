package pick

import (
	"time"

	"github.com/boragelead/boragelead/internal/core/limit"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// brittleTTL is how long a service counts as brittle after an answer of one of its
	// endpoints said so. All of them say it in all their answers.
	brittleTTL = 10 * time.Second
	// crowdedShare is the part of all slots of a service in use above which single endpoints
	// may be full: entries spread their requests without seeing each other's, and learn of
	// the sum with delay.
	crowdedShare = 0.6
	// crowdedTime is how long a service counts as crowded after a rejection, and how long a
	// sum is used.
	crowdedTime = 10 * time.Second
)

// brittleness is what is known of a service whose endpoints fail if they have to reject too
// many requests.
type brittleness struct {
	// perS is how many rejections a second an endpoint bears from all entries.
	perS  float64
	until time.Time
	// sharer is the position of this entry among those that share the endpoints.
	sharer limit.Sharer
	// running is the number of requests of all entries at the endpoints, as reported at
	// runningAt. rejectedAt is when one of this entry was rejected last.
	running               int
	runningAt, rejectedAt time.Time
	// crowdedAt is when the service was crowded last, or a request found no endpoint for that
	// reason.
	crowdedAt time.Time
}

// crowded reports whether endpoints may be full while the service has a number of slots.
func (s *brittleness) crowded(slots int, now time.Time) bool {
	if now.Sub(s.rejectedAt) < crowdedTime || now.Sub(s.runningAt) > crowdedTime || float64(s.running) >= crowdedShare*float64(slots) {
		s.crowdedAt = now
	}
	return now.Sub(s.crowdedAt) < crowdedTime
}

// SetRunning sets the number of requests of all entries that run at the endpoints of each
// service.
func (b *Board) SetRunning(running map[string]int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, state := range b.brittle {
		state.running, state.runningAt = running[service], now
	}
}

// isCrowded reports whether endpoints of a brittle service may be full. The caller must hold
// mu.
func (b *Board) isCrowded(service string, now time.Time) bool {
	state := b.brittle[service]
	if state == nil {
		return false
	}
	slots := 0
	for _, s := range b.services[service] {
		if s.endpoint.State == registry.Ready {
			slots += s.endpoint.Slots
		}
	}
	return state.crowded(slots, now)
}

// SetSharer sets the position of this entry among those that share the endpoints of a
// service.
func (b *Board) SetSharer(service string, sharer limit.Sharer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.brittle[service]
	if state == nil || state.sharer == sharer {
		return
	}
	state.sharer = sharer
	for _, s := range b.services[service] {
		b.guard(s, state)
	}
}

// noteNoEndpoint records that a filter left no endpoint for a request. While brittle endpoints
// are spared, few requests run there, which does not show that there is room for all. The
// caller must hold mu.
func (b *Board) noteNoEndpoint(r *Request, droppedBy string) {
	if state := b.brittle[r.Service]; state != nil && droppedBy == (BrittleFilter{}).Name() {
		state.crowdedAt = r.Now
	}
}

// RecordBrittle records how many rejections a second the endpoint bears, as its answer says;
// 0 if the answer does not say that it is brittle. It reports whether the service is newly
// brittle, or no longer.
func (c *Choice) RecordBrittle(perS float64, now time.Time) (changed bool) {
	b := c.board
	b.mu.Lock()
	defer b.mu.Unlock()
	service := c.Endpoint.Service
	state := b.brittle[service]
	if perS <= 0 {
		c.stats.rejections = nil
		if state == nil || b.anyBrittle(service) {
			return false
		}
		delete(b.brittle, service)
		return true
	}
	if state == nil {
		state = &brittleness{sharer: limit.Sharer{Rank: -1, Entries: assumedSharers, DemandShare: 1.0 / assumedSharers}}
		b.brittle[service] = state
		changed = true
	}
	state.until = now.Add(brittleTTL)
	if state.perS != perS || c.stats.rejections == nil {
		state.perS = perS
		for _, s := range b.services[service] {
			b.guard(s, state)
		}
	}
	return changed
}

// assumedSharers is the number of entries that is assumed until SetSharer is called.
const assumedSharers = 16

// guard limits the rejections by an endpoint of a brittle service. The caller must hold mu.
func (b *Board) guard(s *stats, state *brittleness) {
	if s.rejections == nil {
		s.rejections = limit.NewRejections(s.endpoint.ID, s.endpoint.Slots, state.perS, state.sharer)
		return
	}
	s.rejections.Set(s.endpoint.Slots, state.perS, state.sharer)
}

// anyBrittle reports whether an endpoint of a service still counts as brittle. The caller must
// hold mu.
func (b *Board) anyBrittle(service string) bool {
	for _, s := range b.services[service] {
		if s.rejections != nil {
			return true
		}
	}
	return false
}

// expireBrittle forgets the services whose endpoints have not said lately that they are
// brittle. The caller must hold mu.
func (b *Board) expireBrittle(now time.Time) {
	for service, state := range b.brittle {
		if now.Before(state.until) {
			continue
		}
		delete(b.brittle, service)
		for _, s := range b.services[service] {
			s.rejections = nil
		}
	}
}

// BrittleServices returns the services whose endpoints are brittle.
func (b *Board) BrittleServices() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]string, 0, len(b.brittle))
	for service := range b.brittle {
		list = append(list, service)
	}
	return list
}

// BrittleFilter drops brittle endpoints that might reject the request, unless it is the turn
// of this entry to be rejected. It is for brittle endpoints only.
type BrittleFilter struct{}

// Name implements Filter.
func (BrittleFilter) Name() string { return "brittle" }

// Keep implements Filter.
func (BrittleFilter) Keep(r *Request, v *View) bool {
	mayBeFull := r.crowded || float64(v.requests(r.Now)) >= crowdedShare*float64(v.endpoint.Slots)
	return v.rejections.Admits(v.inFlight, mayBeFull, r.Now, r.TimeOfDay)
}
