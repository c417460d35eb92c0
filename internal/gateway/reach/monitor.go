// Package reach decides whether an entry can connect to the endpoints of a service at all.
// One endpoint that refuses connections or does not answer may have ended. If none of a
// sample accepts a connection, the links of the entry are lost, or the whole service is
// down. The package does no I/O and starts no goroutine.
package reach

import (
	"sync"
	"time"
)

const (
	// SampleSize is the number of endpoints that a check connects to.
	SampleSize = 3
	// minEvidence is how many connections must fail in a row before a service counts as
	// cut off; a check of a service with fewer endpoints is repeated.
	minEvidence = 3
	// repeatPause is the pause before such a repeated check.
	repeatPause = 20 * time.Millisecond
	// recheckInterval is the time between two checks of a service that is cut off.
	recheckInterval = 250 * time.Millisecond
	// checkPause is how long a service that was found reachable is not checked again: a cut
	// that begins meanwhile is noticed that much later.
	checkPause = time.Second
	// flapTime is the time after the end of a cut in which another one counts as a part of
	// it. Each such part doubles the checks that must succeed, up to maxConfirmations.
	flapTime         = 5 * time.Second
	maxConfirmations = 8
)

// Check is the outcome of connections to a sample of the endpoints of a service.
type Check struct{ Tried, Reached int }

// Step is what follows from a check.
type Step struct {
	// Changed is set if the service was cut off by the check, or is reachable again.
	Changed bool
	// CutOff is set while the service is cut off, and CutFor is how long it was.
	CutOff bool
	CutFor time.Duration
	// Again is the time after which the service must be checked again; 0 means not.
	Again time.Duration
}

// Monitor holds for each service whether it is cut off. It is safe for concurrent use.
type Monitor struct {
	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of one service. At most one check runs at a time.
type service struct {
	checking bool
	cutOff   bool
	// since is when the service was cut off, and restoredAt when it last was no longer.
	since, restoredAt time.Time
	// failures counts the connections that failed in a row, and confirmations the checks
	// that succeeded in a row while the service is cut off, of which needed are required.
	failures              int
	confirmations, needed int
	// pausedUntil is the time before which the service is not checked.
	pausedUntil time.Time
}

// NewMonitor returns a monitor to which all services count as reachable.
func NewMonitor() *Monitor { return &Monitor{services: make(map[string]*service)} }

// Suspect is called when something speaks for a cut: a failed connection, or endpoints that
// are all silent. It reports whether the caller must check the service now.
func (m *Monitor) Suspect(name string, now time.Time) (check bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		s = &service{needed: 1}
		m.services[name] = s
	}
	if s.checking || now.Before(s.pausedUntil) {
		return false
	}
	s.checking = true
	return true
}

// Record records the outcome of a check that Suspect or an earlier Record asked for.
func (m *Monitor) Record(name string, check Check, now time.Time) Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	switch {
	case check.Reached > 0:
		return s.reached(now)
	case check.Tried > 0:
		return s.notReached(check.Tried, now)
	}
	// No endpoint is known, so there is nothing to be cut off from.
	step := Step{Changed: s.cutOff, CutFor: now.Sub(s.since)}
	*s = service{needed: 1}
	return step
}

func (s *service) reached(now time.Time) Step {
	s.failures = 0
	if !s.cutOff {
		s.checking = false
		s.pausedUntil = now.Add(checkPause)
		return Step{}
	}
	if s.confirmations++; s.confirmations < s.needed {
		return Step{CutOff: true, Again: recheckInterval}
	}
	s.cutOff, s.checking, s.restoredAt = false, false, now
	return Step{Changed: true, CutFor: now.Sub(s.since)}
}

func (s *service) notReached(tried int, now time.Time) Step {
	s.confirmations = 0
	if s.cutOff {
		return Step{CutOff: true, CutFor: now.Sub(s.since), Again: recheckInterval}
	}
	if s.failures += tried; s.failures < minEvidence {
		return Step{Again: repeatPause}
	}
	if s.needed *= 2; s.restoredAt.IsZero() || now.Sub(s.restoredAt) > flapTime {
		s.needed = 1
	}
	s.needed = min(s.needed, maxConfirmations)
	s.cutOff, s.since = true, now
	return Step{Changed: true, CutOff: true, Again: recheckInterval}
}

// CutOff reports whether a service is cut off.
func (m *Monitor) CutOff(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	return s != nil && s.cutOff
}

// List returns the services that are cut off.
func (m *Monitor) List() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for name, s := range m.services {
		if s.cutOff {
			list = append(list, name)
		}
	}
	return list
}
