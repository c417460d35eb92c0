package route

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	stateShards = 32
	// maxScan bounds the candidates of one decision. Above it all endpoints of
	// the own failure domain and a random run of the others are scored;
	// docs/decisions.md gives the measured loss.
	maxScan = 512
	// indexBlocks bounds the prefix index, about 60 MB when full.
	indexBlocks = 1 << 18
)

// Router chooses endpoints. It is safe for concurrent use.
type Router struct {
	config  atomic.Pointer[config]
	filters []Filter
	scorers []Scorer
	picker  Picker
	prefix  *PrefixIndex
	scratch sync.Pool
	readers atomic.Int32
	shards  [stateShards]stateShard
}

type stateShard struct {
	mu     sync.RWMutex
	states map[string]*state
}

// config is what the router takes from the operators' document.
type config struct {
	routing conf.Routing
	ranks   []Rank
	speeds  map[string]Speed
	prices  map[string]map[string]conf.ClassPrice
	// dearest is the highest price per class. It stands for a domain without
	// prices, which must not look free.
	dearest map[string]conf.ClassPrice
}

// scratch is the working memory of one decision.
type scratch struct {
	ctx    Input
	view   View
	scored []Scored
	depth  []uint16
	// reader spreads the readers of the prefix index over its locks.
	reader int
}

// Option changes a router.
type Option func(*Router)

// WithPicker replaces the picker.
func WithPicker(p Picker) Option { return func(r *Router) { r.picker = p } }

// New returns a router with the standard filters, scorers and picker.
func New(options ...Option) *Router {
	r := &Router{
		filters: []Filter{leaseFilter{}, avoidFilter{}, breakerFilter{}, isolationFilter{}},
		scorers: []Scorer{FirstTokenScorer{}, DecodeScorer{}, PriceScorer{}, DomainScorer{}},
		picker:  NearEqualPicker{},
		prefix:  NewPrefixIndex(indexBlocks),
	}
	r.scratch.New = func() any {
		return &scratch{depth: make([]uint16, maxSlots), reader: int(r.readers.Add(1))}
	}
	for i := range r.shards {
		r.shards[i].states = make(map[string]*state)
	}
	for _, option := range options {
		option(r)
	}
	r.Configure(&conf.Document{})
	return r
}

// Configure takes a new generation of the document. Snapshots built before keep the old one.
func (r *Router) Configure(doc *conf.Document) {
	cfg := &config{
		routing: doc.Routing, speeds: map[string]Speed{},
		prices: map[string]map[string]conf.ClassPrice{}, dearest: map[string]conf.ClassPrice{},
	}
	for i := range doc.Fleet.Classes {
		c := &doc.Fleet.Classes[i]
		cfg.speeds[c.Name] = classSpeed(c.PrefillTokensPerS, c.DecodeTokensPerS, c.Slots)
	}
	for i := range doc.Fleet.Domains {
		d := &doc.Fleet.Domains[i]
		cfg.prices[d.FailureDomain] = map[string]conf.ClassPrice{}
		for _, price := range d.Classes {
			cfg.prices[d.FailureDomain][price.Class] = price
			dearest := cfg.dearest[price.Class]
			dearest.OnDemand = max(dearest.OnDemand, price.OnDemand)
			dearest.Reclaimable = max(dearest.Reclaimable, price.Reclaimable)
			cfg.dearest[price.Class] = dearest
		}
	}
	cfg.ranks = ranks(doc.Ranks)
	r.config.Store(cfg)
}

func ranks(list []conf.Rank) []Rank {
	tightest := 0
	for i := range list {
		if t := list[i].FirstTokenMS; t > 0 && (tightest == 0 || t < tightest) {
			tightest = t
		}
	}
	out := make([]Rank, 0, len(list))
	for i := range list {
		rank := defaultRank
		if t := list[i].FirstTokenMS; t > 0 {
			rank.FirstToken = float64(t) / 1000
			rank.FirstTokenWeight = float64(tightest) / float64(t)
		}
		if list[i].Worth > 0 {
			rank.Worth = list[i].Worth
		}
		out = append(out, rank)
	}
	return out
}

// defaultRank applies to a rank that is not configured.
var defaultRank = Rank{FirstToken: 1, Worth: 1, FirstTokenWeight: 1}

func (c *config) price(candidate *Candidate) float64 {
	price, known := c.prices[candidate.FailureDomain][candidate.Class]
	if !known {
		price = c.dearest[candidate.Class]
	}
	if candidate.Reclaimable {
		return price.Reclaimable
	}
	return price.OnDemand
}

func (c *config) rank(index int) Rank {
	if index < 0 || index >= len(c.ranks) {
		return defaultRank
	}
	return c.ranks[index]
}

// Route chooses the endpoint of an attempt. The random source must be used by
// this call alone, or be safe for concurrent use as rand.New over the global
// generator is. The error is a *NoEndpointError.
func (r *Router) Route(req *Request, snapshot *Snapshot, now time.Time, random *rand.Rand) (Decision, error) {
	w := r.scratch.Get().(*scratch)
	defer r.scratch.Put(w)
	return r.route(w, req, snapshot, now, random)
}

func (r *Router) route(w *scratch, req *Request, snapshot *Snapshot, now time.Time, random *rand.Rand) (Decision, error) {
	pool := snapshot.pool(poolKey{model: req.Model, version: req.Version, adapter: req.Adapter, role: req.Role})
	cfg := snapshot.config
	w.ctx = Input{
		Request: req, Rank: cfg.rank(req.RankIndex), Now: now, nowNano: now.UnixNano(), domain: snapshot.domain(req.FailureDomain),
		PriceWeight: cfg.routing.PriceWeight, probeShare: cfg.routing.ProbeShare,
		CrossDomain: float64(cfg.routing.CrossDomainPenaltyMS) / 1000,
	}
	if len(req.PrefixHashes) > 0 {
		r.prefix.match(req.PrefixHashes, w.depth, w.reader)
	}
	if d, ok := r.probe(w, pool, random); ok {
		return d, nil
	}
	r.scan(w, pool, random)
	if len(w.scored) == 0 {
		return Decision{}, &NoEndpointError{Model: req.Model, Known: len(snapshot.entries), Fitting: len(pool.entries)}
	}
	if req.Alone {
		return r.alone(w, pool), nil
	}
	at := r.picker.Pick(w.scored, random)
	return r.decide(w, pool, w.scored[at], "picked"), nil
}

// scan scores the candidates into the scratch list.
func (r *Router) scan(w *scratch, p *pool, random *rand.Rand) {
	w.scored = w.scored[:0]
	n := len(p.entries)
	if n <= maxScan {
		r.scanRange(w, p, 0, n)
		return
	}
	own := p.domains[w.ctx.Request.FailureDomain]
	r.scanRange(w, p, own[0], own[1])
	// Entries are ordered by domain, so a run with a stride covers every domain.
	others := max(maxScan-(own[1]-own[0]), maxScan/4)
	stride := max(n/others, 1)
	for i := random.IntN(stride); i < n; i += stride {
		if i < own[0] || i >= own[1] {
			r.scanRange(w, p, i, i+1)
		}
	}
	if len(w.scored) == 0 {
		r.scanRange(w, p, 0, n)
	}
}

func (r *Router) scanRange(w *scratch, p *pool, from, to int) {
	for i := from; i < to; i++ {
		if r.look(w, p.entries[i]) {
			w.scored = append(w.scored, Scored{Score: r.score(w), Remote: w.view.Remote, Cached: int32(w.view.CachedTokens), Busy: float32(w.view.Queue) / float32(max(w.view.Slots, 1)), index: int32(i)})
		}
	}
}

// look fills the view and reports whether the candidate passes all filters.
func (r *Router) look(w *scratch, e *entry) bool {
	e.view(&w.view, &w.ctx)
	for _, f := range r.filters {
		if !f.Keep(&w.ctx, &w.view) {
			return false
		}
	}
	if len(w.ctx.Request.PrefixHashes) > 0 {
		w.view.CachedTokens = r.cached(w, e.state.slot.Load())
	}
	return true
}

func (r *Router) score(w *scratch) float64 {
	sum := 0.0
	for _, s := range r.scorers {
		sum += s.Seconds(&w.ctx, &w.view)
	}
	return sum
}

func (r *Router) cached(w *scratch, slot int32) int {
	if slot < 0 {
		return 0
	}
	tokens := int(w.depth[slot]) * tokensPerBlock
	if r.prefix.isDoubtful(slot) {
		tokens = int(float64(tokens) * doubtfulShare)
	}
	return min(tokens, w.ctx.Request.PromptTokens)
}

// probe sends the configured share of requests to a straggler, one at a time
// each, so that a recovered one is found.
func (r *Router) probe(w *scratch, p *pool, random *rand.Rand) (Decision, bool) {
	req := w.ctx.Request
	if len(p.stragglers) == 0 || req.Alone || random.Float64() >= w.ctx.probeShare {
		return Decision{}, false
	}
	i := p.stragglers[random.IntN(len(p.stragglers))]
	e := p.entries[i]
	if e.state.probing.Load() > 0 || !r.look(w, e) || w.view.Remote || w.view.Queue >= w.view.Slots {
		return Decision{}, false
	}
	d := r.decide(w, p, Scored{Score: r.score(w), index: i}, "probed")
	d.Probe = true
	return d, true
}

// alone takes the cheapest idle endpoint. Where none is idle, it takes the one
// with the least work, which the caller isolates until it has run empty.
func (r *Router) alone(w *scratch, p *pool) Decision {
	best, queue := w.scored[0], -1
	for _, s := range w.scored {
		p.entries[s.index].view(&w.view, &w.ctx)
		if queue < 0 || w.view.Queue < queue || (w.view.Queue == queue && s.Score < best.Score) {
			best, queue = s, w.view.Queue
		}
	}
	d := r.decide(w, p, best, "alone")
	d.WaitIdle = queue > 0
	return d
}

func (r *Router) decide(w *scratch, p *pool, s Scored, step string) Decision {
	e := p.entries[s.index]
	r.look(w, e)
	uncached := max(w.ctx.Request.PromptTokens-w.view.CachedTokens, 0)
	d := Decision{
		Endpoint: e.Candidate, Score: s.Score, CachedTokens: w.view.CachedTokens,
		state: e.state, tokens: uncached,
	}
	if w.view.Queue < max(w.view.Slots, 1) {
		// A wait for a slot would be taken for slow prefill.
		d.work = w.view.WaitTokens + uncached
	}
	if w.ctx.Request.Explain {
		d.Reasons = r.explain(w, p, s, step)
	}
	return d
}

// explain lists what each filter dropped and what each scorer gave the choice.
func (r *Router) explain(w *scratch, p *pool, chosen Scored, step string) []Reason {
	e := p.entries[chosen.index]
	reasons := []Reason{{Step: step, Endpoint: e.ID, Score: chosen.Score, Detail: strconv.Itoa(len(w.scored)) + " scored"}}
	for _, s := range r.scorers {
		reasons = append(reasons, Reason{Step: s.Name(), Endpoint: e.ID, Score: s.Seconds(&w.ctx, &w.view)})
	}
	for _, other := range p.entries {
		other.view(&w.view, &w.ctx)
		for _, f := range r.filters {
			if !f.Keep(&w.ctx, &w.view) {
				reasons = append(reasons, Reason{Step: f.Name(), Endpoint: other.ID, Detail: "dropped"})
				break
			}
		}
	}
	return reasons
}
