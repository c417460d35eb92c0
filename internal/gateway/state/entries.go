package state

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/link"
)

// entryTimeout is how long after its last poll an entry counts as active.
const entryTimeout = 5 * time.Second

// entries holds what each entry reported in its last poll. It is safe for
// concurrent use.
type entries struct {
	mu      sync.Mutex
	byEntry map[string]*entryReport
}

type entryReport struct {
	polledAt      time.Time
	demand        map[string]float64
	serviceDemand map[string]float64
	load          map[string]int
}

func newEntries() *entries { return &entries{byEntry: make(map[string]*entryReport)} }

func (e *entries) record(r *link.PollRequest, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byEntry[r.Entry] = &entryReport{polledAt: now, demand: r.Demand, serviceDemand: r.ServiceDemand, load: r.Load}
}

// totals is the sum of the reports of all active entries.
type totals struct {
	entries       int
	demand        map[string]float64
	serviceDemand map[string]float64
	load          map[string]int
}

func (e *entries) totals(now time.Time) totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := totals{demand: make(map[string]float64), serviceDemand: make(map[string]float64), load: make(map[string]int)}
	for name, report := range e.byEntry {
		if now.Sub(report.polledAt) > entryTimeout {
			delete(e.byEntry, name)
			continue
		}
		t.entries++
		addUp(t.demand, report.demand)
		addUp(t.serviceDemand, report.serviceDemand)
		addUp(t.load, report.load)
	}
	return t
}

func addUp[N int | float64](to, from map[string]N) {
	for name, n := range from {
		to[name] += n
	}
}

// rank returns the position of an entry among the active ones, sorted by name.
func (e *entries) rank(entry string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for name := range e.byEntry {
		if name < entry {
			rank++
		}
	}
	return rank
}

// allPolledWithin reports whether every active entry has polled within the given
// time.
func (e *entries) allPolledWithin(within time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, report := range e.byEntry {
		if silent := now.Sub(report.polledAt); silent <= entryTimeout && silent > within {
			return false
		}
	}
	return true
}
