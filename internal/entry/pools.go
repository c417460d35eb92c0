package entry

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/admit"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/limit"
)

const (
	// shareLease is how long a peer that sends no reports keeps its share of
	// the limits. It exceeds the longest exchange interval. The demand of a
	// peer that membership considers dead is released at once.
	shareLease = 90 * time.Second
	// remoteIdleTimeout is how long a model is still looked up in other failure
	// domains after it last needed their capacity.
	remoteIdleTimeout = 10 * time.Second
	// remoteDivisorFactor reduces the share of the free slots of another
	// failure domain beyond the division by the number of daemons that may use
	// them: the entries of that domain do not know about the demand of this
	// entry, and the reported numbers are seconds old. A fixed quarter for each
	// daemon, whatever their number, let eight daemons queue 2.5 times the
	// number of slots at the engines.
	remoteDivisorFactor = 2
	// spillThreshold is the utilization of this entry's capacity from which
	// other failure domains are asked for endpoints.
	spillThreshold = 0.8
)

// pools holds the admission pools. Models that share an endpoint share a pool,
// because a slot of that endpoint can serve any of them.
type pools struct {
	service *Service
	shares  *limit.Shares

	mu     sync.Mutex
	byKey  map[string]*modelPool
	doc    *conf.Document
	target limit.Target
}

// modelPool is the admission of a group of models that share endpoints.
type modelPool struct {
	key      string
	admitter *admit.Admitter

	// The fields below are guarded by the lock of pools.

	// ownCapacity is the capacity of this entry when it was last computed.
	ownCapacity int
	// remoteNeededAt is when the pool last needed other failure domains.
	remoteNeededAt time.Time
	// lastUsed holds the time of the last request for each model.
	lastUsed map[string]time.Time
}

func newPools(s *Service) *pools {
	return &pools{service: s, shares: limit.NewShares(s.options.Name, shareLease), byKey: make(map[string]*modelPool), doc: &conf.Document{}}
}

func (p *pools) configure(doc *conf.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doc = doc
	p.target = tightestTarget(doc)
	for _, pool := range p.byKey {
		pool.admitter.Configure(doc)
	}
}

// tightestTarget returns the target of the rank with the shortest time per
// token.
func tightestTarget(doc *conf.Document) limit.Target {
	var target limit.Target
	for i := range doc.Ranks {
		perToken := time.Duration(doc.Ranks[i].PerTokenMS) * time.Millisecond
		if target.PerToken == 0 || perToken < target.PerToken {
			target = limit.Target{PerToken: perToken, FirstToken: time.Duration(doc.Ranks[i].FirstTokenMS) * time.Millisecond}
		}
	}
	return target
}

func (p *pools) setTarget(state *endpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state.limiter.SetTarget(p.target)
}

// get returns the pool of a model and creates it if necessary.
func (p *pools) get(model string, now time.Time) *modelPool {
	key := p.service.directory.modelGroup(model)
	p.mu.Lock()
	pool := p.byKey[key]
	if pool == nil {
		pool = &modelPool{key: key, admitter: admit.New(p.doc), lastUsed: make(map[string]time.Time)}
		p.byKey[key] = pool
	}
	pool.lastUsed[model] = now
	unsized := pool.ownCapacity == 0
	p.mu.Unlock()
	if unsized {
		p.updateCapacity(pool, p.service.directory.readyCapacities(), now)
	}
	return pool
}

func (p *pools) list() []*modelPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*modelPool, 0, len(p.byKey))
	for _, pool := range p.byKey {
		list = append(list, pool)
	}
	return list
}

// maintain updates the capacities and refuses requests that can no longer start
// in time.
func (p *pools) maintain(now time.Time) {
	p.shares.Expire(now)
	capacities := p.service.directory.readyCapacities()
	p.reportDemand(capacities)
	for _, pool := range p.list() {
		p.updateCapacity(pool, capacities, now)
		pool.admitter.Tick(now)
	}
}

// reportDemand reports to the limit shares how many slots this entry wants at
// each endpoint.
func (p *pools) reportDemand(capacities []endpointCapacity) {
	waiting := make(map[string]int)
	for _, pool := range p.list() {
		_, waits := pool.admitter.Load()
		waiting[p.service.directory.modelGroup(pool.key)] += waits
	}
	var reports []limit.EndpointReport
	for _, capacity := range capacities {
		wanted := p.service.router.InFlight(capacity.id) + waiting[capacity.group]
		if wanted > 0 && !capacity.remote {
			reports = append(reports, limit.EndpointReport{Endpoint: capacity.id, Wanted: wanted, Limit: capacity.limit, Samples: 1})
		}
	}
	p.shares.SetOwn(reports)
}

// updateCapacity computes the capacity of a pool from this entry's shares of
// the endpoints.
//
// The group is looked up anew each time: a pool may have been created before
// the endpoints of its model were known, or before its models came to share
// endpoints.
func (p *pools) updateCapacity(pool *modelPool, capacities []endpointCapacity, now time.Time) {
	own, domain := 0, 0
	divisor := p.remoteDivisor(now)
	group := p.service.directory.modelGroup(pool.key)
	for _, capacity := range capacities {
		switch {
		case capacity.group != group:
		case capacity.remote:
			own += capacity.freeSlots / divisor
		default:
			domain += capacity.limit
			own += p.shares.Share(capacity.id, capacity.limit)
		}
	}
	running, waiting := pool.admitter.Load()
	p.mu.Lock()
	pool.ownCapacity = own
	if waiting > 0 || float64(running) >= spillThreshold*float64(own) {
		pool.remoteNeededAt = now
	}
	p.mu.Unlock()
	pool.admitter.SetCapacity(own, max(domain, own), now)
}

// remoteDivisor returns the number by which the free slots of another failure
// domain are divided. It assumes that each failure domain has as many daemons
// as this one.
func (p *pools) remoteDivisor(now time.Time) int {
	cluster := p.service.options.Cluster
	return remoteDivisorFactor * (len(cluster.Domains(now)) + 1) * (len(cluster.Peers()) + 1)
}

// remoteModels returns the models that currently need endpoints of other
// failure domains.
func (p *pools) remoteModels(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var models []string
	for _, pool := range p.byKey {
		if now.Sub(pool.remoteNeededAt) > remoteIdleTimeout {
			continue
		}
		for model, at := range pool.lastUsed {
			if now.Sub(at) <= remoteIdleTimeout {
				models = append(models, model)
			}
		}
	}
	return models
}
