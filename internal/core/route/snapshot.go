package route

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// stragglerFactor is how much slower than the median of its class an endpoint
// must be, between tokens or in prefill, to count as a straggler.
const stragglerFactor = 1.5

// Snapshot is an immutable list of candidates, prepared for many decisions.
// It is rebuilt when the registry changes, and at least with each load report.
type Snapshot struct {
	entries []entry
	// config is the configuration that prices and priors come from.
	config *config
	// pools is replaced as a whole, so that reads take no lock.
	mu    sync.Mutex
	pools atomic.Pointer[map[poolKey]*pool]
	// numbers gives each failure domain a number.
	numbers map[string]int32
}

// entry is a candidate with what is computed once per snapshot.
type entry struct {
	*Candidate
	state *state
	base  counts
	// The figures of the candidate that each decision reads stand here, so
	// that a scan touches less memory.
	slots, running, waitingTokens, peerInFlight int64
	loadAt                                      int64
	expiresAt                                   int64
	price                                       float64
	straggler                                   bool
	// domain numbers the failure domain within the snapshot.
	domain int32
}

// poolKey names the requests that the same candidates can serve.
type poolKey struct {
	model, version, adapter string
	role                    endpoint.Role
}

// pool lists the entries that pass the static filters, ordered by failure domain.
type pool struct {
	entries    []*entry
	domains    map[string][2]int
	stragglers []int32
}

// Snapshot prepares candidates for decisions. The candidates must not change after.
func (r *Router) Snapshot(candidates []*Candidate) *Snapshot {
	cfg := r.config.Load()
	s := &Snapshot{entries: make([]entry, len(candidates)), config: cfg}
	s.pools.Store(&map[poolKey]*pool{})
	for i, c := range candidates {
		st := r.endpoint(c, cfg)
		st.reported.Store(int64(c.Load.Running))
		s.entries[i] = entry{
			Candidate: c, state: st, base: st.at(c.LoadAt), price: cfg.price(c), slots: int64(c.Slots),
			running: int64(c.Load.Running + c.Load.Waiting), waitingTokens: int64(c.Load.WaitingTokens),
			peerInFlight: int64(c.PeerInFlight),
		}
		if !c.LoadAt.IsZero() {
			s.entries[i].loadAt = c.LoadAt.UnixNano()
		}
		if !c.Expires.IsZero() {
			s.entries[i].expiresAt = c.Expires.UnixNano()
		}
	}
	slices.SortStableFunc(s.entries, func(a, b entry) int {
		if n := strings.Compare(a.FailureDomain, b.FailureDomain); n != 0 {
			return n
		}
		return strings.Compare(a.ID, b.ID)
	})
	s.numberDomains()
	s.markStragglers()
	return s
}

func (s *Snapshot) numberDomains() {
	s.numbers = make(map[string]int32)
	for i := range s.entries {
		e := &s.entries[i]
		number, known := s.numbers[e.FailureDomain]
		if !known {
			number = int32(len(s.numbers))
			s.numbers[e.FailureDomain] = number
		}
		e.domain = number
	}
}

// domain returns the number of a failure domain: -1 for the empty name, which
// treats all alike, and an unused number for a domain without endpoints.
func (s *Snapshot) domain(name string) int32 {
	if name == "" {
		return -1
	}
	if number, known := s.numbers[name]; known {
		return number
	}
	return int32(len(s.numbers))
}

// markStragglers compares each endpoint with the median of its class.
func (s *Snapshot) markStragglers() {
	classes := make(map[string][]*entry)
	for i := range s.entries {
		classes[s.entries[i].Class] = append(classes[s.entries[i].Class], &s.entries[i])
	}
	for _, list := range classes {
		prefill := make([]float64, 0, len(list))
		between := make([]float64, 0, len(list))
		for _, e := range list {
			speed := e.state.learner.speed()
			prefill = append(prefill, speed.PrefillS)
			between = append(between, speed.Between(max(e.Slots/2, 1)))
		}
		p, b := median(prefill), median(between)
		for _, e := range list {
			speed := e.state.learner.speed()
			e.straggler = speed.PrefillS > stragglerFactor*p || speed.Between(max(e.Slots/2, 1)) > stragglerFactor*b
		}
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// pool returns the candidates for a kind of request. The first request of a
// kind computes them.
func (s *Snapshot) pool(key poolKey) *pool {
	p := (*s.pools.Load())[key]
	if p != nil {
		return p
	}
	p = &pool{domains: make(map[string][2]int)}
	for i := range s.entries {
		e := &s.entries[i]
		if !static(key, e.Candidate) {
			continue
		}
		at := len(p.entries)
		bounds, known := p.domains[e.FailureDomain]
		if !known {
			bounds[0] = at
		}
		p.domains[e.FailureDomain] = [2]int{bounds[0], at + 1}
		if e.straggler {
			p.stragglers = append(p.stragglers, int32(at))
		}
		p.entries = append(p.entries, e)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := *s.pools.Load(); len(known) < maxPools {
		next := maps.Clone(known)
		next[key] = p
		s.pools.Store(&next)
	}
	return p
}

// maxPools bounds the cached kinds; callers could name any version or adapter.
const maxPools = 256

// view fills v with the present state of the entry.
func (e *entry) view(v *View, ctx *Input) {
	s := e.state
	v.Candidate, v.state, v.expiresAt, v.Price = e.Candidate, s, e.expiresAt, e.price
	v.Slots = int(e.slots)
	v.Speed = s.learner.speed()
	v.Remote = ctx.domain >= 0 && e.domain != ctx.domain
	now := s.counts()
	known := now.started - now.done + max(s.peerInFlight.Load(), e.peerInFlight)
	changed := (now.started - e.base.started) - (now.done - e.base.done)
	v.Queue = int(max(known, e.running+changed, 0))
	v.WaitTokens = e.waitTokens(ctx, &now, &v.Speed)
	v.CachedTokens = 0
}

// waitTokens estimates the prefill work ahead: the reported work less what was
// done since, and what was sent since. It is at least what this entry and its
// peers know to be waiting.
func (e *entry) waitTokens(ctx *Input, now *counts, speed *Speed) int {
	waiting := 0.0
	if e.waitingTokens > 0 {
		age := float64(ctx.nowNano-e.loadAt) / float64(time.Second)
		waiting = max(float64(e.waitingTokens)-age/speed.PrefillS, 0)
	}
	sent := (now.startedTokens - e.base.startedTokens) - (now.donePrefill - e.base.donePrefill)
	waiting += float64(max(sent, 0))
	return int(max(waiting, float64(now.startedTokens-now.donePrefill+e.state.peerPending.Load())))
}
