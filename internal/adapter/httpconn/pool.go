package httpconn

import (
	"net/http"
	"sync"
	"time"
)

const (
	// poolUnusedTimeout is the time without use after which a pool is removed, such as
	// that of an endpoint that no longer exists.
	poolUnusedTimeout = 5 * time.Minute
	// sweepInterval is the least time between two searches for unused pools.
	sweepInterval = time.Minute
)

// Pool holds the connections to one endpoint. A pool with silent connections is
// replaced by a pool of the next generation.
type Pool struct {
	// Client sends requests over the connections of the pool. It does not follow
	// redirects.
	Client     *http.Client
	generation uint64
	transport  *http.Transport
	lastUsed   time.Time
	// checking is set while a check of the endpoint runs for this pool.
	checking bool
}

// CloseIdle closes the connections of the pool that carry no request.
func (p *Pool) CloseIdle() { p.transport.CloseIdleConnections() }

// Pools holds one pool per endpoint. It is safe for concurrent use.
type Pools struct {
	options    Options
	onReplaced func(baseURL string)

	mu        sync.Mutex
	byURL     map[string]*Pool
	lastSweep time.Time
}

// NewPools returns an empty set of pools. onReplaced is called after a pool was replaced.
func NewPools(options Options, onReplaced func(baseURL string)) *Pools {
	return &Pools{options: options, byURL: make(map[string]*Pool), onReplaced: onReplaced}
}

func newPool(generation uint64, options Options) *Pool {
	transport := NewTransport(options)
	return &Pool{generation: generation, transport: transport, Client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect makes the client return a redirect as the response, so that a request is
// sent only to the endpoint that was chosen for it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get returns the pool of an endpoint and creates it if there is none.
func (p *Pools) Get(baseURL string, now time.Time) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byURL[baseURL]
	if pool == nil {
		pool = newPool(1, p.options)
		p.byURL[baseURL] = pool
	}
	pool.lastUsed = now
	p.sweep(now)
	return pool
}

// sweep removes the pools that were not used for poolUnusedTimeout. The caller must
// have locked mu.
func (p *Pools) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for url, pool := range p.byURL {
		if now.Sub(pool.lastUsed) > poolUnusedTimeout {
			pool.CloseIdle()
			delete(p.byURL, url)
		}
	}
}

// Forget removes the pool of an endpoint that no longer exists.
func (p *Pools) Forget(baseURL string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.byURL[baseURL]; old != nil {
		old.CloseIdle()
		delete(p.byURL, baseURL)
	}
}

// CloseIdle closes the connections of all pools that carry no request.
func (p *Pools) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byURL {
		pool.CloseIdle()
	}
}

// Suspect is called when a connection of a pool stopped delivering data. It runs the
// probe in the background, one at a time for each pool, and replaces the pool if the
// endpoint works over a new connection, since the other pooled connections are then
// likely to be silent too. If the probe fails, the fault lies with the endpoint, and
// the pool is kept.
func (p *Pools) Suspect(baseURL string, silent *Pool, probe func() bool) {
	p.mu.Lock()
	startCheck := p.byURL[baseURL] == silent && !silent.checking
	if startCheck {
		silent.checking = true
	}
	p.mu.Unlock()
	if !startCheck {
		return
	}
	go func() {
		if p.finishCheck(baseURL, silent, probe()) {
			p.onReplaced(baseURL)
		}
	}()
}

// finishCheck ends a check. It replaces the pool if the endpoint is healthy and the
// pool is still current, and reports whether it did.
func (p *Pools) finishCheck(baseURL string, silent *Pool, healthy bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent.checking = false
	if !healthy || p.byURL[baseURL] != silent {
		return false
	}
	replacement := newPool(silent.generation+1, p.options)
	replacement.lastUsed = silent.lastUsed
	p.byURL[baseURL] = replacement
	silent.CloseIdle()
	return true
}
