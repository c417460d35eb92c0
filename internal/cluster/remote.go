package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/member"
)

// remoteTTL is how long fetched endpoints are cached. A leaving endpoint must not
// receive new work after a few seconds, so the TTL has to be shorter than that.
const remoteTTL = 2 * time.Second

// remoteCache caches endpoints of other failure domains.
type remoteCache struct {
	mu      sync.Mutex
	entries map[remoteKey]remoteEntry
}

type remoteKey struct{ domain, model, service string }

type remoteEntry struct {
	endpoints []*member.Endpoint
	expires   time.Time
}

func (r *remoteCache) get(key remoteKey, now time.Time) ([]*member.Endpoint, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.entries[key]
	return entry.endpoints, ok && now.Before(entry.expires)
}

func (r *remoteCache) put(key remoteKey, endpoints []*member.Endpoint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = make(map[remoteKey]remoteEntry)
	}
	for old, entry := range r.entries {
		if now.After(entry.expires) {
			delete(r.entries, old)
		}
	}
	r.entries[key] = remoteEntry{endpoints: endpoints, expires: now.Add(remoteTTL)}
}

// Fetch returns the endpoints of another failure domain that have a model loaded or,
// with service set, run a plain service. It queries the relays of the domain one after
// the other and caches the reply for remoteTTL. The caller must not modify the
// endpoints. The error is an *UnknownDomainError if no relay is known, or else that of
// the last call.
func (c *Cluster) Fetch(ctx context.Context, domain, model, service string) ([]*member.Endpoint, error) {
	key := remoteKey{domain, model, service}
	if found, ok := c.remoteEndpoints.get(key, time.Now()); ok {
		return found, nil
	}
	var err error = &UnknownDomainError{Domain: domain}
	for _, domainView := range c.node.Domains(time.Now()) {
		if domainView.Domain != domain {
			continue
		}
		for _, relay := range domainView.Relays {
			var reply []byte
			reply, err = c.options.RPC.Call(ctx, relay.Address, member.MethodFetch, member.FetchRequest(model, service))
			if err != nil {
				continue
			}
			now := time.Now()
			found, decodeErr := member.DecodeFetch(reply, now)
			if decodeErr != nil {
				return nil, decodeErr
			}
			c.remoteEndpoints.put(key, found, now)
			return found, nil
		}
	}
	return nil, err
}
