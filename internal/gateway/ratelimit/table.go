// Package ratelimit keeps the request rates to which endpoints in need limit all
// entries together. Entries exchange the limits that they read in answers. It does
// no I/O.
package ratelimit

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/changes"
)

const (
	// refreshInterval is how often a limit that an endpoint goes on naming is sent
	// again, and limitTTL is the time without an answer after which a limit no longer
	// holds, so that no endpoint is limited for good by a lost answer.
	refreshInterval = 30 * time.Second
	limitTTL        = 2 * time.Minute
	// maxRecords bounds the records, and maxReports those of one message.
	maxRecords = 8192
	maxReports = 1024
	// minPerS replaces lower limits. An endpoint that gets no request at all could
	// not show that its limit has ended.
	minPerS = 0.25
)

// Limit is what an answer of an endpoint says about its request rate.
type Limit struct {
	// Named is set if the answer names a limit.
	Named bool `msgpack:"n,omitempty"`
	// PerS is the limit in requests per second.
	PerS float64 `msgpack:"p,omitempty"`
}

// Report is what one daemon tells another about the limit of an endpoint.
type Report struct {
	Endpoint string `msgpack:"e"`
	// Born tells incarnations of the endpoint apart.
	Born  int64 `msgpack:"b"`
	Limit Limit `msgpack:"l"`
	// AgeMS is the time since the answer in milliseconds. An age is sent instead of a
	// time, because the clocks of VMs may differ.
	AgeMS int64 `msgpack:"a"`
}

// record is the newest known limit of one incarnation of an endpoint.
type record struct {
	limit Limit
	born  int64
	// observedAt is the time of the answer, and sentAt that at which the record was
	// last marked as changed.
	observedAt, sentAt time.Time
	// version is the number of the last change, and ownVersion that of the last change
	// that this daemon observed itself.
	version, ownVersion uint64
}

// isNewer reports whether an answer replaces the record.
func (r *record) isNewer(born int64, observedAt time.Time) bool {
	return born > r.born || born == r.born && observedAt.After(r.observedAt)
}

// Table holds the limits of endpoints. Entries can merge reports in any order: the
// newest answer of the newest incarnation holds. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[string]*record
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[string]*record)} }

// Observe records what an answer of an endpoint says, and reports whether that
// changes its limit. An endpoint has no limit until it names one.
func (t *Table) Observe(endpoint string, born int64, limit Limit, now time.Time) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[endpoint]
	if r == nil && !limit.Named || r != nil && !r.isNewer(born, now) {
		return false
	}
	return t.set(endpoint, born, limit, now, true, now)
}

// Merge applies the reports of another daemon and returns those that changed a limit.
func (t *Table) Merge(reports []Report, now time.Time) (changed []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		observedAt := now.Add(-time.Duration(max(report.AgeMS, 0)) * time.Millisecond)
		r := t.records[report.Endpoint]
		if r != nil && !r.isNewer(report.Born, observedAt) || now.Sub(observedAt) > limitTTL {
			continue
		}
		if t.set(report.Endpoint, report.Born, report.Limit, observedAt, false, now) {
			changed = append(changed, report)
		}
	}
	return changed
}

// set stores a limit. It marks the record as changed if the limit is another one or
// was not sent for a while. It must be called with the lock held.
func (t *Table) set(endpoint string, born int64, limit Limit, observedAt time.Time, own bool, now time.Time) (changed bool) {
	r := t.records[endpoint]
	if r == nil {
		if len(t.records) >= maxRecords {
			return false
		}
		r = &record{}
		t.records[endpoint] = r
	}
	changed = r.limit != limit || r.born != born
	r.limit, r.born, r.observedAt = limit, born, observedAt
	if !changed && (!limit.Named || now.Sub(r.sentAt) < refreshInterval) {
		return false
	}
	t.version++
	r.version, r.sentAt = t.version, now
	if own {
		r.ownVersion = t.version
	}
	return changed
}

// Changes returns the records that changed after a version and the version to pass
// to the next call. ownOnly limits them to changes that this daemon observed itself,
// for a peer that receives the others from their observers.
func (t *Table) Changes(version uint64, ownOnly bool, now time.Time) (reports []Report, next uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []changes.Change[Report]
	for endpoint, r := range t.records {
		changedAt := r.version
		if ownOnly {
			changedAt = r.ownVersion
		}
		if changedAt > version {
			changed = append(changed, changes.Change[Report]{Version: changedAt, Value: Report{endpoint, r.born, r.limit, now.Sub(r.observedAt).Milliseconds()}})
		}
	}
	return changes.Oldest(changed, maxReports, t.version)
}

// Limits returns the limits in force in requests per second, by endpoint, and the
// incarnation of each endpoint that named it.
func (t *Table) Limits(now time.Time) map[string]EndpointLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	limits := make(map[string]EndpointLimit)
	for endpoint, r := range t.records {
		if r.limit.Named && now.Sub(r.observedAt) <= limitTTL {
			limits[endpoint] = EndpointLimit{Born: r.born, PerS: max(r.limit.PerS, minPerS)}
		}
	}
	return limits
}

// EndpointLimit is the limit in force of one incarnation of an endpoint.
type EndpointLimit struct {
	Born int64
	PerS float64
}

// Expire drops the records of endpoints that have not answered for limitTTL.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for endpoint, r := range t.records {
		if now.Sub(r.observedAt) > limitTTL {
			delete(t.records, endpoint)
		}
	}
}
