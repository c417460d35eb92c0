package rollout

import (
	"math"
	"time"
)

// Side is the version that may get a request.
type Side uint8

const (
	// Any means that the version does not matter.
	Any Side = iota
	// Old means any version but the new one.
	Old
	// New means the version of the roll-out.
	New
)

// String returns the name of the side in log lines and metrics.
func (s Side) String() string {
	switch s {
	case Old:
		return "old"
	case New:
		return "new"
	}
	return "any"
}

const (
	// maxSilence is how old the knowledge of the newest records may be with which an entry
	// still sends requests to a version that is not trusted.
	maxSilence = 1500 * time.Millisecond
	// initialShare is the part of the allowance that all entries together may use before
	// they have earned credit, and reservedShare the part for streams that broke off at the
	// new version and can only go on there. The rest covers errors of the clocks and of the
	// number of entries.
	initialShare  = 0.4
	reservedShare = 0.3
	// paceFactor times the share is the most that an entry sends to the new version while it
	// uses credit that it earned before there were endpoints.
	paceFactor = 2
	// startMargin is how long before the order an entry must have started to use a part of
	// the allowance: a restarted entry could use it twice. It covers errors of the clocks.
	startMargin = 2 * time.Second
	// completedTTL is how long after the end of a roll-out the old version gets nothing, and
	// revertedTTL how long the new one gets nothing even if there is no other endpoint.
	completedTTL = 30 * time.Second
	revertedTTL  = 10 * time.Minute
	// focusFactor times the exposure share is the part of the old version's number of
	// endpoints to which exposed requests are concentrated, so that each carries about the
	// load of an old one. minFocus keeps one slow endpoint from standing for the version.
	focusFactor = 2
	minFocus    = 2
	// focusTime is how long the exposed requests are sent to the same endpoints. Over a
	// roll-out several others have their turn.
	focusTime = 2 * time.Second
)

// Decision is the answer to which version may get an attempt.
type Decision struct {
	// To is the new version.
	To   string
	Side Side
	// OrElse is the side that may get the attempt if no endpoint at Side can; Any if none.
	OrElse Side
	// Focus is the number of endpoints of the new version to which requests are
	// concentrated, by the hash of their IDs and Turn; 0 means all.
	Focus int
	Turn  uint64
	// Exposure is the charge for a request to a version that is not trusted; nil if there is
	// none. It must be given back with Return unless the request is sent to the new version.
	Exposure *Exposure
}

// Exposure is the charge for one request to a version that is not trusted.
type Exposure struct {
	account *account
	route   string
}

// Ticket is the turn of one request of a caller. The zero value is that of a request that
// another entry forwarded.
type Ticket struct {
	// id is that of the record by which the request arrived; 0 without one.
	id uint64
	// turn spreads requests evenly over 0 to 1.
	turn float64
	// paced is set if the request is among those that may go to the new version.
	paced bool
}

// Attempt is what Split decides on: the next attempt of a request.
type Attempt struct {
	Service, Route string
	Ticket         Ticket
	// Attempts is the number of attempts that ended before this one. SentToNew is set if
	// one was made at the new version, also if it has not ended.
	Attempts  int
	SentToNew bool
	// Bound is the version at which the stream of the request began; nil before the first
	// event.
	Bound *string
}

// account is this entry's part in one roll-out. The table guards it.
type account struct {
	record Record
	// ready are the numbers of ready endpoints.
	readyOld, readyNew int
	// credit is the number of requests that may be sent to the new version, and reserve what
	// streams that go on may use in addition.
	credit, reserve float64
	// pace reaches 1 when the next request may go to the new version.
	pace float64
	// deficits holds, by route, the exposed requests that are due.
	deficits map[string]float64
	arrived  uint64
	phase    float64
	exposed  int64
	evidence Evidence
}

// arrive counts a request of a caller. The request earns credit until the deadline.
func (a *account) arrive(route string, now time.Time) Ticket {
	a.arrived++
	_, turn := math.Modf(a.phase + float64(a.arrived)*(math.Phi-1))
	ticket := Ticket{id: a.record.ID, turn: turn}
	if a.record.Ended() || !now.Before(a.record.Deadline()) {
		return ticket
	}
	share := a.record.Bounds.Share
	a.credit += share
	a.deficits[route] += share
	if a.readyNew == 0 {
		return ticket
	}
	a.pace += paceFactor * share
	if a.pace >= 1 && a.deficits[route] > 0 {
		a.pace--
		ticket.paced = true
	}
	a.pace = min(a.pace, 1)
	return ticket
}

// split decides on an attempt. fresh is set if the record is known to be the newest.
func (a *account) split(attempt *Attempt, fresh bool, now time.Time) Decision {
	d := a.decide(attempt, fresh, now)
	d.To = a.record.To
	return d
}

// decide returns the decision on an attempt without the name of the new version.
func (a *account) decide(attempt *Attempt, fresh bool, now time.Time) Decision {
	if attempt.Bound != nil {
		return a.resume(attempt, fresh)
	}
	r := &a.record
	switch {
	case r.Phase == Canary:
		return a.expose(attempt, fresh, now)
	case r.Phase == Shifting:
		return a.shift(attempt, fresh, now)
	case r.Phase == Completed && a.readyNew > 0 && now.Sub(r.PhaseAt()) < completedTTL:
		return Decision{Side: New}
	case r.Phase == Completed:
		return Decision{Side: Any}
	case now.Sub(r.PhaseAt()) < revertedTTL:
		return Decision{Side: Old}
	}
	return Decision{Side: Old, OrElse: New}
}

// resume decides on the next attempt of a stream, which can only be resumed at its version. A
// stream of a version that is not trusted is resumed only as far as the exposure allows.
func (a *account) resume(attempt *Attempt, fresh bool) Decision {
	r := &a.record
	if *attempt.Bound != r.To || r.Phase == Completed || r.Phase == Shifting && fresh {
		return Decision{Side: Any}
	}
	if r.Phase == Canary && fresh && attempt.Ticket.id == r.ID && a.credit+a.reserve >= 1 {
		return Decision{Side: New, Exposure: a.charge(attempt.Route)}
	}
	return Decision{Side: Old}
}

// expose decides on an attempt while the version is not trusted. Only first attempts are
// exposed: a request that fails at every endpoint would count against both versions, but a
// repeat would count against the new one alone.
func (a *account) expose(attempt *Attempt, fresh bool, now time.Time) Decision {
	r := &a.record
	if !fresh || !a.mayExpose(attempt, now) {
		return Decision{Side: Old}
	}
	focus := max(int(math.Ceil(focusFactor*r.Bounds.Share*float64(a.readyOld))), minFocus)
	turn := r.ID + uint64(now.UnixNano()/int64(focusTime))
	return Decision{Side: New, OrElse: Old, Focus: focus, Turn: turn, Exposure: a.charge(attempt.Route)}
}

// mayExpose reports whether an attempt is a first one whose turn it is, and the roll-out has
// endpoints, credit and time for it.
func (a *account) mayExpose(attempt *Attempt, now time.Time) bool {
	r := &a.record
	if attempt.Attempts > 0 || attempt.SentToNew {
		return false
	}
	if !attempt.Ticket.paced || attempt.Ticket.id != r.ID {
		return false
	}
	return a.readyNew > 0 && a.credit >= 1 && now.Before(r.Deadline())
}

// shift decides on an attempt while the load moves to the new version.
func (a *account) shift(attempt *Attempt, fresh bool, now time.Time) Decision {
	r := &a.record
	length := r.Deadline().Sub(r.PhaseAt())
	ramp := min(time.Duration(rampShare*float64(length)), maxRamp)
	passed := now.Sub(r.PhaseAt())
	share := 1.0
	if passed < ramp {
		share = max(r.Bounds.Share, float64(passed)/float64(ramp))
	}
	switch {
	case !fresh || a.readyNew == 0 || attempt.SentToNew || attempt.Ticket.turn >= share:
		return Decision{Side: Old, OrElse: New}
	case now.Before(r.shiftPart(fallbackShare)):
		return Decision{Side: New, OrElse: Old}
	}
	return Decision{Side: New}
}

// charge takes the credit for one exposed request.
func (a *account) charge(route string) *Exposure {
	a.credit--
	a.deficits[route]--
	a.exposed++
	return &Exposure{account: a, route: route}
}

// refund reverses charge.
func (a *account) refund(x *Exposure) {
	a.credit++
	a.deficits[x.route]++
	a.exposed--
}
