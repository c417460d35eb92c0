package route

import (
	"github.com/cespare/xxhash/v2"

	"github.com/boragelead/boragelead/api/endpoint"
)

func (r *Router) shard(id string) *stateShard {
	return &r.shards[xxhash.Sum64String(id)%stateShards]
}

func (r *Router) lookup(id string) *state {
	shard := r.shard(id)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.states[id]
}

// endpoint returns the state of a candidate. A new incarnation or class starts
// with the speed of its class; counters go on, since attempts of the old one
// may still end.
func (r *Router) endpoint(c *Candidate, cfg *config) *state {
	shard := r.shard(c.ID)
	shard.mu.Lock()
	st := shard.states[c.ID]
	if st == nil {
		st = &state{key: uint32(xxhash.Sum64String(c.ID)), peers: make(map[string]peerReport)}
		st.slot.Store(-1)
		shard.states[c.ID] = st
	}
	shard.mu.Unlock()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.incarnation != c.Incarnation || st.class != c.Class || st.learner.seen.Load() == 0 {
		prior, known := cfg.speeds[c.Class]
		if !known {
			prior = priorSpeed
		}
		fresh := st.incarnation != c.Incarnation || st.class != c.Class || st.prior != prior
		st.incarnation, st.class, st.prior = c.Incarnation, c.Class, prior
		if fresh {
			st.learner.reset(prior, c.Slots)
		}
	}
	st.slot.Store(r.prefix.slotOf(c.ID, c.Incarnation))
	return st
}

// SetBlocked takes an endpoint out of use while its circuit breaker is open.
func (r *Router) SetBlocked(id string, blocked bool) {
	if st := r.lookup(id); st != nil {
		st.blocked.Store(blocked)
	}
}

// SetIsolated reserves an endpoint for a suspect request that runs alone.
func (r *Router) SetIsolated(id string, isolated bool) {
	if st := r.lookup(id); st != nil {
		st.isolated.Store(isolated)
	}
}

// Isolate reserves an endpoint unless it is reserved already, and reports whether it did.
func (r *Router) Isolate(id string) bool {
	st := r.lookup(id)
	return st != nil && st.isolated.CompareAndSwap(false, true)
}

// InFlight returns the number of attempts of this entry at an endpoint.
func (r *Router) InFlight(id string) int {
	if st := r.lookup(id); st != nil {
		return int(st.inFlight())
	}
	return 0
}

// Speed returns the learned speed of an endpoint.
func (r *Router) Speed(id string) (Speed, bool) {
	st := r.lookup(id)
	if st == nil {
		return Speed{}, false
	}
	return st.learner.speed(), true
}

// Forget drops what is known of an endpoint that left. Attempts that still run there may end after.
func (r *Router) Forget(id string) {
	shard := r.shard(id)
	shard.mu.Lock()
	delete(shard.states, id)
	shard.mu.Unlock()
	r.prefix.Forget(id)
}

// CacheEvents takes cache events of an endpoint and reports whether it must be
// asked for a complete list.
func (r *Router) CacheEvents(batch *endpoint.CacheEvents) (wantReset bool) {
	wantReset = r.prefix.Apply(batch)
	if st := r.lookup(batch.ID); st != nil {
		st.slot.Store(r.prefix.slotOf(batch.ID, batch.Incarnation))
	}
	return wantReset
}

// CacheMissed takes the newest cache sequence number that an endpoint
// announced and reports whether it must be asked for a complete list.
func (r *Router) CacheMissed(id string, incarnation, newest uint64) bool {
	return r.prefix.Missed(id, incarnation, newest)
}
