package entry

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// minNotice is how long a draining endpoint on a reclaimable VM is assumed to
	// stay if it does not announce a time.
	minNotice = 1500 * time.Millisecond
	// drainRecordTTL is how long a drain is remembered after its endpoint was listed last: its
	// streams may still be read, and it may be listed again.
	drainRecordTTL = time.Minute
)

// incarnation identifies one run of an endpoint, from its start to its end.
type incarnation struct {
	id   string
	born int64
}

func incarnationOf(e *registry.Endpoint) incarnation { return incarnation{e.ID, e.Born} }

// drain is what this entry knows of the drain of an incarnation of an endpoint.
type drain struct {
	// since is when this entry learned of the drain, and listedAt when the endpoint was listed last.
	since, listedAt time.Time
	// leavesAt is the earliest time at which the endpoint said that it shuts down; zero if it named
	// none.
	leavesAt time.Time
	// evacuatedFor is the shutdown for which the moves of its streams are scheduled; zero if they
	// are not.
	evacuatedFor time.Time
}

// drains records the drains of endpoints. It is safe for concurrent use.
type drains struct {
	mu   sync.Mutex
	list map[incarnation]*drain
}

func newDrains() *drains { return &drains{list: make(map[incarnation]*drain)} }

// note records that an endpoint drains. It must be called with the lock held.
func (d *drains) note(e *registry.Endpoint, now time.Time) *drain {
	known := d.list[incarnationOf(e)]
	if known == nil {
		known = &drain{since: now, listedAt: now}
		d.list[incarnationOf(e)] = known
	}
	if e.TimeLeftMS <= 0 {
		return known
	}
	leavesAt := now.Add(time.Duration(e.TimeLeftMS) * time.Millisecond)
	if known.leavesAt.IsZero() || leavesAt.Before(known.leavesAt) {
		known.leavesAt = leavesAt
	}
	return known
}

// takeUnhandled records that an endpoint drains. It returns true as soon as the endpoint is known
// to shut down before its work has ended, and again when it is known to shut down earlier.
func (d *drains) takeUnhandled(e *registry.Endpoint, now time.Time) (drain, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.note(e, now)
	notice := noticeOf(e)
	if notice <= 0 {
		return *known, false
	}
	end := now.Add(notice)
	if !known.evacuatedFor.IsZero() && !end.Before(known.evacuatedFor.Add(-shutdownDoubt)) {
		return *known, false
	}
	known.evacuatedFor = end
	return *known, true
}

// leavesAt returns when an endpoint shuts down as it announced.
func (d *drains) leavesAt(e *registry.Endpoint) (at time.Time, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.list[incarnationOf(e)]
	if record == nil || record.leavesAt.IsZero() {
		return time.Time{}, false
	}
	return record.leavesAt, true
}

// forgetUnknown drops the drains of endpoints that have not been in the list for drainRecordTTL.
func (d *drains) forgetUnknown(list []registry.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range list {
		if record := d.list[incarnationOf(&list[i])]; record != nil {
			record.listedAt = now
		}
	}
	for key, record := range d.list {
		if now.Sub(record.listedAt) > drainRecordTTL {
			delete(d.list, key)
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
