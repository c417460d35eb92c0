package ledger

import (
	"cmp"
	"slices"

	"github.com/boragelead/boragelead/internal/port"
)

// maxRecords bounds the records of one series. Records with the lowest keys are
// removed first.
const maxRecords = 256

// record stores the first value of a key. A later request for the key returns
// that value, so that a repeated report is identical to the first one. Once the
// series is full, a key below all stored keys is refused, because its record may
// have been removed.
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
	// The slice is copied because a frozen view may share the old one.
	next := slices.Insert(slices.Clone(list), at, *req)
	if extra := len(next) - maxRecords; extra > 0 {
		next = next[extra:]
	}
	s.records[req.Series] = next
	return Outcome{Record: req}
}
