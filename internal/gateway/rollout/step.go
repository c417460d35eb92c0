package rollout

import "time"

// Input is what the leader knows when it decides.
type Input struct {
	// Now is the agreed time.
	Now  time.Time
	Sums Sums
	// Verdict is that of the leader's Judge at this look.
	Verdict Verdict
	// ReadyOld and ReadyNew are the numbers of ready endpoints of both versions.
	ReadyOld, ReadyNew int
	// Removed is set if the document in force no longer has the service.
	Removed bool
}

// Step returns the record as it has to be now, and whether it differs from the given one.
// The caller writes a changed record by compare-and-set on its revision.
func Step(r Record, in Input) (next Record, changed bool) { return r, false }
