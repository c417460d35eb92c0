package ledger

import (
	"cmp"
	"slices"

	"github.com/boragelead/boragelead/internal/port"
)

// maxRecords bounds the records of one series; the lowest keys leave first.
const maxRecords = 256

// record keeps the first value of a key. A later request gets that value, so
// that whoever repeats a report repeats it exactly. A key below all that are
// kept gets none: whether it had a value before is no longer known.
func (s *State) record(req *port.RecordRequest) Outcome {
	list := s.records[req.Series]
	at, found := slices.BinarySearchFunc(list, req.Key, func(r port.RecordRequest, key uint64) int {
		return cmp.Compare(r.Key, key)
	})
	if found {
		kept := list[at]
		return Outcome{Record: &kept}
	}
	if at == 0 && len(list) >= maxRecords {
		return Outcome{Invalid: &CommandError{Reason: "record is older than those kept"}}
	}
	// A new slice, because a frozen view may share the old one.
	next := slices.Insert(slices.Clone(list), at, *req)
	if extra := len(next) - maxRecords; extra > 0 {
		next = next[extra:]
	}
	s.records[req.Series] = next
	return Outcome{Record: req}
}
