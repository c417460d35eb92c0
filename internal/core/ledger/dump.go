package ledger

import (
	"encoding/json"
	"time"
)

// Dump returns the whole state as JSON for inspection.
func (s *State) Dump() ([]byte, error) { return json.MarshalIndent(s.Freeze().image(), "", "  ") }

// ClaimCount is the number of claims that are kept.
func (s *State) ClaimCount() int { return len(s.claims) }

// Now is the time of the ledger: the sum of the elapsed durations.
func (s *State) Now() time.Duration { return s.now }

// Running lists the owners with running claims and how many they have.
func (s *State) Running() map[string]int {
	counts := make(map[string]int, len(s.running))
	for name, keys := range s.running {
		counts[name] = len(keys)
	}
	return counts
}
