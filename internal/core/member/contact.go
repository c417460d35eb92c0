package member

import (
	"math"
	"time"
)

const (
	// sourceAgeUnit is the unit in which daemons send the age of the last
	// contact with the configuration source.
	sourceAgeUnit = 100 * time.Millisecond
	// sourceAgeUnknown means that there was no contact so far, or that its age
	// exceeds the range of the field.
	sourceAgeUnknown = math.MaxUint16
)

// sourceContact holds the newest time at which the configuration source is known
// to have been reachable, from this daemon or from another one.
type sourceContact struct{ at time.Time }

// age returns the age in units of sourceAgeUnit. It rounds up by up to one unit,
// which exceeds the transit time of a datagram, so that the age does not shrink
// as daemons pass it on.
func (c *sourceContact) age(now time.Time) uint16 {
	if c.at.IsZero() {
		return sourceAgeUnknown
	}
	units := max(0, now.Sub(c.at)/sourceAgeUnit) + 1
	return uint16(min(units, sourceAgeUnknown))
}

// merge applies an age that another daemon sent. elapsed is the time since that
// age was valid.
func (c *sourceContact) merge(age uint16, elapsed time.Duration, now time.Time) {
	if age == 0 || age == sourceAgeUnknown {
		return
	}
	c.update(now.Add(-time.Duration(age)*sourceAgeUnit - elapsed))
}

func (c *sourceContact) update(at time.Time) {
	if at.After(c.at) {
		c.at = at
	}
}

// NoteSource records that the configuration source was reachable at a local time.
func (n *Node) NoteSource(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sourceContact.update(at)
}

// SourceAge returns the time since the last contact with the configuration
// source, by this daemon or another one. It returns false if there was none.
func (n *Node) SourceAge(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sourceContact.at.IsZero() {
		return 0, false
	}
	return now.Sub(n.sourceContact.at), true
}
