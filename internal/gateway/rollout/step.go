package rollout

import (
	"math"
	"time"
)

const (
	// shiftShare is the part of the duration, at its end, in which the old version runs
	// empty. maxShift bounds it: the longest requests end within 12 s.
	shiftShare = 0.35
	maxShift   = 15 * time.Second
	// suspectShare is the part of that time for which the shift of a suspect version waits, so
	// that the test can decide at a small share of the requests.
	suspectShare = 0.4
	// fallbackShare is the part of the shift in which old endpoints still take what finds no
	// free place at the new version. After it they get nothing more.
	fallbackShare = 0.4
	// rampShare is the part of the shift, and maxRamp the longest time, in which the share of
	// the new version rises to all requests, so that a fault under load shows before the
	// whole load has moved.
	rampShare = 0.2
	maxRamp   = time.Second
	// minShift is the least time before the deadline with which the shift still begins.
	minShift = time.Second
	// minShiftDivisor limits minShift to a part of a short roll-out.
	minShiftDivisor = 5
	// finishMargin is how long before the deadline a roll-out ends, so that the record is
	// committed by then.
	finishMargin = 300 * time.Millisecond
	// settleTime is how long a new leader waits until each entry that reaches it has polled: a
	// poll lasts 1.8 s at most.
	settleTime = 2 * time.Second
	// minNewShare is the least number of ready endpoints of the new version, relative to the
	// old ones, with which it can take the load.
	minNewShare = 0.5
	// minAnswers is the number of answers of the new version after which it may be trusted.
	// With little traffic, testedShare of what the exposure allows is enough.
	minAnswers  = 60
	testedShare = 0.3
)

// Input is what the leader knows when it decides.
type Input struct {
	// Now is the agreed time.
	Now  time.Time
	Sums Sums
	// Verdict is that of the leader's Judge at this look.
	Verdict Verdict
	// ReadyOld and ReadyNew are the numbers of ready endpoints of both versions.
	ReadyOld, ReadyNew int
	// LeadingFor is how long the leader has led. At first it does not know all entries.
	LeadingFor time.Duration
	// Removed is set if the document in force no longer has the service.
	Removed bool
}

// ShiftAt returns the agreed time at which the shift to the new version begins.
func (r *Record) ShiftAt() time.Time {
	return r.Deadline().Add(-min(time.Duration(shiftShare*float64(r.Duration())), maxShift))
}

// latestShift returns the agreed time at which the shift of a suspect version begins.
func (r *Record) latestShift() time.Time {
	at := r.ShiftAt()
	return at.Add(time.Duration(suspectShare * float64(r.Deadline().Sub(at))))
}

// shiftPart returns the agreed time at which a part of the shift has passed. The record must
// be Shifting.
func (r *Record) shiftPart(part float64) time.Time {
	return r.PhaseAt().Add(time.Duration(part * float64(r.Deadline().Sub(r.PhaseAt()))))
}

// Step returns the record as it has to be now, and whether it differs from the given one.
// The caller writes a changed record by compare-and-set on its revision.
func Step(r Record, in Input) (next Record, changed bool) {
	switch {
	case r.Ended():
		return r, false
	case in.Removed:
		return r.End(Reverted, ReasonRemoved, in.Now), true
	case in.Verdict.Bad:
		return r.End(Reverted, in.Verdict.Reason, in.Now), true
	case r.Phase == Canary:
		return stepCanary(r, &in)
	}
	return stepShifting(r, &in)
}

func stepCanary(r Record, in *Input) (next Record, changed bool) {
	left := r.Deadline().Sub(in.Now)
	if in.Now.Before(r.ShiftAt()) {
		return r, false
	}
	if in.Verdict.Suspect && in.Now.Before(r.latestShift()) {
		return r, false
	}
	problem := r.untrusted(in)
	if problem == "" && left < min(minShift, r.Duration()/minShiftDivisor) {
		problem = ReasonDeadline
	}
	switch {
	case problem == "":
		r.Phase, r.Reason, r.PhaseAtNS = Shifting, ReasonTrusted, in.Now.UnixNano()
		return r, true
	case left < finishMargin:
		return r.End(Reverted, problem, in.Now), true
	}
	return r, false
}

// untrusted returns what prevents that the new version takes all requests, or "".
func (r *Record) untrusted(in *Input) string {
	if in.ReadyNew < max(1, int(math.Ceil(minNewShare*float64(in.ReadyOld)))) {
		return ReasonNoEndpoints
	}
	total := in.Sums.Evidence.Total()
	// Each entry has less than the credit for one request left.
	possible := r.Bounds.Share*float64(total.Old.Answers+total.New.Answers) - float64(r.Entries)
	if float64(total.New.Answers) < min(minAnswers, testedShare*possible) {
		return ReasonUntested
	}
	return ""
}

func stepShifting(r Record, in *Input) (next Record, changed bool) {
	mustEnd := r.Deadline().Sub(in.Now) < finishMargin
	switch {
	case mustEnd && in.ReadyNew == 0:
		return r.End(Reverted, ReasonNoEndpoints, in.Now), true
	case mustEnd:
		return r.End(Completed, ReasonDeadline, in.Now), true
	case in.ReadyNew == 0 || in.Now.Before(r.shiftPart(fallbackShare).Add(confirmTTL)):
		return r, false
	case in.Sums.RunningOld == 0 && in.Sums.Unconfirmed == 0 && in.LeadingFor >= settleTime:
		return r.End(Completed, ReasonEmpty, in.Now), true
	}
	return r, false
}
