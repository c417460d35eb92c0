package entry

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/admit"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/limit"
)

const (
	// shareLease is how long a silent peer keeps its part of the limits. It
	// exceeds the longest interval of exchange; the demand of a peer that
	// membership takes for dead returns at once.
	shareLease = 90 * time.Second
	// remoteIdle is how long a model is looked up in other failure domains
	// after it last needed that.
	remoteIdle = 10 * time.Second
	// remoteUse divides the free slots of another failure domain further than by
	// the daemons that may want them: its own entries do not know of this one,
	// and the figures are seconds old. A quarter without regard to the number of
	// daemons let eight of them queue 2.5 times the slots at the engines.
	remoteUse = 2
	// spillLoad is the use of the own capacity from which other failure domains are asked.
	spillLoad = 0.8
)

// pools hold the admission. Models that share an endpoint share a pool, since
// a slot there serves one or the other.
type pools struct {
	service *Service
	shares  *limit.Shares

	mu     sync.Mutex
	byKey  map[string]*pool
	doc    *conf.Document
	target limit.Target
}

// pool is the admission of the models that share endpoints.
type pool struct {
	key      string
	admitter *admit.Admitter

	// The fields below are guarded by the lock of pools.

	// own is the capacity of this entry when it was last computed.
	own int
	// remoteSince is when the pool last needed other failure domains.
	remoteSince time.Time
	// used holds the models asked for and when.
	used map[string]time.Time
}

func newPools(s *Service) *pools {
	return &pools{service: s, shares: limit.NewShares(s.options.Name, shareLease), byKey: make(map[string]*pool), doc: &conf.Document{}}
}

func (p *pools) configure(doc *conf.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.doc = doc
	p.target = tightestTarget(doc)
	for _, one := range p.byKey {
		one.admitter.Configure(doc)
	}
}

// tightestTarget returns the target of the most urgent rank.
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

// get returns the pool of a model.
func (p *pools) get(model string, now time.Time) *pool {
	key := p.service.directory.group(model)
	p.mu.Lock()
	one := p.byKey[key]
	if one == nil {
		one = &pool{key: key, admitter: admit.New(p.doc), used: make(map[string]time.Time)}
		p.byKey[key] = one
	}
	one.used[model] = now
	unsized := one.own == 0
	p.mu.Unlock()
	if unsized {
		p.size(one, p.service.directory.supplies(), now)
	}
	return one
}

func (p *pools) list() []*pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*pool, 0, len(p.byKey))
	for _, one := range p.byKey {
		list = append(list, one)
	}
	return list
}

// upkeep adapts capacities and refuses what can no longer start in time.
func (p *pools) upkeep(now time.Time) {
	p.shares.Expire(now)
	supplies := p.service.directory.supplies()
	p.report(supplies)
	for _, one := range p.list() {
		p.size(one, supplies, now)
		one.admitter.Tick(now)
	}
}

// report tells the shares what this entry wants of each endpoint.
func (p *pools) report(supplies []supply) {
	waiting := make(map[string]int)
	for _, one := range p.list() {
		_, waits := one.admitter.Load()
		waiting[p.service.directory.group(one.key)] += waits
	}
	var reports []limit.EndpointReport
	for _, offer := range supplies {
		wanted := p.service.router.InFlight(offer.id) + waiting[offer.group]
		if wanted > 0 && !offer.remote {
			reports = append(reports, limit.EndpointReport{Endpoint: offer.id, Wanted: wanted, Limit: offer.limit, Samples: 1})
		}
	}
	p.shares.SetOwn(reports)
}

// size computes the capacity of a pool from the shares of its endpoints.
//
// A pool that was made before its model's endpoints were known, or before
// models came to share endpoints, draws on the group that its model is in now.
func (p *pools) size(one *pool, supplies []supply, now time.Time) {
	own, domain := 0, 0
	divisor := p.remoteDivisor(now)
	group := p.service.directory.group(one.key)
	for _, offer := range supplies {
		switch {
		case offer.group != group:
		case offer.remote:
			own += offer.free / divisor
		default:
			domain += offer.limit
			own += p.shares.Share(offer.id, offer.limit)
		}
	}
	running, waiting := one.admitter.Load()
	p.mu.Lock()
	one.own = own
	if waiting > 0 || float64(running) >= spillLoad*float64(own) {
		one.remoteSince = now
	}
	p.mu.Unlock()
	one.admitter.SetCapacity(own, max(domain, own), now)
}

// remoteDivisor is among how many takers the free slots of another failure
// domain are divided: as many daemons as here in each of the domains.
func (p *pools) remoteDivisor(now time.Time) int {
	cluster := p.service.options.Cluster
	return remoteUse * (len(cluster.Domains(now)) + 1) * (len(cluster.Peers()) + 1)
}

// remoteModels returns the models for which endpoints of other failure
// domains are of use now.
func (p *pools) remoteModels(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var models []string
	for _, one := range p.byKey {
		if now.Sub(one.remoteSince) > remoteIdle {
			continue
		}
		for model, at := range one.used {
			if now.Sub(at) <= remoteIdle {
				models = append(models, model)
			}
		}
	}
	return models
}
