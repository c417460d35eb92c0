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

// updateState returns the state of a candidate and creates it if needed. The
// speed estimate is reset to that of the class when the incarnation or the class
// changes. The counters are kept, because attempts at the previous incarnation
// may still end.
func (r *Router) updateState(c *Candidate, cfg *config) *state {
	shard := r.shard(c.ID)
	shard.mu.Lock()
	st := shard.states[c.ID]
	if st == nil {
		st = &state{key: uint32(xxhash.Sum64String(c.ID)), peers: make(map[string]peerReport)}
		st.prefixSlot.Store(-1)
		shard.states[c.ID] = st
	}
	shard.mu.Unlock()
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.incarnation != c.Incarnation || st.class != c.Class || st.learner.observations.Load() == 0 {
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
	st.prefixSlot.Store(r.prefix.slotOf(c.ID, c.Incarnation))
	return st
}

// SetBlocked excludes an endpoint from routing while its circuit breaker is open.
func (r *Router) SetBlocked(id string, blocked bool) {
	if st := r.lookup(id); st != nil {
		st.blocked.Store(blocked)
	}
}

// SetIsolated sets whether an endpoint is reserved for a suspect request that
// runs alone.
func (r *Router) SetIsolated(id string, isolated bool) {
	if st := r.lookup(id); st != nil {
		st.isolated.Store(isolated)
	}
}

// Isolate reserves an endpoint for a suspect request. It reports false if the
// endpoint is unknown or already reserved.
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

// Forget drops the state of an endpoint that left. Attempts that still run there
// may end after the call.
func (r *Router) Forget(id string) {
	shard := r.shard(id)
	shard.mu.Lock()
	delete(shard.states, id)
	shard.mu.Unlock()
	r.prefix.Forget(id)
}

// CacheEvents applies cache events of an endpoint. It reports whether events are
// missing, so that the endpoint must be asked for a complete list.
func (r *Router) CacheEvents(batch *endpoint.CacheEvents) (wantReset bool) {
	wantReset = r.prefix.Apply(batch)
	if st := r.lookup(batch.ID); st != nil {
		st.prefixSlot.Store(r.prefix.slotOf(batch.ID, batch.Incarnation))
	}
	return wantReset
}

// ObserveNewestCacheSeq takes the newest cache sequence number that an endpoint
// announced. It reports whether the endpoint must be asked for a complete list.
func (r *Router) ObserveNewestCacheSeq(id string, incarnation, newest uint64) bool {
	return r.prefix.ObserveNewest(id, incarnation, newest)
}
