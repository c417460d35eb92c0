package rollout

import "time"

// Verdict is the result of comparing both versions.
type Verdict struct {
	// Bad is set if the new version is worse than the old one.
	Bad bool
	// Reason names the route, the measure and the counts that decided, for log lines.
	Reason string
}

// Judge compares both versions of one roll-out. The leader creates one for each record and
// keeps it in memory. A new leader starts a new one: the evidence is cumulative.
type Judge struct{}

// NewJudge returns a judge for a roll-out.
func NewJudge(r *Record) *Judge { return &Judge{} }

// Look compares the versions by the evidence so far, at an agreed time.
func (j *Judge) Look(e Evidence, now time.Time) Verdict { return Verdict{} }
