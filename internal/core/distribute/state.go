package distribute

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

const (
	// pullDelay leaves a push that is under way the time to arrive. It is well
	// below the goal of 1 s for 8 daemons.
	pullDelay = 250 * time.Millisecond
	// pullRetry is the time between two pulls.
	pullRetry = 500 * time.Millisecond
	// firstRetry is that time while no generation is heard of: a new cluster
	// waits for its first promotion, which is pushed.
	firstRetry = 2 * time.Second
	// failureBackoff is how long a generation that could not be installed is not pulled again.
	failureBackoff = 5 * time.Second
)

// State is the configuration generation of one daemon. Invariant: the number
// of the installed generation never decreases. It is safe for concurrent use.
type State struct {
	install func(port.Generation) error

	// installing serializes installations and is held during the callback.
	installing sync.Mutex

	mu          sync.Mutex
	current     port.Generation
	behindSince time.Time
	nextPull    time.Time
	// bootstrap is set while nextPull waits for a first generation.
	bootstrap bool
	failed    *InstallError
}

// New returns a state without a generation.
func New(install func(port.Generation) error) *State { return &State{install: install} }

// Current returns the installed generation; number 0 means none.
func (s *State) Current() port.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Ready reports whether a generation was installed.
func (s *State) Ready() bool { return s.Current().Number > 0 }

// Failure returns why the newest generation could not be installed, or nil.
func (s *State) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		return nil
	}
	return s.failed
}

// Accept installs a generation that is higher than the current one and
// reports whether it did. The error is a *DigestError or an *InstallError.
func (s *State) Accept(g port.Generation, now time.Time) (bool, error) {
	s.installing.Lock()
	defer s.installing.Unlock()
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
		s.failed = &InstallError{Number: g.Number, Err: err}
		s.nextPull = now.Add(failureBackoff)
		return false, s.failed
	}
	s.current = g
	s.failed = nil
	s.behindSince = time.Time{}
	return true, nil
}

// PullDue reports whether a pull of the newest number heard of is due. A
// daemon without any generation asks in any case.
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
	// The wait for a first generation ends as soon as one is heard of.
	waits := now.Before(s.nextPull) && (newest == 0 || !s.bootstrap)
	if now.Sub(s.behindSince) < pullDelay || waits {
		return false
	}
	s.bootstrap = newest == 0
	s.nextPull = now.Add(pullRetry)
	if newest == 0 {
		s.nextPull = now.Add(firstRetry)
	}
	return true
}
