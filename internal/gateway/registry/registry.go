// Package registry merges what endpoints announce of themselves. Announcements
// arrive late, out of order and at several replicas; merging them in any order
// gives the same result. The package does no I/O.
package registry

import (
	"sync"
	"time"
)

// State is the state of an endpoint.
type State uint8

// States, in the order in which an incarnation passes them.
const (
	Ready State = iota + 1
	Draining
	Gone
)

// Endpoint is what is known of one endpoint.
type Endpoint struct {
	ID      string `msgpack:"i"`
	Service string `msgpack:"s"`
	// Address is IP:port.
	Address string `msgpack:"a"`
	Domain  string `msgpack:"d"`
	Slots   int    `msgpack:"n"`
	State   State  `msgpack:"t"`
	// Born tells incarnations with the same ID apart: Unix milliseconds of the start.
	Born int64 `msgpack:"b"`
	// Seq orders the announcements of one incarnation.
	Seq uint64 `msgpack:"q"`
	// Reclaimable endpoints may be taken away at short notice.
	Reclaimable bool `msgpack:"r,omitempty"`
	// LeavesMS is the time that a draining endpoint had left when it said so,
	// in milliseconds; 0 where it is not known.
	LeavesMS int64 `msgpack:"l,omitempty"`
}

// supersedes reports whether e is newer than old. Within an incarnation a
// later state wins over a later announcement, because an announcement that was
// sent before the endpoint began to drain may arrive after.
func (e *Endpoint) supersedes(old *Endpoint) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	if e.State != old.State {
		return e.State > old.State
	}
	return e.Seq > old.Seq
}

// sameView reports whether two announcements differ only in their sequence
// number, or in a time that passed.
func (e *Endpoint) sameView(old *Endpoint) bool {
	a, b := *e, *old
	a.Seq, b.Seq = 0, 0
	if a.LeavesMS > 0 && b.LeavesMS > 0 {
		a.LeavesMS = b.LeavesMS
	}
	return a == b
}

// record is an endpoint with the time of its last announcement.
type record struct {
	endpoint Endpoint
	seen     time.Time
	// own is set where the endpoint announced itself here, not at another replica.
	own bool
	// change is the number of the change that is visible to watchers.
	change  uint64
	expired bool
}

// tombstoneLife is how long a withdrawn endpoint is remembered: an
// announcement may be held back by a partition for this long.
const tombstoneLife = 2 * time.Minute

// Registry is the soft state of all endpoints. It is safe for concurrent use.
type Registry struct {
	lease time.Duration

	mu      sync.Mutex
	records map[string]*record
	change  uint64
	notify  chan struct{}
}

// New returns an empty registry. An endpoint that is silent for the lease expires.
func New(lease time.Duration) *Registry {
	return &Registry{lease: lease, records: make(map[string]*record), notify: make(chan struct{})}
}

// Announce merges what an endpoint said here and reports whether it changed
// what watchers see.
func (r *Registry) Announce(e Endpoint, now time.Time) bool { return r.merge(e, now, true) }

// Merge takes an announcement that another replica received at a time.
func (r *Registry) Merge(e Endpoint, seen time.Time) bool { return r.merge(e, seen, false) }

func (r *Registry) merge(e Endpoint, now time.Time, own bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[e.ID]
	if old == nil {
		r.records[e.ID] = &record{endpoint: e, seen: now, own: own}
		r.touch(r.records[e.ID])
		return true
	}
	if !e.supersedes(&old.endpoint) {
		return false
	}
	visible := old.expired || !e.sameView(&old.endpoint)
	old.endpoint = e
	old.seen = now
	old.own = own
	old.expired = false
	if visible {
		r.touch(old)
	}
	return visible
}

// Withdraw marks the current incarnation of an endpoint as gone and returns
// the record to pass on. An unknown ID is remembered with the given birth.
func (r *Registry) Withdraw(id string, born int64, now time.Time) Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[id]
	if old == nil {
		old = &record{endpoint: Endpoint{ID: id, Born: born}}
		r.records[id] = old
	}
	if old.endpoint.State != Gone {
		old.endpoint.State = Gone
		old.seen = now
		r.touch(old)
	}
	return old.endpoint
}

// Expire ends the leases of silent endpoints and drops old tombstones.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.records {
		silent := now.Sub(rec.seen)
		switch {
		case silent > tombstoneLife:
			delete(r.records, id)
		case silent > r.lease && !rec.expired && rec.endpoint.State != Gone:
			rec.expired = true
			r.touch(rec)
		}
	}
}

// touch must be called with the lock held.
func (r *Registry) touch(rec *record) {
	r.change++
	rec.change = r.change
	close(r.notify)
	r.notify = make(chan struct{})
}

// View is an endpoint as a watcher sees it.
type View struct {
	Endpoint Endpoint `msgpack:"e"`
	// Expired is set when the endpoint has been silent for its lease.
	Expired bool `msgpack:"x,omitempty"`
}

// Since returns the endpoints that changed after a change number, the newest
// number, and a channel that is closed by the next change.
func (r *Registry) Since(change uint64) ([]View, uint64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []View
	if change < r.change {
		for _, rec := range r.records {
			if rec.change > change {
				list = append(list, View{rec.endpoint, rec.expired})
			}
		}
	}
	return list, r.change, r.notify
}

// Own returns the announcements that arrived here within a time.
func (r *Registry) Own(now time.Time, within time.Duration) []Sighting {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Sighting
	for _, rec := range r.records {
		if age := now.Sub(rec.seen); rec.own && age <= within {
			list = append(list, Sighting{rec.endpoint, age.Milliseconds()})
		}
	}
	return list
}

// Sighting is an announcement that a replica passes on.
type Sighting struct {
	Endpoint Endpoint `msgpack:"e"`
	// AgeMS is the time since the announcement arrived, in milliseconds.
	AgeMS int64 `msgpack:"a"`
}

// Live returns the endpoints that are neither gone nor expired.
func (r *Registry) Live() []Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Endpoint, 0, len(r.records))
	for _, rec := range r.records {
		if rec.endpoint.State != Gone && !rec.expired {
			list = append(list, rec.endpoint)
		}
	}
	return list
}
