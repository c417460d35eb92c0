package ledger

import (
	"encoding/json"
	"time"
)

// Dump returns the whole state as indented JSON for inspection.
func (s *State) Dump() ([]byte, error) {
	return json.MarshalIndent(s.Freeze().snapshotImage(), "", "  ")
}

// ClaimCount returns the number of running and ended claims in the state.
func (s *State) ClaimCount() int { return len(s.claims) }

// Now returns the time of the ledger: the sum of the elapsed durations in commands.
func (s *State) Now() time.Duration { return s.now }

// Running returns the number of running claims of each owner that has any.
func (s *State) Running() map[string]int {
	counts := make(map[string]int, len(s.running))
	for name, keys := range s.running {
		counts[name] = len(keys)
	}
	return counts
}
