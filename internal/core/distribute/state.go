package distribute

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

const (
	// pullDelay is how long a daemon that lacks a generation waits before it pulls,
	// so that a push in progress can arrive. It is well below the goal of 1 s for
	// the distribution to 8 daemons.
	pullDelay = 250 * time.Millisecond
	// pullRetry is the minimum time between two pulls.
	pullRetry = 500 * time.Millisecond
	// firstPullRetry replaces pullRetry while no generation is known. A new cluster
	// then waits for its first promotion, which is pushed.
	firstPullRetry = 2 * time.Second
	// failureBackoff is the minimum time between a failed installation and the next pull.
	failureBackoff = 5 * time.Second
)

// State holds the configuration generation of one daemon. The number of the
// installed generation never decreases. It is safe for concurrent use.
type State struct {
	install func(port.Generation) error

	// installMu serializes installations and is held during the callback.
	installMu sync.Mutex

	mu          sync.Mutex
	current     port.Generation
	behindSince time.Time
	nextPull    time.Time
	// awaitingFirst is set if nextPull was set while no generation was known.
	awaitingFirst bool
	lastFailure   *InstallError
}

// New returns a state without a generation. The state calls install to put a
// generation in force.
func New(install func(port.Generation) error) *State { return &State{install: install} }

// Current returns the installed generation; number 0 means none.
func (s *State) Current() port.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Ready reports whether a generation is installed.
func (s *State) Ready() bool { return s.Current().Number > 0 }

// Failure returns the error of the last installation if it failed, or nil.
func (s *State) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastFailure == nil {
		return nil
	}
	return s.lastFailure
}

// Accept installs a generation if it is higher than the current one, and reports
// whether it did. The error is a *DigestError or an *InstallError.
func (s *State) Accept(g port.Generation, now time.Time) (bool, error) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	if g.Number <= s.Current().Number {
		return false, nil
	}
	if sum := sha256.Sum256(g.Document); hex.EncodeToString(sum[:]) != g.Digest {
		return false, &DigestError{Number: g.Number}
	}
	err := s.install(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.lastFailure = &InstallError{Number: g.Number, Err: err}
		s.nextPull = now.Add(failureBackoff)
		return false, s.lastFailure
	}
	s.current = g
	s.lastFailure = nil
	s.behindSince = time.Time{}
	return true, nil
}

// PullDue reports whether a pull is due. newest is the highest generation number
// that other daemons have reported; 0 means none. A daemon without a generation
// pulls in any case.
func (s *State) PullDue(newest uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Number > 0 && newest <= s.current.Number {
		s.behindSince = time.Time{}
		return false
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	// The longer wait for a first generation ends as soon as one is reported.
	waiting := now.Before(s.nextPull) && (newest == 0 || !s.awaitingFirst)
	if now.Sub(s.behindSince) < pullDelay || waiting {
		return false
	}
	s.awaitingFirst = newest == 0
	s.nextPull = now.Add(pullRetry)
	if newest == 0 {
		s.nextPull = now.Add(firstPullRetry)
	}
	return true
}
