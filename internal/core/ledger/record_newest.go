package ledger

import (
	"maps"
	"slices"
	"strings"

	"github.com/boragelead/boragelead/internal/port"
)

// NewestRecords returns the record with the highest key of each series whose name begins
// with prefix, ordered by series.
func (s *State) NewestRecords(prefix string) []port.RecordRequest {
	var newest []port.RecordRequest
	for _, series := range slices.Sorted(maps.Keys(s.records)) {
		if list := s.records[series]; strings.HasPrefix(series, prefix) && len(list) > 0 {
			newest = append(newest, list[len(list)-1])
		}
	}
	return newest
}
