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
	// maxScan bounds the candidates that one decision scores. In a larger pool
	// the router scores all endpoints in the failure domain of the entry and a
	// random sample of the others. docs/decisions.md gives the measured loss.
	maxScan = 512
	// indexBlocks bounds the prefix index, which takes about 60 MB when full.
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

// config is the part of the document that the router uses.
type config struct {
	routing conf.Routing
	ranks   []Rank
	speeds  map[string]Speed
	prices  map[string]map[string]conf.ClassPrice
	// highestPrice holds the highest price of each class. It applies to
	// domains without prices, which must not appear to be free.
	highestPrice map[string]conf.ClassPrice
}

// scratch holds the buffers of one decision.
type scratch struct {
	input  Input
	view   View
	scored []Scored
	depth  []uint16
	// reader selects the read lock of the prefix index.
	reader int
}

// Option configures a router.
type Option func(*Router)

// WithPicker replaces the standard picker.
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

// Configure applies a new generation of the document. Existing snapshots keep the
// previous one.
func (r *Router) Configure(doc *conf.Document) {
	cfg := &config{
		routing: doc.Routing, speeds: map[string]Speed{},
		prices: map[string]map[string]conf.ClassPrice{}, highestPrice: map[string]conf.ClassPrice{},
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
			highestPrice := cfg.highestPrice[price.Class]
			highestPrice.OnDemand = max(highestPrice.OnDemand, price.OnDemand)
			highestPrice.Reclaimable = max(highestPrice.Reclaimable, price.Reclaimable)
			cfg.highestPrice[price.Class] = highestPrice
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
		price = c.highestPrice[candidate.Class]
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

// Route chooses the endpoint of an attempt. The random source must either be safe
// for concurrent use, such as SharedRandom, or not be used by other calls at the
// same time. The error is a *NoEndpointError.
func (r *Router) Route(req *Request, snapshot *Snapshot, now time.Time, random *rand.Rand) (Decision, error) {
	sc := r.scratch.Get().(*scratch)
	defer r.scratch.Put(sc)
	return r.route(sc, req, snapshot, now, random)
}

func (r *Router) route(sc *scratch, req *Request, snapshot *Snapshot, now time.Time, random *rand.Rand) (Decision, error) {
	pool := snapshot.pool(poolKey{model: req.Model, version: req.Version, adapter: req.Adapter, role: req.Role})
	cfg := snapshot.config
	sc.input = Input{
		Request: req, Rank: cfg.rank(req.RankIndex), Now: now, nowNano: now.UnixNano(), domainNumber: snapshot.domainNumber(req.FailureDomain),
		PriceWeight: cfg.routing.PriceWeight, probeShare: cfg.routing.ProbeShare,
		CrossDomain: float64(cfg.routing.CrossDomainPenaltyMS) / 1000,
	}
	if len(req.PrefixHashes) > 0 {
		r.prefix.match(req.PrefixHashes, sc.depth, sc.reader)
	}
	if d, ok := r.probeStraggler(sc, pool, random); ok {
		return d, nil
	}
	r.scan(sc, pool, random)
	if len(sc.scored) == 0 {
		return Decision{}, &NoEndpointError{Model: req.Model, Known: len(snapshot.entries), Eligible: len(pool.entries)}
	}
	if req.Alone {
		return r.routeAlone(sc, pool), nil
	}
	picked := r.picker.Pick(sc.scored, random)
	return r.newDecision(sc, pool, sc.scored[picked], "picked"), nil
}

// scan scores the candidates of a pool, or a sample of a large pool.
func (r *Router) scan(sc *scratch, p *pool, random *rand.Rand) {
	sc.scored = sc.scored[:0]
	n := len(p.entries)
	if n <= maxScan {
		r.scanRange(sc, p, 0, n)
		return
	}
	ownRange := p.domains[sc.input.Request.FailureDomain]
	r.scanRange(sc, p, ownRange[0], ownRange[1])
	// The entries are ordered by failure domain, so taking every stride-th entry
	// covers all domains.
	remoteSample := max(maxScan-(ownRange[1]-ownRange[0]), maxScan/4)
	stride := max(n/remoteSample, 1)
	for i := random.IntN(stride); i < n; i += stride {
		if i < ownRange[0] || i >= ownRange[1] {
			r.scanRange(sc, p, i, i+1)
		}
	}
	if len(sc.scored) == 0 {
		r.scanRange(sc, p, 0, n)
	}
}

func (r *Router) scanRange(sc *scratch, p *pool, from, to int) {
	for i := from; i < to; i++ {
		if r.fillAndFilter(sc, p.entries[i]) {
			sc.scored = append(sc.scored, Scored{Score: r.score(sc), Remote: sc.view.Remote, Cached: int32(sc.view.CachedTokens), Utilization: float32(sc.view.Queue) / float32(max(sc.view.Slots, 1)), index: int32(i)})
		}
	}
}

// fillAndFilter fills the view and reports whether the candidate passes all filters.
func (r *Router) fillAndFilter(sc *scratch, e *entry) bool {
	e.view(&sc.view, &sc.input)
	for _, f := range r.filters {
		if !f.Keep(&sc.input, &sc.view) {
			return false
		}
	}
	if len(sc.input.Request.PrefixHashes) > 0 {
		sc.view.CachedTokens = r.cachedTokens(sc, e.state.prefixSlot.Load())
	}
	return true
}

func (r *Router) score(sc *scratch) float64 {
	sum := 0.0
	for _, s := range r.scorers {
		sum += s.Seconds(&sc.input, &sc.view)
	}
	return sum
}

func (r *Router) cachedTokens(sc *scratch, slot int32) int {
	if slot < 0 {
		return 0
	}
	tokens := int(sc.depth[slot]) * tokensPerBlock
	if r.prefix.isIncomplete(slot) {
		tokens = int(float64(tokens) * incompleteHitShare)
	}
	return min(tokens, sc.input.Request.PromptTokens)
}

// probeStraggler sends the configured share of requests to stragglers, at most one
// request at a time to each, to find out whether they have recovered.
func (r *Router) probeStraggler(sc *scratch, p *pool, random *rand.Rand) (Decision, bool) {
	req := sc.input.Request
	if len(p.stragglers) == 0 || req.Alone || random.Float64() >= sc.input.probeShare {
		return Decision{}, false
	}
	i := p.stragglers[random.IntN(len(p.stragglers))]
	e := p.entries[i]
	if e.state.probes.Load() > 0 || !r.fillAndFilter(sc, e) || sc.view.Remote || sc.view.Queue >= sc.view.Slots {
		return Decision{}, false
	}
	d := r.newDecision(sc, p, Scored{Score: r.score(sc), index: i}, "probed")
	d.Probe = true
	return d, true
}

// routeAlone chooses the cheapest idle endpoint for a suspect request. If none is
// idle, it chooses the one with the shortest queue. The caller isolates that
// endpoint and waits until its other attempts have ended.
func (r *Router) routeAlone(sc *scratch, p *pool) Decision {
	best, queue := sc.scored[0], -1
	for _, s := range sc.scored {
		p.entries[s.index].view(&sc.view, &sc.input)
		if queue < 0 || sc.view.Queue < queue || (sc.view.Queue == queue && s.Score < best.Score) {
			best, queue = s, sc.view.Queue
		}
	}
	d := r.newDecision(sc, p, best, "alone")
	d.WaitIdle = queue > 0
	return d
}

func (r *Router) newDecision(sc *scratch, p *pool, s Scored, step string) Decision {
	e := p.entries[s.index]
	r.fillAndFilter(sc, e)
	uncached := max(sc.input.Request.PromptTokens-sc.view.CachedTokens, 0)
	d := Decision{
		Endpoint: e.Candidate, Score: s.Score, CachedTokens: sc.view.CachedTokens,
		state: e.state, uncachedTokens: uncached,
	}
	if sc.view.Queue < max(sc.view.Slots, 1) {
		// Prefill speed is learned only if a slot is free. Otherwise the wait for
		// a slot would look like slow prefill.
		d.prefillWork = sc.view.WaitTokens + uncached
	}
	if sc.input.Request.Explain {
		d.Reasons = r.explain(sc, p, s, step)
	}
	return d
}

// explain lists the score of the chosen endpoint by scorer and the endpoints that
// the filters dropped.
func (r *Router) explain(sc *scratch, p *pool, chosen Scored, step string) []Reason {
	e := p.entries[chosen.index]
	reasons := []Reason{{Step: step, Endpoint: e.ID, Score: chosen.Score, Detail: strconv.Itoa(len(sc.scored)) + " scored"}}
	for _, s := range r.scorers {
		reasons = append(reasons, Reason{Step: s.Name(), Endpoint: e.ID, Score: s.Seconds(&sc.input, &sc.view)})
	}
	for _, other := range p.entries {
		other.view(&sc.view, &sc.input)
		for _, f := range r.filters {
			if !f.Keep(&sc.input, &sc.view) {
				reasons = append(reasons, Reason{Step: f.Name(), Endpoint: other.ID, Detail: "dropped"})
				break
			}
		}
	}
	return reasons
}
