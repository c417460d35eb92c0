package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// minNotice is how long a draining endpoint on a reclaimable VM is assumed to
	// stay if it does not announce a time.
	minNotice = 1500 * time.Millisecond
	// drainRecordTTL is how long a drain is remembered at least after its endpoint is no longer
	// listed, since the endpoint may be listed again.
	drainRecordTTL = time.Minute
)

// drain is what this entry knows of the drain of an incarnation of an endpoint.
type drain struct {
	born int64
	// since is when this entry learned of the drain.
	since time.Time
	// leavesAt is when the endpoint shuts down as it announced; zero if it did not.
	leavesAt time.Time
	// handled is set once the moves of its streams are scheduled.
	handled bool
}

// drains records the drains of endpoints by their ID. It is safe for concurrent use.
type drains struct {
	mu   sync.Mutex
	list map[string]*drain
}

func newDrains() *drains { return &drains{list: make(map[string]*drain)} }

// note records that an endpoint drains. It must be called with the lock held.
func (d *drains) note(e *registry.Endpoint, now time.Time) *drain {
	known := d.list[e.ID]
	if known == nil || known.born != e.Born {
		known = &drain{born: e.Born, since: now}
		d.list[e.ID] = known
	}
	if known.leavesAt.IsZero() && e.TimeLeftMS > 0 {
		known.leavesAt = now.Add(time.Duration(e.TimeLeftMS) * time.Millisecond)
	}
	return known
}

// takeUnhandled records that an endpoint drains. It returns true once, as soon as the endpoint
// is known to shut down before its work has ended.
func (d *drains) takeUnhandled(e *registry.Endpoint, now time.Time) (drain, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.note(e, now)
	if known.handled || noticeOf(e) <= 0 {
		return *known, false
	}
	known.handled = true
	return *known, true
}

// leavesAt returns when an endpoint shuts down as it announced.
func (d *drains) leavesAt(e *registry.Endpoint) (at time.Time, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.list[e.ID]
	if record == nil || record.born != e.Born || record.leavesAt.IsZero() {
		return time.Time{}, false
	}
	return record.leavesAt, true
}

// forgetUnknown drops the drains of endpoints that are not in the list, after drainRecordTTL.
func (d *drains) forgetUnknown(list []registry.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, record := range d.list {
		listed := slices.ContainsFunc(list, func(e registry.Endpoint) bool { return e.ID == id })
		if !listed && now.Sub(record.since) > drainRecordTTL {
			delete(d.list, id)
		}
	}
}

// noticeOf returns the remaining time of an endpoint that shuts down before its
// work has ended, or 0 for other endpoints.
func noticeOf(e *registry.Endpoint) time.Duration {
	switch {
	case e.State != registry.Draining:
		return 0
	case e.TimeLeftMS > 0:
		return time.Duration(e.TimeLeftMS) * time.Millisecond
	case e.Reclaimable:
		return minNotice
	}
	return 0
}
