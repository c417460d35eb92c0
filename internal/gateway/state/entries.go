package state

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/link"
)

// entryMemory is how long an entry that does not poll counts.
const entryMemory = 5 * time.Second

// entries holds what the entries said in their last polls. It is safe for concurrent use.
type entries struct {
	mu   sync.Mutex
	list map[string]*entryReport
}

type entryReport struct {
	polled time.Time
	demand map[string]float64
	load   map[string]int
}

func newEntries() *entries { return &entries{list: make(map[string]*entryReport)} }

func (e *entries) note(r *link.PollRequest, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list[r.Entry] = &entryReport{polled: now, demand: r.Demand, load: r.Load}
}

// totals adds up the reports of entries that polled lately.
type totals struct {
	entries int
	demand  map[string]float64
	load    map[string]int
}

func (e *entries) totals(now time.Time) totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := totals{demand: make(map[string]float64), load: make(map[string]int)}
	for name, one := range e.list {
		if now.Sub(one.polled) > entryMemory {
			delete(e.list, name)
			continue
		}
		t.entries++
		addUp(t.demand, one.demand)
		addUp(t.load, one.load)
	}
	return t
}

func addUp[N int | float64](to, from map[string]N) {
	for name, n := range from {
		to[name] += n
	}
}

// allPolledWithin reports whether every entry that polled lately did so within a time.
func (e *entries) allPolledWithin(within time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.list {
		if silent := now.Sub(one.polled); silent <= entryMemory && silent > within {
			return false
		}
	}
	return true
}
