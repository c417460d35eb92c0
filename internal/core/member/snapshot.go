package member

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// group is the set of all endpoints, or of those of one model or one plain
// service. Readers share an immutable slice. The first read after a change copies
// it, so that neither a burst of changes nor a burst of reads copies more than needed.
type group struct {
	mu       sync.Mutex
	index    map[string]int
	current  []*Endpoint
	dirty    atomic.Bool
	snapshot atomic.Pointer[[]*Endpoint]
}

func newGroup() *group {
	g := &group{index: make(map[string]int)}
	g.snapshot.Store(&[]*Endpoint{})
	return g
}

func (g *group) put(e *Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i, ok := g.index[e.ID]; ok {
		g.current[i] = e
	} else {
		g.index[e.ID] = len(g.current)
		g.current = append(g.current, e)
	}
	g.dirty.Store(true)
}

func (g *group) remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, ok := g.index[id]
	if !ok {
		return
	}
	last := len(g.current) - 1
	g.current[i] = g.current[last]
	g.index[g.current[i].ID] = i
	g.current[last] = nil
	g.current = g.current[:last]
	delete(g.index, id)
	g.dirty.Store(true)
}

// read returns the shared slice. It allocates only after a change.
func (g *group) read() []*Endpoint {
	if !g.dirty.Load() {
		return *g.snapshot.Load()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dirty.Load() {
		next := slices.Clone(g.current)
		g.snapshot.Store(&next)
		g.dirty.Store(false)
	}
	return *g.snapshot.Load()
}

// groups maps models and plain services to their endpoints. The map is copied on
// write, because new models are rare and a read must not allocate.
type groups struct {
	all    *group
	mu     sync.Mutex
	byName atomic.Pointer[map[groupKey]*group]
}

type groupKey struct{ model, service string }

func (g *groups) init() {
	g.all = newGroup()
	g.byName.Store(&map[groupKey]*group{})
}

func (g *groups) get(key groupKey) *group {
	if found := (*g.byName.Load())[key]; found != nil {
		return found
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	old := *g.byName.Load()
	if found := old[key]; found != nil {
		return found
	}
	next := maps.Clone(old)
	next[key] = newGroup()
	g.byName.Store(&next)
	return next[key]
}

func (g *groups) read(key groupKey) []*Endpoint {
	if found := (*g.byName.Load())[key]; found != nil {
		return found.read()
	}
	return nil
}

// replace replaces the old record of an endpoint by the new one in all groups.
// Either record may be nil.
func (g *groups) replace(old, next *Endpoint) {
	if old != nil {
		for _, key := range old.keys() {
			if next == nil || !slices.Contains(next.keys(), key) {
				g.get(key).remove(old.ID)
			}
		}
		if next == nil {
			g.all.remove(old.ID)
		}
	}
	if next != nil {
		for _, key := range next.keys() {
			g.get(key).put(next)
		}
		g.all.put(next)
	}
}

// keys returns the keys of the groups to which an endpoint belongs.
func (e *Endpoint) keys() []groupKey {
	if e.Service != "" {
		return []groupKey{{service: e.Service}}
	}
	keys := make([]groupKey, 0, len(e.Models))
	for i := range e.Models {
		key := groupKey{model: e.Models[i].Name}
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}
