package rollout

import (
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// Table holds the records that an entry knows, and its part in each roll-out. It is safe for
// concurrent use.
type Table struct {
	entry string
	// size is the number of records, so that nothing is locked while there are none.
	size atomic.Int64
	// confirmedAt is the time as of which a replica knew that it has the newest records, also
	// if there are none.
	confirmedAt atomic.Int64

	mu sync.Mutex
	// knownAt is the time as of which the records were known to be the newest.
	knownAt  bootclock.Instant
	accounts map[string]*account
	versions knownVersions
}

// NewTable returns a table of the named entry without records.
func NewTable(entry string) *Table {
	return &Table{entry: entry, accounts: make(map[string]*account)}
}

// Update is what an entry learned of the records.
type Update struct {
	Records []Record
	// KnownAt is the time as of which the replica knew that its records are the newest; 0 if
	// it does not know.
	KnownAt bootclock.Instant
	// StartedAt is the agreed time at which the entry started, and Entries the number of
	// entries that it knows.
	StartedAt time.Time
	Entries   int
}

// Apply takes over records, and returns those that changed. The newest revision of each
// service holds.
func (t *Table) Apply(u Update) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.knownAt = max(t.knownAt, u.KnownAt)
	var changed []Record
	for _, record := range u.Records {
		a := t.accounts[record.Service]
		switch {
		case a != nil && a.record.Revision >= record.Revision:
			continue
		case a != nil && a.record.ID == record.ID:
			a.record = record
		default:
			t.accounts[record.Service] = t.open(record, &u)
		}
		changed = append(changed, record)
	}
	t.size.Store(int64(len(t.accounts)))
	t.versions.decide(t.knownAt)
	return changed
}

// open returns the account of this entry for a roll-out. Only an entry that was there when it
// was ordered has a part of the allowance.
func (t *Table) open(r Record, u *Update) *account {
	a := &account{record: r, deficits: make(map[string]float64), evidence: make(Evidence), phase: t.phase(r.ID)}
	a.pace = a.phase
	if !u.StartedAt.Add(startMargin).Before(r.OrderedAt()) {
		return a
	}
	part := r.Bounds.Allowance / float64(max(u.Entries, r.Entries, 1))
	a.credit, a.reserve = initialShare*part, reservedShare*part
	if len(r.Starters) > 0 {
		a.credit = 0
		if slices.Contains(r.Starters, t.entry) {
			a.credit = initialShare * r.Bounds.Allowance / float64(len(r.Starters))
		}
	}
	return a
}

// phase returns a number from 0 to 1 that differs among entries, so that they do not send
// their first exposed requests at the same time.
func (t *Table) phase(id uint64) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.entry))
	_, _ = h.Write([]byte{byte(id), byte(id >> 8), byte(id >> 16), byte(id >> 24)})
	return float64(h.Sum32()) / (1 << 32)
}

// Empty reports whether there are no records. It takes no lock.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Confirm takes over the time as of which a replica knew that it has the newest records.
func (t *Table) Confirm(at bootclock.Instant) {
	for {
		last := t.confirmedAt.Load()
		if int64(at) <= last || t.confirmedAt.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// Confirmed reports whether the entry would know if a roll-out had been ordered.
func (t *Table) Confirmed(clock bootclock.Instant) bool {
	at := bootclock.Instant(t.confirmedAt.Load())
	return at > 0 && clock.Sub(at) <= maxSilence
}

// SetReady sets the numbers of ready endpoints. count returns those of the old and of the new
// version of a service.
func (t *Table) SetReady(count func(service, to string) (readyOld, readyNew int)) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, a := range t.accounts {
		a.readyOld, a.readyNew = count(service, a.record.To)
	}
}

// Arrive counts a request of a caller, once however often it is sent. now is agreed time.
func (t *Table) Arrive(service, route string, now time.Time) Ticket {
	if t.Empty() {
		return Ticket{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[service]; a != nil {
		return a.arrive(route, now)
	}
	return Ticket{}
}

// Split decides which version may get an attempt. now is agreed time, and clock the time of
// the clock that Update.KnownAt is measured with.
func (t *Table) Split(attempt Attempt, now time.Time, clock bootclock.Instant) Decision {
	if t.Idle() {
		return Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if withheld := t.versions.withheld[attempt.Service]; attempt.Bound == nil && t.withholds(attempt.Service, withheld) {
		return Decision{To: withheld, Side: Old}
	}
	a := t.accounts[attempt.Service]
	if a == nil {
		return Decision{}
	}
	return a.split(&attempt, t.fresh(clock), now)
}

// fresh reports whether the records are known to be the newest. The caller must hold mu.
func (t *Table) fresh(clock bootclock.Instant) bool {
	return t.knownAt > 0 && clock.Sub(t.knownAt) <= maxSilence
}

// Return gives a charge back whose request was not sent to the new version. It may be nil.
func (t *Table) Return(x *Exposure) {
	if x == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x.account.refund(x)
}

// MayReceive reports whether a request that was meant for a version may still be sent to it.
func (t *Table) MayReceive(service, version string, clock bootclock.Instant) bool {
	if t.Idle() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[service]
	if a == nil || a.record.To != version {
		return !t.withholds(service, version)
	}
	switch a.record.Phase {
	case Canary:
		return t.fresh(clock)
	case Reverted:
		return false
	}
	return true
}

// Sample is the result of a request, or a part of it. Zero fields are not counted.
type Sample struct {
	Service, Route, Version string
	// ID is that of the record at the start of the request.
	ID uint64
	// Ended counts an attempt, and Failed a failure.
	Ended, Failed bool
	// Time is that to the answer or the first event.
	Time time.Duration
}

// ActiveID returns the ID of the roll-out by which the results of a service are compared; 0
// if there is none, or no endpoint of the new version.
func (t *Table) ActiveID(service string) uint64 {
	if t.Empty() {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[service]; a != nil && !a.record.Ended() && a.readyNew > 0 {
		return a.record.ID
	}
	return 0
}

// Record counts a result as evidence.
func (t *Table) Record(s *Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[s.Service]
	if a == nil || a.record.ID != s.ID {
		return
	}
	counts := a.evidence[s.Route]
	side := &counts.Old
	if s.Version == a.record.To {
		side = &counts.New
	}
	if s.Ended {
		side.Answers++
	}
	if s.Failed {
		side.Failures++
	}
	if s.Time > 0 {
		side.Times[bucketOf(s.Time)]++
	}
	a.evidence[s.Route] = counts
}

// Reports returns the reports of all roll-outs that have not ended, for a poll. runningOld
// returns the number of attempts of a service at other versions than the given one.
func (t *Table) Reports(runningOld func(service, to string) int) []Report {
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Report
	for service, a := range t.accounts {
		if a.record.Ended() {
			continue
		}
		list = append(list, Report{
			ID: a.record.ID, Service: service, Revision: a.record.Revision, Exposed: a.exposed,
			RunningOld: runningOld(service, a.record.To), Evidence: a.evidence.Since(nil),
		})
	}
	return list
}
