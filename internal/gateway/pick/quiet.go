package pick

import (
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// quietTime is the time without a byte from any endpoint of a service after which the
	// links to them are in doubt. Single endpoints may well be silent for longer.
	quietTime = 300 * time.Millisecond
	// minQuiet is the number of endpoints that must be silent, unless the service has fewer.
	minQuiet = 3
)

// IsQuiet reports whether all endpoints of a service at which attempts of this entry run
// have been silent for quietTime, and enough of them to doubt the links to all.
func (b *Board) IsQuiet(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastByteAt[service]) < quietTime {
		return false
	}
	ready, quiet := 0, 0
	for _, s := range b.services[service] {
		if s.endpoint.State == registry.Ready {
			ready++
		}
		if s.inFlight == 0 {
			continue
		}
		if now.Sub(s.quietSince()) < quietTime {
			return false
		}
		quiet++
	}
	return quiet > 0 && quiet >= min(ready, minQuiet)
}

// CountSilent returns the number of endpoints of a service at which attempts of this entry run,
// and of those that have sent nothing for a time.
func (b *Board) CountSilent(service string, silence time.Duration, now time.Time) (silent, busy int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[service] {
		if s.inFlight == 0 {
			continue
		}
		busy++
		if s.isSilent(silence, now) {
			silent++
		}
	}
	return silent, busy
}

// isSilent reports whether an endpoint has sent nothing for a time although attempts run there.
func (s *stats) isSilent(silence time.Duration, now time.Time) bool {
	if s.inFlight == 0 {
		return false
	}
	// Without an answer under way, silentSince is zero after the last byte.
	since := s.quietSince()
	if since.Before(s.lastByteAt) {
		since = s.lastByteAt
	}
	return now.Sub(since) >= silence
}

// SilentFor returns how long no byte of an endpoint of a service has been received; very long
// if none ever was.
func (b *Board) SilentFor(service string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.lastByteAt[service])
}

// quietSince returns since when an endpoint with running attempts has sent nothing.
func (s *stats) quietSince() time.Time {
	if s.inFlight > s.pending && !s.lastByteAt.IsZero() {
		return s.lastByteAt
	}
	return s.silentSince
}

// ForgetFailures ends the pauses of the endpoints of a service, and forgets which of them
// refused connections since a time, because the links of this entry were lost.
func (b *Board) ForgetFailures(service string, since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[service] {
		s.consecutiveFailures, s.pausedUntil, s.silentSince = 0, time.Time{}, time.Time{}
		if s.refusedAt.After(since) {
			s.refusedAt = time.Time{}
		}
	}
}
