package member

import (
	"slices"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// Removal is the reason why an endpoint was removed.
type Removal uint8

// Kinds of removal.
const (
	NotRemoved Removal = iota
	// Expired means that the lease ended; the same incarnation may come back.
	Expired
	// Withdrawn means that the endpoint reported that it stopped; the incarnation never comes back.
	Withdrawn
)

// Endpoint is an entry of the registry. It is immutable once published.
type Endpoint struct {
	endpoint.Announcement
	// LoadAt is the local time at which the load was measured.
	LoadAt time.Time
	// Expires is the local time at which the lease ends without renewal. The lease
	// of an endpoint of another host is also renewed while that host is alive.
	Expires time.Time
	// LeaveBy is the local time at which a leaving endpoint stops; zero if unknown.
	LeaveBy time.Time
	// Host is the instance of the daemon that the endpoint announces to.
	Host uint64
	// Number is the short number that the host assigned to the endpoint.
	Number uint16
	// Stamp grows with each announcement of an incarnation, across hosts.
	Stamp uint32
	// Removed is set on tombstones, which readers do not get.
	Removed Removal
	// removedAt is the local time of the removal.
	removedAt time.Time
}

// Record is an endpoint as daemons send it to each other.
type Record struct {
	Announcement endpoint.Announcement
	Host         uint64
	Number       uint16
	Stamp        uint32
	Removed      Removal
	// LeaseLeftMS is the remaining time of the lease at the sender. It keeps a
	// forwarded record from extending the lease.
	LeaseLeftMS int64
}

// supersedes reports whether a replaces b. It defines a total order of records
// that are not equal, so that all daemons choose the same record.
func supersedes(a, b *Endpoint) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if (a.Removed == Withdrawn) != (b.Removed == Withdrawn) {
		return a.Removed == Withdrawn
	}
	if a.Stamp != b.Stamp {
		return int32(a.Stamp-b.Stamp) > 0
	}
	if a.Removed != b.Removed {
		return a.Removed > b.Removed
	}
	return a.Host > b.Host
}

// preserveLeaving copies the leaving state to a later record of the same
// incarnation, because a leaving endpoint is never ready again in that incarnation.
func preserveLeaving(next, old *Endpoint) {
	if old == nil || old.Incarnation != next.Incarnation || old.State != endpoint.StateLeaving {
		return
	}
	next.State = endpoint.StateLeaving
	if next.LeaveBy.IsZero() || (!old.LeaveBy.IsZero() && old.LeaveBy.Before(next.LeaveBy)) {
		next.LeaveBy = old.LeaveBy
	}
}

// sameDescription reports whether two announcements differ only in load.
func sameDescription(a, b *endpoint.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Slots == b.Slots &&
		a.BaseURL == b.BaseURL && a.FailureDomain == b.FailureDomain && a.Kind == b.Kind &&
		a.Service == b.Service && a.VM == b.VM && a.Class == b.Class && a.Role == b.Role &&
		a.KVCapacityTokens == b.KVCapacityTokens && a.Fencing == b.Fencing &&
		a.ChecksCaller == b.ChecksCaller && a.Reclaimable == b.Reclaimable && a.LeaseMS == b.LeaseMS &&
		slices.EqualFunc(a.Models, b.Models, sameModel)
}

func sameModel(a, b endpoint.LoadedModel) bool {
	return a.Name == b.Name && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

func (e *Endpoint) record(now time.Time) Record {
	r := Record{Announcement: e.Announcement, Host: e.Host, Number: e.Number, Stamp: e.Stamp, Removed: e.Removed}
	r.Announcement.Load.AgeMS = now.Sub(e.LoadAt).Milliseconds()
	r.LeaseLeftMS = max(0, e.Expires.Sub(now).Milliseconds())
	if !e.LeaveBy.IsZero() {
		r.Announcement.DeadlineMS = max(1, e.LeaveBy.Sub(now).Milliseconds())
	}
	return r
}

func fromRecord(r *Record, now time.Time) *Endpoint {
	e := fromAnnouncement(r.Announcement, now)
	e.Host = r.Host
	e.Number = r.Number
	e.Stamp = r.Stamp
	e.Removed = r.Removed
	e.Expires = now.Add(time.Duration(min(r.LeaseLeftMS, r.Announcement.LeaseMS)) * time.Millisecond)
	if r.Removed != NotRemoved {
		e.removedAt = now
	}
	return e
}

func fromAnnouncement(a endpoint.Announcement, now time.Time) *Endpoint {
	e := &Endpoint{
		Announcement: a,
		LoadAt:       now.Add(-time.Duration(a.Load.AgeMS) * time.Millisecond),
		Expires:      now.Add(time.Duration(a.LeaseMS) * time.Millisecond),
	}
	if a.State == endpoint.StateLeaving && a.DeadlineMS > 0 {
		e.LeaveBy = now.Add(time.Duration(a.DeadlineMS) * time.Millisecond)
	}
	return e
}
