package httpconn

import (
	"net/http"
	"sync"
	"time"
)

const (
	// poolUnusedTime is the age at which the pool of an endpoint that left is dropped.
	poolUnusedTime = 5 * time.Minute
	// sweepInterval bounds how often unused pools are searched.
	sweepInterval = time.Minute
)

// Pool holds the connections to one endpoint. A pool with silent connections
// is replaced by one of the next generation.
type Pool struct {
	// Client sends over the connections of the pool and follows no redirect.
	Client     *http.Client
	generation uint64
	transport  *http.Transport
	used       time.Time
	// checking is set while a check of this generation runs.
	checking bool
}

// CloseIdle closes the connections that carry no request.
func (p *Pool) CloseIdle() { p.transport.CloseIdleConnections() }

// Pools holds one pool per endpoint. It is safe for concurrent use.
type Pools struct {
	options  Options
	replaced func(baseURL string)

	mu      sync.Mutex
	byURL   map[string]*Pool
	sweptAt time.Time
}

// NewPools returns an empty set of pools. The function is called after a pool was replaced.
func NewPools(options Options, replaced func(baseURL string)) *Pools {
	return &Pools{options: options, byURL: make(map[string]*Pool), replaced: replaced}
}

func newPool(generation uint64, options Options) *Pool {
	transport := NewTransport(options)
	return &Pool{generation: generation, transport: transport, Client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect keeps a request with a body on the endpoint that was chosen for it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get returns the pool of an endpoint.
func (p *Pools) Get(baseURL string, now time.Time) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.byURL[baseURL]
	if found == nil {
		found = newPool(1, p.options)
		p.byURL[baseURL] = found
	}
	found.used = now
	p.sweep(now)
	return found
}

// sweep drops pools that were not used for long. The caller holds mu.
func (p *Pools) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for url, candidate := range p.byURL {
		if now.Sub(candidate.used) > poolUnusedTime {
			candidate.CloseIdle()
			delete(p.byURL, url)
		}
	}
}

// Forget drops the pool of an endpoint that left.
func (p *Pools) Forget(baseURL string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.byURL[baseURL]; old != nil {
		old.CloseIdle()
		delete(p.byURL, baseURL)
	}
}

// CloseIdle closes all connections that carry no request.
func (p *Pools) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, each := range p.byURL {
		each.CloseIdle()
	}
}

// Suspect is called when a connection of a pool went silent. It runs a check
// in the background, once at a time, and replaces the pool if the endpoint
// works over a new connection: then the other pooled connections are likely to
// be silent too. A check that fails means that the endpoint itself is in
// trouble, which is not for the pool to solve.
func (p *Pools) Suspect(baseURL string, silent *Pool, works func() bool) {
	p.mu.Lock()
	current := p.byURL[baseURL] == silent && !silent.checking
	if current {
		silent.checking = true
	}
	p.mu.Unlock()
	if !current {
		return
	}
	go func() {
		if p.checked(baseURL, silent, works()) {
			p.replaced(baseURL)
		}
	}()
}

// checked ends a check and reports whether the pool was replaced.
func (p *Pools) checked(baseURL string, silent *Pool, works bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent.checking = false
	if !works || p.byURL[baseURL] != silent {
		return false
	}
	next := newPool(silent.generation+1, p.options)
	next.used = silent.used
	p.byURL[baseURL] = next
	silent.CloseIdle()
	return true
}
