package state

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/port"
)

// rolloutSeries is the name of the record series of roll-outs in the ledger. The key is the
// revision, and the value holds the newest roll-out of every service. The first value of a
// key stays, so that writing the next key is a compare-and-set on the revision.
const rolloutSeries = "rollouts"

// rolloutTable holds the newest roll-outs of all services at one revision, ordered by
// service. It is not changed after it was decoded.
type rolloutTable struct {
	revision uint64
	records  []rollout.Record
}

// newestRollouts returns the record of the newest table among the newest records of the ledger,
// or nil if there is none.
func newestRollouts(newest []port.RecordRequest) *port.RecordRequest {
	for i := range newest {
		if newest[i].Series == rolloutSeries {
			return &newest[i]
		}
	}
	return nil
}

// decodeRollouts returns the table that the newest records of the ledger hold, or an empty
// one.
func decodeRollouts(newest []port.RecordRequest) (rolloutTable, error) {
	record := newestRollouts(newest)
	if record == nil {
		return rolloutTable{}, nil
	}
	table := rolloutTable{revision: record.Key}
	err := msgpack.Unmarshal(record.Value, &table.records)
	return table, eris.Wrap(err, "decode roll-outs")
}

// of returns the newest roll-out of a service, or nil.
func (t *rolloutTable) of(service string) *rollout.Record {
	for i := range t.records {
		if t.records[i].Service == service {
			return &t.records[i]
		}
	}
	return nil
}

// with returns the table after a record was replaced or added, at the next revision. It
// drops the ended roll-outs of services that are gone, so that the table stays bounded.
func (t *rolloutTable) with(r rollout.Record, isGone func(service string) bool) rolloutTable {
	next := rolloutTable{revision: t.revision + 1}
	r.Revision = next.revision
	if r.Ended() {
		// Nothing is exposed any more, and the table is kept for many revisions.
		r.Starters = nil
	}
	for i := range t.records {
		old := t.records[i]
		if old.Service != r.Service && !(old.Ended() && isGone(old.Service)) {
			next.records = append(next.records, old)
		}
	}
	next.records = append(next.records, r)
	slices.SortFunc(next.records, func(a, b rollout.Record) int { return strings.Compare(a.Service, b.Service) })
	return next
}

// RolloutConflictError reports that the table of roll-outs changed since it was read.
type RolloutConflictError struct{}

// Error implements error.
func (*RolloutConflictError) Error() string { return "roll-outs changed meanwhile" }

// readRollouts returns the table by a linearizable read. The error is one of the ledger.
func (s *State) readRollouts(ctx context.Context) (rolloutTable, error) {
	newest, err := s.replica.NewestRecords(ctx, rolloutSeries)
	if err != nil {
		return rolloutTable{}, err
	}
	return decodeRollouts(newest)
}

// writeRollouts commits a table whose predecessor was read. It returns after a majority has
// synced it to disk. The error is a *RolloutConflictError, or one of the ledger, after which
// the table may still be written.
func (s *State) writeRollouts(ctx context.Context, next *rolloutTable) error {
	value, err := msgpack.Marshal(next.records)
	if err != nil {
		return eris.Wrap(err, "encode roll-outs")
	}
	stored, err := s.replica.Record(ctx, port.RecordRequest{Series: rolloutSeries, Key: next.revision, Value: value})
	var refused *ledger.CommandError
	switch {
	case errors.As(err, &refused):
		// The series holds only later revisions.
		return &RolloutConflictError{}
	case err != nil:
		return err
	case !bytes.Equal(stored, value):
		return &RolloutConflictError{}
	}
	return nil
}

// appliedRollouts returns the table that this replica has applied, and a channel that is
// closed at the next change of any record of the ledger.
func (s *State) appliedRollouts() (rolloutTable, <-chan struct{}) {
	newest, changed := s.replica.AppliedRecords()
	return s.rolloutCache.table(newest, func(err error) {
		s.options.Metrics.Counter("state_rollouts_unreadable").Inc()
		s.log.Error("Roll-outs in the log are not readable; none is stepped or sent to entries.", zap.Error(err))
	}), changed
}

// rolloutCache keeps the table that was decoded last, because each poll needs it. It is safe
// for concurrent use.
type rolloutCache struct {
	mu   sync.Mutex
	last rolloutTable
}

// table returns the table that the newest records of the ledger hold. An unreadable one is
// reported and counts as empty.
func (c *rolloutCache) table(newest []port.RecordRequest, report func(error)) rolloutTable {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := newestRollouts(newest)
	if record == nil {
		return rolloutTable{}
	}
	if c.last.revision != record.Key {
		table, err := decodeRollouts(newest)
		if err != nil {
			report(err)
			table = rolloutTable{revision: record.Key}
		}
		c.last = table
	}
	return c.last
}

// rolloutAge returns how long ago this replica last knew that its roll-outs are the newest,
// in milliseconds; negative means that it does not know. Only a leader knows: one that a
// majority confirms has applied all that was committed before. A follower that hears the
// leader may still lack entries of the log.
func (s *State) rolloutAge() int64 {
	if !s.isLeader() {
		return -1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return bootclock.Now().Sub(s.confirmedAt).Milliseconds()
}

// addRollouts adds the roll-outs to a reply if the entry does not have them, and reports
// whether to send the reply at once. The request arrived at arrivedAt. A request without a version
// may be one of an entry of an older build, which would poll again without a pause.
func (s *State) addRollouts(
	request *link.PollRequest, reply *link.PollReply, arrivedAt bootclock.Instant,
) (urgent bool, changed <-chan struct{}) {
	// The order matters: the table must not be older, nor the time held longer, than the age
	// tells.
	reply.RolloutHeldMS = bootclock.Now().Sub(arrivedAt).Milliseconds()
	reply.RolloutAgeMS = s.rolloutAge()
	table, changed := s.appliedRollouts()
	reply.RolloutVersion = table.revision
	if table.revision == request.RolloutVersion {
		return false, changed
	}
	reply.Rollouts = table.records
	return request.RolloutVersion != 0, changed
}
