// Package meter counts the requests that started to run, by wall-clock window and
// workspace. Entries send cumulative counts, so that lost and repeated reports do
// not change the result. The package does no I/O.
package meter

import (
	"sync"
	"time"
)

// reportedWindows is the number of ended windows that an entry still reports.
const reportedWindows = 3

// Counts holds the requests of one window by workspace.
type Counts struct {
	Window uint64         `msgpack:"w"`
	Counts map[string]int `msgpack:"c"`
}

// Counter counts the requests of one entry. It is safe for concurrent use.
type Counter struct {
	window time.Duration

	mu      sync.Mutex
	windows map[uint64]map[string]int
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(window time.Duration) *Counter {
	return &Counter{window: window, windows: make(map[uint64]map[string]int)}
}

// WindowAt returns the number of the window that contains a time of day.
func WindowAt(now time.Time, window time.Duration) uint64 {
	return uint64(now.UnixNano() / int64(window))
}

// Add counts a request that started to run at the given time of day.
func (c *Counter) Add(workspace string, at time.Time) {
	number := WindowAt(at, c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.windows[number]
	if counts == nil {
		counts = make(map[string]int)
		c.windows[number] = counts
	}
	counts[workspace]++
}

// Report returns the counts of the newest windows and drops older windows.
func (c *Counter) Report(now time.Time) []Counts {
	current := WindowAt(now, c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Counts
	for number, counts := range c.windows {
		if number+reportedWindows < current {
			delete(c.windows, number)
			continue
		}
		copied := make(map[string]int, len(counts))
		for name, n := range counts {
			copied[name] = n
		}
		list = append(list, Counts{Window: number, Counts: copied})
	}
	return list
}

// Source identifies one incarnation of an entry.
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

// Merge merges the cumulative counts of an entry. Counts never decrease.
func (l *Ledger) Merge(source Source, list []Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, report := range list {
		sources := l.windows[report.Window]
		if sources == nil {
			sources = make(map[Source]map[string]int)
			l.windows[report.Window] = sources
		}
		counts := sources[source]
		if counts == nil {
			counts = make(map[string]int, len(report.Counts))
			sources[source] = counts
		}
		for name, n := range report.Counts {
			counts[name] = max(counts[name], n)
		}
	}
}

// Export returns the counts of all windows from the given one on, by source, to
// bring another replica up to date.
func (l *Ledger) Export(from uint64) map[Source][]Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := make(map[Source][]Counts)
	for window, sources := range l.windows {
		if window < from {
			continue
		}
		for source, counts := range sources {
			copied := make(map[string]int, len(counts))
			for name, n := range counts {
				copied[name] = n
			}
			result[source] = append(result[source], Counts{Window: window, Counts: copied})
		}
	}
	return result
}

// Total returns the counts of a window, summed over all entries.
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

// Drop deletes the windows before the given one and returns the number of windows
// left.
func (l *Ledger) Drop(before uint64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window := range l.windows {
		if window < before {
			delete(l.windows, window)
		}
	}
	return len(l.windows)
}
