// Package meter counts the requests that began to run, by window of the wall
// clock and workspace. Entries send cumulative counts, so that a report that is
// lost or repeated changes nothing. The package does no I/O.
package meter

import (
	"sync"
	"time"
)

// keepWindows is how many windows an entry goes on reporting after their end.
const keepWindows = 3

// Counts holds the requests of one window by workspace.
type Counts struct {
	Window uint64         `msgpack:"w"`
	Counts map[string]int `msgpack:"c"`
}

// Counter counts at an entry. It is safe for concurrent use.
type Counter struct {
	window time.Duration

	mu      sync.Mutex
	windows map[uint64]map[string]int
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(window time.Duration) *Counter {
	return &Counter{window: window, windows: make(map[uint64]map[string]int)}
}

// WindowAt returns the window that holds a time of day.
func WindowAt(now time.Time, window time.Duration) uint64 {
	return uint64(now.UnixNano() / int64(window))
}

// Add counts a request that began to run at a time of day.
func (c *Counter) Add(workspace string, at time.Time) {
	k := WindowAt(at, c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[k]
	if counts == nil {
		counts = make(map[string]int)
		c.windows[k] = counts
	}
	counts[workspace]++
}

// Report returns the counts of the newest windows and forgets older ones.
func (c *Counter) Report(now time.Time) []Counts {
	current := WindowAt(now, c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Counts
	for k, counts := range c.windows {
		if k+keepWindows < current {
			delete(c.windows, k)
			continue
		}
		copied := make(map[string]int, len(counts))
		for name, n := range counts {
			copied[name] = n
		}
		list = append(list, Counts{Window: k, Counts: copied})
	}
	return list
}

// Source names one run of an entry.
type Source struct {
	Entry       string
	Incarnation uint64
}

// Ledger collects the counts of all entries at a replica. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	windows map[uint64]map[Source]map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{windows: make(map[uint64]map[Source]map[string]int)}
}

// Merge takes the cumulative counts of an entry. Counts never shrink.
func (l *Ledger) Merge(source Source, list []Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, one := range list {
		sources := l.windows[one.Window]
		if sources == nil {
			sources = make(map[Source]map[string]int)
			l.windows[one.Window] = sources
		}
		counts := sources[source]
		if counts == nil {
			counts = make(map[string]int, len(one.Counts))
			sources[source] = counts
		}
		for name, n := range one.Counts {
			counts[name] = max(counts[name], n)
		}
	}
}

// Export returns all counts by source, to bring another replica up to date.
func (l *Ledger) Export(from uint64) map[Source][]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := make(map[Source][]Counts)
	for k, sources := range l.windows {
		if k < from {
			continue
		}
		for source, counts := range sources {
			copied := make(map[string]int, len(counts))
			for name, n := range counts {
				copied[name] = n
			}
			result[source] = append(result[source], Counts{Window: k, Counts: copied})
		}
	}
	return result
}

// Total adds up a window over all entries.
func (l *Ledger) Total(window uint64) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := make(map[string]int)
	for _, counts := range l.windows[window] {
		for name, n := range counts {
			total[name] += n
		}
	}
	return total
}

// Drop forgets the windows before one and returns how many are left.
func (l *Ledger) Drop(before uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := range l.windows {
		if k < before {
			delete(l.windows, k)
		}
	}
	return len(l.windows)
}
