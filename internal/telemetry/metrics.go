package telemetry

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
)

// shardCount is the number of shards of a metric. It exceeds the 10 cores of
// an entry VM, so that two cores rarely write to the same shard.
const shardCount = 16

// randomShard returns the index of a random shard. The runtime keeps the state
// of the generator per thread, so this takes no lock.
func randomShard() int { return int(rand.Uint32() % shardCount) }

// Counter counts events. All methods are safe for concurrent use.
type Counter struct {
	shards [shardCount]paddedInt
}

// paddedInt fills a cache line, so that a write to one shard does not invalidate
// the cache lines of the others.
type paddedInt struct {
	value atomic.Int64
	_     [56]byte
}

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64) { c.shards[randomShard()].value.Add(n) }

// Inc adds one.
func (c *Counter) Inc() { c.Add(1) }

// Value returns the count.
func (c *Counter) Value() int64 {
	var sum int64
	for i := range c.shards {
		sum += c.shards[i].value.Load()
	}
	return sum
}

// String implements expvar.Var.
func (c *Counter) String() string { return fmt.Sprint(c.Value()) }

// Gauge holds a value that can rise and fall. All methods are safe for concurrent use.
type Gauge struct{ value atomic.Int64 }

// Set replaces the value.
func (g *Gauge) Set(n int64) { g.value.Store(n) }

// Add changes the value by n.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the value.
func (g *Gauge) Value() int64 { return g.value.Load() }

// String implements expvar.Var.
func (g *Gauge) String() string { return fmt.Sprint(g.Value()) }

// Registry holds the metrics of one daemon. The same name always returns the
// same metric. A name that is in use for a metric of another type is a
// programming error and causes a panic.
type Registry struct {
	mu   sync.RWMutex
	vars map[string]expvar.Var
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{vars: map[string]expvar.Var{}} }

// Counter returns the counter with a name and creates it on first use.
func (r *Registry) Counter(name string) *Counter {
	return getOrCreate(r, name, func() *Counter { return new(Counter) })
}

// Gauge returns the gauge with a name and creates it on first use.
func (r *Registry) Gauge(name string) *Gauge {
	return getOrCreate(r, name, func() *Gauge { return new(Gauge) })
}

// Latency returns the latency histogram with a name and creates it on first use.
func (r *Registry) Latency(name string) *Latency {
	return getOrCreate(r, name, func() *Latency { return new(Latency) })
}

// Func publishes a value that is computed when it is read. A second function
// with the same name replaces the first.
func (r *Registry) Func(name string, read func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vars[name] = expvar.Func(read)
}

func getOrCreate[T expvar.Var](r *Registry, name string, create func() T) T {
	r.mu.RLock()
	existing, ok := r.vars[name]
	r.mu.RUnlock()
	if !ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		if existing, ok = r.vars[name]; !ok {
			existing = create()
			r.vars[name] = existing
		}
	}
	typed, ok := existing.(T)
	if !ok {
		panic(fmt.Sprintf("metric %q is already registered with type %T", name, existing))
	}
	return typed
}

// String implements expvar.Var. It returns one JSON object with the metrics sorted by name.
func (r *Registry) String() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make(map[string]json.RawMessage, len(r.vars))
	for name, v := range r.vars {
		all[name] = json.RawMessage(v.String())
	}
	data, err := json.Marshal(all)
	if err != nil {
		return "{}"
	}
	return string(data)
}

// Handler serves the metrics of this daemon only, in the format of /debug/vars:
// one JSON object with the daemon's metrics under "boragelead" and the memory
// statistics of the process under "memstats".
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		memory := "{}"
		if v := expvar.Get("memstats"); v != nil {
			memory = v.String()
		}
		_, _ = fmt.Fprintf(w, "{\"boragelead\":%s,\"memstats\":%s}\n", r.String(), memory)
	})
}

// publishedRegistries maps the names of daemons to their registries. All
// registries share one expvar name, because expvar panics if a name is published twice.
var publishedRegistries = expvar.NewMap("boragelead")

// Publish adds a registry to the expvar map of the process under the name of its
// daemon. A daemon that restarts in the same process replaces its entry.
func Publish(daemon string, r *Registry) { publishedRegistries.Set(daemon, r) }

// Unpublish removes the entry of a daemon, unless another registry has replaced it.
func Unpublish(daemon string, r *Registry) {
	if publishedRegistries.Get(daemon) == expvar.Var(r) {
		publishedRegistries.Delete(daemon)
	}
}
