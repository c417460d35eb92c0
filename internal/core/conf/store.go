package conf

import (
	"sync"
	"sync/atomic"
	"time"
)

// Active is the generation of the document that is in force in a daemon.
type Active struct {
	// Generation is the number of the promoted document.
	Generation uint64
	Document   *Document
	Digest     string
	// InstalledAt is when this daemon put the generation in force.
	InstalledAt time.Time
	// keys finds the key of a secret without comparing it with every key.
	keys keyIndex
}

// Authenticate returns the workspace and key that a secret belongs to, or nil.
func (a *Active) Authenticate(secret string) (*Workspace, *Key) { return a.keys.find(secret) }

// Store holds the active generation of one daemon. Invariant: the generation
// number never decreases. Reads take no lock.
type Store struct {
	mu      sync.Mutex
	active  atomic.Pointer[Active]
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{changed: make(chan struct{})}
}

// Current returns the active generation, or nil before the first installation.
func (s *Store) Current() *Active { return s.active.Load() }

// Install puts a generation in force. If the store already has this generation
// or a higher one, Install changes nothing and returns false. The caller must not
// modify the document afterwards.
func (s *Store) Install(generation uint64, doc *Document, digest string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.active.Load(); current != nil && current.Generation >= generation {
		return false
	}
	s.active.Store(&Active{Generation: generation, Document: doc, Digest: digest, InstalledAt: now, keys: newKeyIndex(doc)})
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next installation.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
