package member

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// shardCount is the number of shards of the endpoints, each with its own lock.
	shardCount = 16
	// tombstoneTTL is how long the tombstone of a removed endpoint is kept, so that
	// a delayed message cannot bring the endpoint back. It exceeds the longest lease in use
	// plus the anti-entropy cycle of a whole domain (31 daemons, 5 s each).
	tombstoneTTL = 5 * time.Minute
	// expiredTTL is the time for which the tombstone is kept if the lease ended
	// while the endpoint was not leaving. Such an endpoint may come back through
	// another daemon, whose stamps can start lower if the endpoint does not number
	// its load reports.
	expiredTTL = 30 * time.Second
)

// Registry holds the endpoints that this daemon knows. It is safe for
// concurrent use. Lock order: shard, then hosting, then group.
type Registry struct {
	shards  [shardCount]shard
	groups  groups
	hosting hosting
}

type shard struct {
	mu        sync.Mutex
	endpoints map[string]*Endpoint
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	r.groups.init()
	r.hosting.init()
	for i := range r.shards {
		r.shards[i].endpoints = make(map[string]*Endpoint)
	}
	return r
}

func (r *Registry) shard(id string) *shard {
	return &r.shards[xxhash.Sum64String(id)%shardCount]
}

// Announce registers an endpoint that announced itself to this daemon, or
// renews its lease. It reports false for a message of an old or withdrawn
// incarnation, which changes nothing.
func (r *Registry) Announce(a endpoint.Announcement, now time.Time) bool {
	s := r.shard(a.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.endpoints[a.ID]
	next := fromAnnouncement(a, now)
	if known != nil {
		if known.Incarnation > a.Incarnation || (known.Incarnation == a.Incarnation && known.Removed == Withdrawn) {
			return false
		}
		departureDue := !known.LeaveBy.IsZero() && now.After(known.LeaveBy)
		if departureDue && known.Incarnation == a.Incarnation && known.Removed == Expired {
			// The endpoint was removed at its departure deadline. Adding it again would
			// send a change to all daemons with every announcement.
			return true
		}
		if r.hosts(known) && known.Incarnation == a.Incarnation && known.Removed == NotRemoved && a.Load.Seq < known.Load.Seq {
			// A delayed report of the same incarnation changes nothing, but it renews the lease.
			next.Announcement = known.Announcement
			next.LoadAt = known.LoadAt
			next.LeaveBy = known.LeaveBy
		}
		if known.Incarnation == a.Incarnation {
			next.Stamp = known.Stamp
		}
	}
	next.Stamp++
	// The endpoint's own sequence number orders its announcements to different
	// daemons, even if this daemon does not know the earlier ones.
	if seq := uint32(a.Load.Seq); int32(seq-next.Stamp) > 0 {
		next.Stamp = seq
	}
	preserveLeaving(next, known)
	r.hosting.adopt(next, known)
	r.store(s, known, next)
	return true
}

func (r *Registry) hosts(e *Endpoint) bool { return e.Host == r.hosting.self() }

// Withdraw marks an endpoint as leaving, or removes it when it has stopped. It
// reports false for a message of an old incarnation or of a removed endpoint.
// For an unknown endpoint it stores a tombstone, through which the departure also
// reaches the daemons that know the endpoint.
func (r *Registry) Withdraw(w endpoint.Withdrawal) bool {
	s := r.shard(w.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.endpoints[w.ID]
	if known != nil && (known.Incarnation > w.Incarnation || known.Removed == Withdrawn) {
		return false
	}
	next := Endpoint{Announcement: endpoint.Announcement{ID: w.ID}, Removed: Expired}
	if known != nil {
		next = *known
		next.Stamp++
	}
	next.Incarnation = w.Incarnation
	next.State = endpoint.StateLeaving
	if w.DeadlineMS <= 0 {
		next.Removed = Withdrawn
	} else {
		// Expire turns the duration into a local time.
		next.DeadlineMS = w.DeadlineMS
		next.LeaveBy = time.Time{}
	}
	r.hosting.adopt(&next, known)
	r.store(s, known, &next)
	return true
}

// Merge applies a record of another daemon. It reports whether anything changed.
func (r *Registry) Merge(record *Record, now time.Time) bool {
	if record.Announcement.ID == "" {
		return false
	}
	s := r.shard(record.Announcement.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.endpoints[record.Announcement.ID]
	next := fromRecord(record, now)
	if known == nil {
		r.store(s, nil, next)
		return true
	}
	if supersedes(next, known) {
		preserveLeaving(next, known)
		r.hosting.release(known, next)
		r.store(s, known, next)
		return true
	}
	if next.Incarnation == known.Incarnation && next.State == endpoint.StateLeaving && known.State != endpoint.StateLeaving {
		merged := *known
		preserveLeaving(&merged, next)
		if r.hosts(known) && known.Removed == NotRemoved {
			merged.Stamp++
			r.hosting.adopt(&merged, known)
		}
		r.store(s, known, &merged)
		return true
	}
	return false
}

// store publishes a record. The caller holds the lock of the shard.
func (r *Registry) store(s *shard, known, next *Endpoint) {
	s.endpoints[next.ID] = next
	old, visible := known, next
	if known != nil && known.Removed != NotRemoved {
		old = nil
	}
	if next.Removed != NotRemoved {
		visible = nil
	}
	if old != nil || visible != nil {
		r.groups.replace(old, visible)
	}
}

// Expire removes endpoints whose lease or departure deadline ended, and returns
// their IDs.
func (r *Registry) Expire(now time.Time) []string {
	var expired []string
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for id, e := range s.endpoints {
			if r.expireOne(s, e, now) {
				expired = append(expired, id)
			}
		}
		s.mu.Unlock()
	}
	return expired
}

func (r *Registry) expireOne(s *shard, e *Endpoint, now time.Time) bool {
	if e.Removed != NotRemoved {
		if e.removedAt.IsZero() {
			e.removedAt = now
		}
		ttl := tombstoneTTL
		if e.Removed == Expired && e.State != endpoint.StateLeaving {
			ttl = expiredTTL
		}
		if now.Sub(e.removedAt) > ttl {
			delete(s.endpoints, e.ID)
		}
		return false
	}
	if e.State == endpoint.StateLeaving && e.LeaveBy.IsZero() && e.DeadlineMS > 0 {
		updated := *e
		updated.LeaveBy = now.Add(time.Duration(e.DeadlineMS) * time.Millisecond)
		r.store(s, e, &updated)
		e = &updated
	}
	departed := !e.LeaveBy.IsZero() && now.After(e.LeaveBy)
	if !departed && !now.After(r.leaseEnd(e)) {
		return false
	}
	next := *e
	next.Removed = Expired
	next.removedAt = now
	if r.hosts(e) {
		next.Stamp++
		r.hosting.adopt(&next, e)
	}
	r.store(s, e, &next)
	return true
}

// leaseEnd returns when the lease of an endpoint ends. A host reports the removal
// of its endpoints, so their leases at other daemons count from the last time the
// host was known to be alive.
func (r *Registry) leaseEnd(e *Endpoint) time.Time {
	if r.hosts(e) {
		return e.Expires
	}
	lastHeard := r.hosting.lastHeard(e.Host)
	lease := time.Duration(e.LeaseMS) * time.Millisecond
	if end := lastHeard.Add(lease); end.After(e.Expires) {
		return end
	}
	return e.Expires
}

// List returns all endpoints in unspecified order. The slice and its entries are
// shared and read-only. The call allocates only after a change.
func (r *Registry) List() []*Endpoint { return r.groups.all.read() }

// Candidates returns the endpoints that have a model loaded. The rules of List
// apply to the result.
func (r *Registry) Candidates(model string) []*Endpoint { return r.groups.read(groupKey{model: model}) }

// Service returns the endpoints of a plain service. The rules of List apply to
// the result.
func (r *Registry) Service(name string) []*Endpoint { return r.groups.read(groupKey{service: name}) }

// Find returns an endpoint by its ID, or nil.
func (r *Registry) Find(id string) *Endpoint {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.endpoints[id]; e != nil && e.Removed == NotRemoved {
		return e
	}
	return nil
}
