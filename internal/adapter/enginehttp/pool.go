package enginehttp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
)

const (
	// poolUnusedTime is the age at which the pool of an endpoint that left is dropped.
	poolUnusedTime = 5 * time.Minute
	// sweepInterval bounds how often unused pools are searched.
	sweepInterval = time.Minute
)

// pool holds the connections to one endpoint. A pool with silent connections
// is replaced by one of the next generation.
type pool struct {
	generation uint64
	transport  *http.Transport
	client     *http.Client
	used       time.Time
	// probing is set while a probe of this generation runs.
	probing bool
}

// pools holds one pool per endpoint.
type pools struct {
	conn     httpconn.Options
	mu       sync.Mutex
	byURL    map[string]*pool
	sweptAt  time.Time
	replaced func(baseURL string)
}

func newPools(o *options) *pools {
	return &pools{conn: o.conn, byURL: make(map[string]*pool), replaced: o.replaced}
}

func newPool(generation uint64, conn httpconn.Options) *pool {
	transport := httpconn.NewTransport(conn)
	return &pool{generation: generation, transport: transport, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect keeps a request with a body on the endpoint that was chosen for it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// get returns the pool of an endpoint.
func (p *pools) get(baseURL string, now time.Time) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.byURL[baseURL]
	if found == nil {
		found = newPool(1, p.conn)
		p.byURL[baseURL] = found
	}
	found.used = now
	p.sweep(now)
	return found
}

// sweep drops pools that were not used for long. The caller holds mu.
func (p *pools) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for url, candidate := range p.byURL {
		if now.Sub(candidate.used) > poolUnusedTime {
			candidate.transport.CloseIdleConnections()
			delete(p.byURL, url)
		}
	}
}

// forget drops the pool of an endpoint that left.
func (p *pools) forget(baseURL string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.byURL[baseURL]; old != nil {
		old.transport.CloseIdleConnections()
		delete(p.byURL, baseURL)
	}
}

// closeIdle closes all pooled connections.
func (p *pools) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, each := range p.byURL {
		each.transport.CloseIdleConnections()
	}
}

// suspect is called when a connection of a pool went silent. It probes the
// endpoint on a new connection and replaces the pool if that works: then the
// other pooled connections are likely to be silent too. A probe that fails
// means that the endpoint itself is in trouble, which is not for the pool to solve.
func (p *pools) suspect(baseURL string, silent *pool, timeout time.Duration) {
	p.mu.Lock()
	current := p.byURL[baseURL] == silent && !silent.probing
	if current {
		silent.probing = true
	}
	p.mu.Unlock()
	if !current {
		return
	}
	go func() {
		works := probe(baseURL, p.conn, timeout) == nil
		if p.probed(baseURL, silent, works) {
			p.replaced(baseURL)
		}
	}()
}

// probed ends a probe and reports whether the pool was replaced.
func (p *pools) probed(baseURL string, silent *pool, works bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent.probing = false
	if !works || p.byURL[baseURL] != silent {
		return false
	}
	next := newPool(silent.generation+1, p.conn)
	next.used = silent.used
	p.byURL[baseURL] = next
	silent.transport.CloseIdleConnections()
	return true
}

// probe pings an endpoint on a connection of its own.
func probe(baseURL string, conn httpconn.Options, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	transport := httpconn.NewTransport(conn)
	transport.DisableKeepAlives = true
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+endpoint.PathPing, nil)
	if err != nil {
		return err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
