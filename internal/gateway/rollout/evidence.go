package rollout

import "time"

// TimeBuckets is the number of ranges in which times to answer are counted.
const TimeBuckets = 16

// Counts holds the results of the requests of one version at one route.
type Counts struct {
	// Answers counts all results, and Failures those of them that are failures: server
	// errors, answers that ended early or did not arrive.
	Answers  int64 `msgpack:"a"`
	Failures int64 `msgpack:"f,omitempty"`
	// Times counts the other results by their time to the answer or the first event.
	Times [TimeBuckets]int64 `msgpack:"t"`
}

// RouteCounts holds the results of both versions at a route.
type RouteCounts struct {
	Old Counts `msgpack:"o"`
	New Counts `msgpack:"n"`
}

// Evidence holds the results of a roll-out by route. The counts are cumulative.
type Evidence map[string]RouteCounts

// Merge adds the counts of another source to e, which must not be nil.
func (e Evidence) Merge(other Evidence) {}

// Since returns the counts that were added since an earlier state.
func (e Evidence) Since(earlier Evidence) Evidence { return nil }

// Total returns the sum over all routes.
func (e Evidence) Total() RouteCounts { return RouteCounts{} }

// Report is the evidence of one entry for one roll-out. An entry sends it with a poll.
type Report struct {
	// ID is that of the record, and Revision the one that the entry acts by.
	ID       uint64 `msgpack:"i"`
	Service  string `msgpack:"s"`
	Revision uint64 `msgpack:"v"`
	// RunningOld is the number of attempts of the entry that run at old endpoints.
	RunningOld int `msgpack:"r,omitempty"`
	// Exposed is the number of requests that the entry sent to the new version.
	Exposed  int64    `msgpack:"x,omitempty"`
	Evidence Evidence `msgpack:"e,omitempty"`
}

// Ledger holds the newest reports of all entries at a replica. It is safe for concurrent use.
type Ledger struct{}

// NewLedger returns a ledger without reports.
func NewLedger() *Ledger { return &Ledger{} }

// Observe takes in the reports of a poll of one incarnation of an entry. Reports are
// cumulative: an older one that arrives late changes nothing.
func (l *Ledger) Observe(entry string, incarnation uint64, reports []Report, now time.Time) {}

// Sums is what all entries reported of a roll-out.
type Sums struct {
	Evidence Evidence
	// RunningOld is the number of attempts at old endpoints, and Unconfirmed the number of
	// entries that poll but have not reported to act by the revision of the record.
	RunningOld, Unconfirmed int
	// Exposed is the number of requests that were sent to the new version.
	Exposed int64
}

// Sums returns the sums for a roll-out. now is a monotonic time.
func (l *Ledger) Sums(r *Record, now time.Time) Sums { return Sums{} }

// Retain drops the reports of all roll-outs but those of the given records.
func (l *Ledger) Retain(records []Record) {}
