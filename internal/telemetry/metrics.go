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
// an entry VM, so that two cores rarely meet in one shard.
const shardCount = 16

// shard picks a shard at random. The runtime keeps the generator per
// thread, so this takes no lock.
func shard() int { return int(rand.Uint32() % shardCount) }

// Counter counts events. All methods are safe for concurrent use.
type Counter struct {
	shards [shardCount]paddedInt
}

// paddedInt fills a cache line, so that shards do not invalidate each other.
type paddedInt struct {
	value atomic.Int64
	_     [56]byte
}

// Add adds n, which is not negative.
func (c *Counter) Add(n int64) { c.shards[shard()].value.Add(n) }

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

// Gauge holds a value that goes up and down.
type Gauge struct{ value atomic.Int64 }

// Set replaces the value.
func (g *Gauge) Set(n int64) { g.value.Store(n) }

// Add changes the value by n.
func (g *Gauge) Add(n int64) { g.value.Add(n) }

// Value returns the value.
func (g *Gauge) Value() int64 { return g.value.Load() }

// String implements expvar.Var.
func (g *Gauge) String() string { return fmt.Sprint(g.Value()) }

// Registry holds the metrics of one daemon. The same name returns the same
// metric; a name that is in use for another type panics, which is a mistake
// of the program.
type Registry struct {
	mu   sync.RWMutex
	vars map[string]expvar.Var
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{vars: map[string]expvar.Var{}} }

// Counter returns the counter of a name.
func (r *Registry) Counter(name string) *Counter {
	return metric(r, name, func() *Counter { return new(Counter) })
}

// Gauge returns the gauge of a name.
func (r *Registry) Gauge(name string) *Gauge {
	return metric(r, name, func() *Gauge { return new(Gauge) })
}

// Latency returns the latency histogram of a name.
func (r *Registry) Latency(name string) *Latency {
	return metric(r, name, func() *Latency { return new(Latency) })
}

// Func publishes a value that is computed when it is read. A second function
// of the same name replaces the first.
func (r *Registry) Func(name string, read func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vars[name] = expvar.Func(read)
}

func metric[T expvar.Var](r *Registry, name string, create func() T) T {
	r.mu.RLock()
	found, ok := r.vars[name]
	r.mu.RUnlock()
	if !ok {
		r.mu.Lock()
		defer r.mu.Unlock()
		if found, ok = r.vars[name]; !ok {
			found = create()
			r.vars[name] = found
		}
	}
	typed, ok := found.(T)
	if !ok {
		panic(fmt.Sprintf("metric %q has type %T", name, found))
	}
	return typed
}

// String implements expvar.Var: one JSON object with the metrics in the order of their names.
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

// Handler serves the metrics of this daemon alone, in the form of
// /debug/vars: one JSON object, with the daemon's metrics under "boragelead"
// and the memory figures of the process under "memstats".
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

// published maps daemon names to registries. It is the only expvar name that
// this package takes, because expvar panics when a name is taken twice.
var published = expvar.NewMap("boragelead")

// Publish shows a registry under the name of its daemon in the expvar map of
// the process. A daemon that starts again in the same process replaces its entry.
func Publish(daemon string, r *Registry) { published.Set(daemon, r) }

// Unpublish removes the entry of a daemon, unless another registry replaced it.
func Unpublish(daemon string, r *Registry) {
	if published.Get(daemon) == expvar.Var(r) {
		published.Delete(daemon)
	}
}
