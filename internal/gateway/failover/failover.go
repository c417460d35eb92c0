// Package failover decides whether an attempt whose endpoint is silent is replaced by another
// one. It does no I/O.
package failover

import "time"

const (
	// minCommon is the number of endpoints that must be silent at once to count as a common
	// silence.
	minCommon = 2
	// commonTimeoutFactor times the usual time-out is how long a common silence may last while
	// the endpoint accepts connections.
	commonTimeoutFactor = 3
)

// Silence is what an entry knows of an attempt that has received no byte for some time.
type Silence struct {
	// Waited is how long the attempt has been silent, and Timeout the time after which it
	// may be replaced.
	Waited, Timeout time.Duration
	// Silent counts the endpoints of the service that are silent for a similar time, and
	// Busy all of them at which attempts of the entry run.
	Silent, Busy int
	// LinksLost is set if the entry reaches no endpoint of the service.
	LinksLost bool
	// Probe is the outcome of a connection to the endpoint.
	Probe Probe
}

// Probe is the outcome of a connection to a silent endpoint.
type Probe int

// Outcomes of a probe.
const (
	// NotProbed means that no probe has ended yet.
	NotProbed Probe = iota
	// Accepted means that the VM of the endpoint is up and its links work.
	Accepted
	// Failed means that the endpoint is down or cannot be reached.
	Failed
)

// Decision is what follows from a silence.
type Decision int

// Decisions on a silent attempt.
const (
	// Wait keeps the attempt.
	Wait Decision = iota
	// WaitAndProbe keeps the attempt, and asks for a connection to its endpoint.
	WaitAndProbe
	// Replace ends the attempt as soon as another one is certain to start.
	Replace
)

// Decide returns what to do about a silence. The silence of one endpoint speaks against that
// endpoint. A silence of most endpoints at once is likely to end for all of them, and sending
// their work elsewhere would double it.
func Decide(s Silence) Decision {
	switch {
	case s.Waited < s.Timeout:
		return Wait
	case s.LinksLost || s.Probe == Failed || !s.isCommon() || s.Waited >= commonTimeoutFactor*s.Timeout:
		return Replace
	case s.Probe == NotProbed:
		return WaitAndProbe
	}
	return Wait
}

// isCommon reports whether most of the busy endpoints are silent.
func (s *Silence) isCommon() bool { return s.Silent >= minCommon && 2*s.Silent > s.Busy }

// Evidence is what must be known of an endpoint for it to replace a silent one.
type Evidence int

// Evidence on the endpoint of a replacement.
const (
	// NoneNeeded admits any endpoint, since the attempt cannot go on.
	NoneNeeded Evidence = iota
	// NotSilent admits endpoints that are not known to be silent themselves.
	NotSilent
	// HeardPreferred prefers endpoints that have sent something during the silence: with several
	// silent ones, an idle endpoint may be one of them.
	HeardPreferred
	// HeardOnly admits only endpoints that have sent something during the silence.
	HeardOnly
)

// Evidence returns what must be known of an endpoint that replaces the silent one.
func (s *Silence) Evidence() Evidence {
	switch {
	case s.Probe == Failed || s.LinksLost:
		return NoneNeeded
	case s.isCommon():
		return HeardOnly
	case s.Silent >= minCommon:
		return HeardPreferred
	}
	return NotSilent
}
