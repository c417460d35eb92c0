package entry

import (
	"context"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/failover"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// endpointProbes connects to silent endpoints, at most once in minProbeInterval to each.
type endpointProbes struct {
	entry *Entry

	mu   sync.Mutex
	last map[string]*silenceProbe
}

// silenceProbe is a probe of an endpoint; done is closed when it has ended.
type silenceProbe struct {
	at      time.Time
	done    chan struct{}
	outcome failover.Probe
}

func newEndpointProbes(e *Entry) *endpointProbes {
	return &endpointProbes{entry: e, last: make(map[string]*silenceProbe)}
}

// probe returns the outcome of a connection to an endpoint, which it shares with other callers.
func (p *endpointProbes) probe(endpoint *registry.Endpoint) failover.Probe {
	now := time.Now()
	p.mu.Lock()
	probe := p.last[endpoint.Address]
	if probe != nil && now.Sub(probe.at) < minProbeInterval {
		p.mu.Unlock()
		<-probe.done
		return probe.outcome
	}
	probe = &silenceProbe{at: now, done: make(chan struct{})}
	p.last[endpoint.Address] = probe
	p.mu.Unlock()
	defer close(probe.done)
	ctx, cancel := context.WithTimeout(p.entry.ctx, probeTimeout)
	defer cancel()
	probe.outcome = failover.Accepted
	if err := p.entry.client.Probe(ctx, endpoint.Address); err != nil {
		probe.outcome = failover.Failed
	}
	return probe.outcome
}

// expire forgets probes that are no longer shared.
func (p *endpointProbes) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, probe := range p.last {
		if now.Sub(probe.at) > minProbeInterval {
			delete(p.last, address)
		}
	}
}
