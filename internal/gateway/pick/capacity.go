package pick

import (
	"slices"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// MayFree reports whether an endpoint that cannot take the request now is sound and may take it
// once other requests end: it is full, or has as many connections as it may have. Endpoints that
// failed, leave, back off, limit their rate or are brittle do not count.
func (b *Board) MayFree(r *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[r.Service], func(s *stats) bool {
		return s.consecutiveFailures == 0 && s.rejections == nil && s.endpoint.State == registry.Ready &&
			(VersionFilter{}).Keep(r, &View{stats: s}) && (AvoidFilter{}).Keep(r, &View{stats: s}) &&
			s.backoff.admits(r.Now) && (RateFilter{}).Keep(r, &View{stats: s})
	})
}

// ReadySlots returns the number of slots of the ready endpoints of a service.
func (b *Board) ReadySlots(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	slots := 0
	for _, s := range b.services[service] {
		if s.endpoint.State == registry.Ready {
			slots += s.endpoint.Slots
		}
	}
	return slots
}

// PromptSeconds estimates the time in which an endpoint of a service processes a prompt.
func (b *Board) PromptSeconds(service string, tokens int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model(service).secondsPerTokenOrInitial() * float64(tokens)
}
