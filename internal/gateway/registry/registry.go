// Package registry merges the announcements of endpoints. Announcements may arrive
// late, out of order and at several replicas; merging them in any order gives the
// same result. The package does no I/O.
package registry

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/changes"
)

// State is the state of an endpoint.
type State uint8

// States, in the order in which an incarnation goes through them.
const (
	Ready State = iota + 1
	Draining
	Gone
)

// Endpoint is the announced description of one endpoint.
type Endpoint struct {
	ID      string `msgpack:"i"`
	Service string `msgpack:"s"`
	// Address is IP:port.
	Address string `msgpack:"a"`
	Domain  string `msgpack:"d"`
	Slots   int    `msgpack:"n"`
	State   State  `msgpack:"t"`
	// Born is the start time in Unix milliseconds. It distinguishes incarnations
	// with the same ID.
	Born int64 `msgpack:"b"`
	// Seq orders the announcements of one incarnation.
	Seq uint64 `msgpack:"q"`
	// Reclaimable is set if the VM of the endpoint may be reclaimed at short notice.
	Reclaimable bool `msgpack:"r,omitempty"`
	// SoftwareVersion is the version of the program of this incarnation; empty if it is
	// not announced. What two versions write into a stream does not fit together.
	SoftwareVersion string `msgpack:"v,omitempty"`
	// TimeLeftMS is the time that a draining endpoint had left when it sent the
	// announcement, in milliseconds; 0 means unknown.
	TimeLeftMS int64 `msgpack:"l,omitempty"`
}

// supersedes reports whether e is newer than old. Within an incarnation a later
// state takes precedence over a higher sequence number, because an announcement
// that was sent before the endpoint began to drain may arrive after the one
// that it drains.
func (e *Endpoint) supersedes(old *Endpoint) bool {
	if e.Born != old.Born {
		return e.Born > old.Born
	}
	if e.State != old.State {
		return e.State > old.State
	}
	return e.Seq > old.Seq
}

// isEquivalent reports whether two announcements differ at most in the sequence
// number and in the time left, which shrinks with every announcement. That an endpoint leaves
// earlier than watchers know is found by record.leavesEarlier.
func (e *Endpoint) isEquivalent(old *Endpoint) bool {
	a, b := *e, *old
	a.Seq, b.Seq = 0, 0
	if a.TimeLeftMS > 0 && b.TimeLeftMS > 0 {
		a.TimeLeftMS = b.TimeLeftMS
	}
	return a == b
}

// record is the stored state of an endpoint.
type record struct {
	endpoint Endpoint
	// seenAt is when the last announcement or withdrawal arrived, at this or
	// another replica.
	seenAt time.Time
	// local is set if the last announcement arrived here and not at another replica.
	local bool
	// leavesAt is when the endpoint shuts down, as watchers know; zero if they do not.
	leavesAt time.Time
	// version is the registry version at which watchers last saw this record
	// change.
	version uint64
	expired bool
}

// visibleAdvance is by how much earlier an endpoint must announce to leave for watchers to be told:
// announcements take some time to arrive.
const visibleAdvance = 250 * time.Millisecond

// endOf returns when an endpoint shuts down whose announcement arrives at a time; zero if that is
// not known.
func endOf(e *Endpoint, arrivedAt time.Time) time.Time {
	if e.TimeLeftMS <= 0 {
		return time.Time{}
	}
	return arrivedAt.Add(time.Duration(e.TimeLeftMS) * time.Millisecond)
}

// leavesEarlier reports whether an announcement says that the endpoint leaves clearly earlier than
// watchers know.
func (rec *record) leavesEarlier(e *Endpoint, arrivedAt time.Time) bool {
	end := endOf(e, arrivedAt)
	return !end.IsZero() && !rec.leavesAt.IsZero() && end.Before(rec.leavesAt.Add(-visibleAdvance))
}

// tombstoneTTL is how long a withdrawn endpoint stays in the registry. A partition
// may delay announcements for this long, and they must not revive the endpoint.
const tombstoneTTL = 2 * time.Minute

// Registry holds the soft state of all endpoints: it is rebuilt from announcements
// and not replicated by the log. It is safe for concurrent use.
type Registry struct {
	lease time.Duration

	mu      sync.Mutex
	records map[string]*record
	history versionHistory
	version uint64
	notify  chan struct{}
}

// New returns an empty registry. An endpoint expires when no announcement has
// arrived for the duration of the lease.
func New(lease time.Duration) *Registry {
	return &Registry{lease: lease, records: make(map[string]*record), history: make(versionHistory), notify: make(chan struct{})}
}

// Announce merges an announcement that arrived at this replica. It reports whether
// watchers see a change.
func (r *Registry) Announce(e Endpoint, now time.Time) bool { return r.merge(e, now, true) }

// Merge merges an announcement that another replica received at the given time. It
// reports whether watchers see a change.
func (r *Registry) Merge(e Endpoint, arrivedAt time.Time) bool { return r.merge(e, arrivedAt, false) }

func (r *Registry) merge(e Endpoint, arrivedAt time.Time, local bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[e.ID]
	if old == nil {
		if e.State == Gone {
			r.history.note(&e, arrivedAt)
		}
		r.records[e.ID] = &record{endpoint: e, seenAt: arrivedAt, local: local, leavesAt: endOf(&e, arrivedAt)}
		r.markChanged(r.records[e.ID])
		return true
	}
	if !e.supersedes(&old.endpoint) {
		old.refresh(&e, arrivedAt, local)
		return false
	}
	if e.SoftwareVersion != old.endpoint.SoftwareVersion || e.State == Gone {
		r.history.note(&old.endpoint, arrivedAt)
	}
	visible := old.expired || !e.isEquivalent(&old.endpoint) || old.leavesEarlier(&e, arrivedAt)
	old.endpoint = e
	old.seenAt = arrivedAt
	old.local = local
	old.expired = false
	if visible {
		old.leavesAt = endOf(&e, arrivedAt)
		r.markChanged(old)
	}
	return visible
}

// refresh notes that a draining endpoint is alive, although its announcements still say
// that it is ready: it may have said that it leaves in an answer only. The replica at which they
// arrive shares the record, since another one may have missed that the endpoint drains.
func (rec *record) refresh(e *Endpoint, arrivedAt time.Time, local bool) {
	if e.Born == rec.endpoint.Born && rec.endpoint.State == Draining && !rec.expired && arrivedAt.After(rec.seenAt) {
		rec.seenAt = arrivedAt
		rec.local = rec.local || local
	}
}

// Withdraw marks the current incarnation of an endpoint as gone and returns the
// announcement to forward to other replicas. For an unknown ID it stores a
// tombstone with the given start time.
func (r *Registry) Withdraw(id string, born int64, now time.Time) Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.records[id]
	if old == nil {
		old = &record{endpoint: Endpoint{ID: id, Born: born}}
		r.records[id] = old
	}
	if old.endpoint.State != Gone {
		r.history.note(&old.endpoint, now)
		old.endpoint.State = Gone
		old.seenAt = now
		r.markChanged(old)
	}
	return old.endpoint
}

// Expire marks endpoints whose lease has ended as expired, and drops old records
// and tombstones.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.records {
		silent := now.Sub(rec.seenAt)
		switch {
		case silent > tombstoneTTL:
			delete(r.records, id)
		case silent > r.lease && !rec.expired && rec.endpoint.State != Gone:
			rec.expired = true
			r.history.note(&rec.endpoint, now)
			r.markChanged(rec)
		}
	}
}

// markChanged assigns the next version to a record and wakes the watchers. The
// lock must be held.
func (r *Registry) markChanged(rec *record) {
	r.version++
	rec.version = r.version
	close(r.notify)
	r.notify = make(chan struct{})
}

// View is an endpoint as watchers see it.
type View struct {
	Endpoint Endpoint `msgpack:"e"`
	// Expired is set if no announcement has arrived for the duration of the lease.
	Expired bool `msgpack:"x,omitempty"`
}

// Update holds the endpoints that changed after a version of the registry.
type Update struct {
	Views []View
	// Version is the version that Views reaches.
	Version uint64
	// More is set if further endpoints changed after Version.
	More bool
}

// Since returns the endpoints that changed after a version of the registry, those that
// changed first if there are more than limit, and a channel that is closed at the next
// change.
func (r *Registry) Since(version uint64, limit int) (Update, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version >= r.version {
		return Update{Version: r.version}, r.notify
	}
	var changed []changes.Change[View]
	for _, rec := range r.records {
		if rec.version > version {
			changed = append(changed, changes.Change[View]{Version: rec.version, Value: View{rec.endpoint, rec.expired}})
		}
	}
	views, reached := changes.Oldest(changed, limit, r.version)
	return Update{Views: views, Version: reached, More: reached < r.version}, r.notify
}

// PastVersions returns the software versions of endpoints that left or were replaced
// lately.
func (r *Registry) PastVersions(now time.Time) []ServiceVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.recent(now)
}

// RecentLocal returns the announcements that arrived at this replica within the
// given time before now.
func (r *Registry) RecentLocal(now time.Time, within time.Duration) []ReceivedAnnouncement {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []ReceivedAnnouncement
	for _, rec := range r.records {
		if age := now.Sub(rec.seenAt); rec.local && age <= within {
			list = append(list, ReceivedAnnouncement{rec.endpoint, age.Milliseconds()})
		}
	}
	return list
}

// ReceivedAnnouncement is an announcement that a replica forwards to other replicas.
type ReceivedAnnouncement struct {
	Endpoint Endpoint `msgpack:"e"`
	// AgeMS is the time since the announcement arrived at the sender, in
	// milliseconds.
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
