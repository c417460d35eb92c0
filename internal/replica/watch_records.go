package replica

import (
	"sync"

	"github.com/boragelead/boragelead/internal/port"
)

// recordWatch holds the newest applied record of each series and wakes watchers when one
// changes.
type recordWatch struct {
	mu      sync.Mutex
	newest  []port.RecordRequest
	changed chan struct{}
}

func (w *recordWatch) init() { w.changed = make(chan struct{}) }

// set replaces the records and wakes all watchers.
func (w *recordWatch) set(newest []port.RecordRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest = newest
	close(w.changed)
	w.changed = make(chan struct{})
}

// get returns the records, and a channel that is closed at their next change.
func (w *recordWatch) get() ([]port.RecordRequest, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest, w.changed
}

// publishRecords runs in the event loop, after entries or a snapshot were applied.
func (r *Replica) publishRecords() {
	if r.recordsChanged {
		r.recordsChanged = false
		r.records.set(r.ledger.NewestRecords(""))
	}
}

// AppliedRecords returns the newest record of each series that this replica has applied,
// ordered by series, and a channel that is closed at the next change. The caller must not
// change the list.
func (r *Replica) AppliedRecords() ([]port.RecordRequest, <-chan struct{}) { return r.records.get() }
