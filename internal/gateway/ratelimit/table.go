// Package ratelimit keeps the request rates to which endpoints in need limit all
// entries together. It does no I/O.
package ratelimit

import (
	"sync"
	"time"
)

// Limit is what an answer of an endpoint says about its request rate.
type Limit struct {
	// Named is set if the answer names a limit.
	Named bool
	// PerS is the limit in requests per second.
	PerS float64
}

// record is the newest known limit of one incarnation of an endpoint.
type record struct {
	limit Limit
	born  int64
	at    time.Time
}

// Table holds the limits of endpoints. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[string]*record
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*record)} }

// Observe records what an answer of an endpoint says, and reports whether that
// changes its limit. An endpoint has no limit until it names one.
func (t *Table) Observe(endpoint string, born int64, limit Limit, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil || r.born < born {
		if !limit.Named {
			return false
		}
		t.records[endpoint] = &record{limit: limit, born: born, at: now}
		return true
	}
	if r.born > born {
		return false
	}
	changed = r.limit != limit
	r.limit, r.at = limit, now
	return changed
}
