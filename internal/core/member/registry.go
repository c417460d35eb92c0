package member

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Endpoint is an entry of the registry.
type Endpoint struct {
	endpoint.Announcement
	// LoadAt is the local time at which the load figures were true.
	LoadAt time.Time
	// Expires is the local time at which the lease ends without renewal.
	Expires time.Time
}

// Registry holds the announced endpoints. It is safe for concurrent use.
type Registry struct {
	mu        sync.RWMutex
	endpoints map[string]*Endpoint
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{endpoints: make(map[string]*Endpoint)}
}

// Announce registers an endpoint or renews its lease. It reports false for a
// message of an old incarnation, which changes nothing.
func (r *Registry) Announce(a endpoint.Announcement, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.endpoints[a.ID]; known != nil && known.Incarnation > a.Incarnation {
		return false
	}
	r.endpoints[a.ID] = &Endpoint{
		Announcement: a,
		LoadAt:       now.Add(-time.Duration(a.Load.AgeMS) * time.Millisecond),
		Expires:      now.Add(time.Duration(a.LeaseMS) * time.Millisecond),
	}
	return true
}

// Withdraw marks an endpoint as leaving, or removes it when it has stopped.
func (r *Registry) Withdraw(w endpoint.Withdrawal) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.endpoints[w.ID]
	if known == nil || known.Incarnation > w.Incarnation {
		return false
	}
	if w.DeadlineMS <= 0 {
		delete(r.endpoints, w.ID)
		return true
	}
	leaving := *known
	leaving.State = endpoint.StateLeaving
	leaving.DeadlineMS = w.DeadlineMS
	r.endpoints[w.ID] = &leaving
	return true
}

// Expire removes endpoints whose lease ended and returns their IDs.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id, e := range r.endpoints {
		if now.After(e.Expires) {
			delete(r.endpoints, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// List returns all endpoints. The entries are read-only.
func (r *Registry) List() []*Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]*Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		list = append(list, e)
	}
	return list
}
