package rollout

import (
	"sync"
	"time"
)

const (
	// forgetEntryAfter is how long an entry must be silent to count as gone: it then no
	// longer prevents that a roll-out completes. Its evidence stays.
	forgetEntryAfter = 10 * time.Second
	// confirmTTL is how old the report may be by which an entry runs nothing at old
	// endpoints. Entries poll the leader every 400 ms; it outlasts one late poll.
	confirmTTL = 800 * time.Millisecond
)

// Report is the evidence of one entry for one roll-out. An entry sends it with a poll.
type Report struct {
	// ID is that of the record, and Revision the one that the entry acts by.
	ID       uint64 `msgpack:"i"`
	Service  string `msgpack:"s"`
	Revision uint64 `msgpack:"v"`
	// RunningOld is the number of attempts of the entry that run at old endpoints.
	RunningOld int `msgpack:"r,omitempty"`
	// Exposed is the number of requests that the entry sent to the new version while it was
	// not trusted.
	Exposed  int64    `msgpack:"x,omitempty"`
	Evidence Evidence `msgpack:"e,omitempty"`
}

// source is one incarnation of an entry.
type source struct {
	entry       string
	incarnation uint64
}

// receivedReport is the newest report of a source for a roll-out, and when it arrived.
type receivedReport struct {
	report Report
	at     time.Time
}

// Ledger holds the newest reports of all entries at a replica. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// reports holds them by roll-out ID.
	reports map[uint64]map[source]receivedReport
	// polled holds the newest incarnation of each entry and when it polled.
	polled map[string]lastPoll
}

type lastPoll struct {
	incarnation uint64
	at          time.Time
}

// NewLedger returns a ledger without reports.
func NewLedger() *Ledger {
	return &Ledger{reports: make(map[uint64]map[source]receivedReport), polled: make(map[string]lastPoll)}
}

// Observe takes in the reports of a poll of one incarnation of an entry, also if there are
// none. Reports are cumulative: an older one that arrives late changes nothing. now is a
// monotonic time.
func (l *Ledger) Observe(entry string, incarnation uint64, reports []Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.polled[entry] = lastPoll{incarnation, now}
	from := source{entry, incarnation}
	for _, report := range reports {
		sources := l.reports[report.ID]
		if sources == nil {
			sources = make(map[source]receivedReport)
			l.reports[report.ID] = sources
		}
		if last, known := sources[from]; known && report.isOlder(&last.report) {
			continue
		}
		sources[from] = receivedReport{report, now}
	}
}

// isOlder reports whether a report was made before another one of the same source.
func (r *Report) isOlder(other *Report) bool {
	if r.Revision != other.Revision {
		return r.Revision < other.Revision
	}
	own, others := r.Evidence.Total(), other.Evidence.Total()
	return own.Old.Answers+own.New.Answers < others.Old.Answers+others.New.Answers || r.Exposed < other.Exposed
}

// Sums is what all entries reported of a roll-out.
type Sums struct {
	Evidence Evidence
	// RunningOld is the number of attempts at old endpoints. Unconfirmed is the number of
	// entries that polled lately and of which no recent report is known by which they act by
	// the revision of the record.
	RunningOld, Unconfirmed int
	// Exposed is the number of requests that were sent to the new version.
	Exposed int64
}

// Sums returns the sums for a roll-out. now is a monotonic time.
func (l *Ledger) Sums(r *Record, now time.Time) Sums {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := Sums{Evidence: make(Evidence)}
	sources := l.reports[r.ID]
	for _, last := range sources {
		sums.Evidence.Merge(last.report.Evidence)
		sums.Exposed += last.report.Exposed
	}
	for entry, poll := range l.polled {
		if now.Sub(poll.at) > forgetEntryAfter {
			delete(l.polled, entry)
			continue
		}
		last, known := sources[source{entry, poll.incarnation}]
		sums.RunningOld += last.report.RunningOld
		if !known || last.report.Revision < r.Revision || now.Sub(last.at) > confirmTTL {
			sums.Unconfirmed++
		}
	}
	return sums
}

// Retain drops the reports of all roll-outs but those of the given records.
func (l *Ledger) Retain(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[uint64]bool, len(records))
	for i := range records {
		kept[records[i].ID] = true
	}
	for id := range l.reports {
		if !kept[id] {
			delete(l.reports, id)
		}
	}
}
