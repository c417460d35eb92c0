package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Phase is the state of a roll-out.
type Phase uint8

const (
	// Canary is the phase in which the new version gets a small share of the requests.
	Canary Phase = iota + 1
	// Shifting is the phase in which new requests go to the new version.
	Shifting
	// Completed is the end of a roll-out in which the new version replaced the old one.
	Completed
	// Reverted is the end of a roll-out in which the new version gets nothing more.
	Reverted
)

// String returns the name of the phase in log lines and metrics.
func (p Phase) String() string {
	switch p {
	case Canary:
		return "canary"
	case Shifting:
		return "shifting"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	}
	return "unknown"
}

// Order is what an operator ordered.
type Order struct {
	Service  string
	To       string
	Duration time.Duration
}

// Bounds limit the exposure of requests to a version that is not trusted yet.
type Bounds struct {
	// Share is the part of the requests that the new version may get, and Allowance the
	// number of requests that it may get in addition.
	Share     float64 `msgpack:"s"`
	Allowance float64 `msgpack:"a"`
}

// Record is what the replicated log holds of the newest roll-out of a service.
type Record struct {
	// ID tells the roll-outs of a service apart. It is not 0.
	ID         uint64 `msgpack:"i"`
	Service    string `msgpack:"s"`
	To         string `msgpack:"t"`
	DurationMS int64  `msgpack:"d"`
	// OrderedAtNS and PhaseAtNS are the agreed times at which the roll-out was ordered and
	// its phase began, in Unix nanoseconds.
	OrderedAtNS int64  `msgpack:"o"`
	PhaseAtNS   int64  `msgpack:"p"`
	Phase       Phase  `msgpack:"f"`
	Reason      string `msgpack:"r,omitempty"`
	// Revision grows with each change of the records of all services. It is the revision of
	// the change that wrote this record.
	Revision uint64 `msgpack:"v"`
	Bounds   Bounds `msgpack:"b"`
	// Entries is the number of entries that the leader knew when the roll-out was ordered.
	Entries int `msgpack:"n"`
	// Starters are the names of the entries that may use the allowance; without any, all
	// entries have an even part of it.
	Starters []string `msgpack:"e,omitempty"`
}

// NewRecord returns the record of an order that is accepted at an agreed time. The caller
// sets Revision when it writes the record.
func NewRecord(o Order, id uint64, b Bounds, entries int, now time.Time) Record {
	return Record{
		ID: id, Service: o.Service, To: o.To, DurationMS: o.Duration.Milliseconds(), Bounds: b, Entries: entries,
		OrderedAtNS: now.UnixNano(), PhaseAtNS: now.UnixNano(), Phase: Canary, Reason: ReasonOrdered,
	}
}

// ChooseStarters returns the entries with the greatest demand for a service, so many that each
// may use the allowance for at least one whole request. An entry that gets few requests
// during the roll-out would not earn the credit for one. perS is the demand by entry.
func ChooseStarters(perS map[string]float64, b Bounds) []string {
	names := slices.SortedFunc(maps.Keys(perS), func(a, b string) int {
		return cmp.Or(cmp.Compare(perS[b], perS[a]), cmp.Compare(a, b))
	})
	return names[:min(len(names), int(initialShare*b.Allowance))]
}

// Reasons of the phases of records.
const (
	ReasonOrdered     = "ordered"
	ReasonSoleVersion = "version already serves alone"
	ReasonTrusted     = "no fault found"
	ReasonEmpty       = "old version is empty"
	ReasonDeadline    = "deadline passed"
	ReasonNoEndpoints = "too few endpoints of the new version"
	ReasonUntested    = "too few answers of the new version"
	ReasonAborted     = "aborted by the operator"
	ReasonRemoved     = "service removed"
)

// Repeats reports whether an order repeats the one of the record.
func (r *Record) Repeats(o Order) bool {
	return r.Service == o.Service && r.To == o.To && r.DurationMS == o.Duration.Milliseconds()
}

// Ended reports whether the roll-out is completed or reverted.
func (r *Record) Ended() bool { return r.Phase == Completed || r.Phase == Reverted }

// Duration returns the time from the order to the deadline.
func (r *Record) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// OrderedAt returns the agreed time of the order.
func (r *Record) OrderedAt() time.Time { return time.Unix(0, r.OrderedAtNS) }

// PhaseAt returns the agreed time at which the phase began.
func (r *Record) PhaseAt() time.Time { return time.Unix(0, r.PhaseAtNS) }

// Deadline returns the agreed time by which the roll-out must end.
func (r *Record) Deadline() time.Time { return r.OrderedAt().Add(r.Duration()) }

// End returns the record with the roll-out ended: Completed or Reverted.
func (r Record) End(phase Phase, reason string, now time.Time) Record {
	r.Phase, r.Reason, r.PhaseAtNS = phase, reason, now.UnixNano()
	return r
}
