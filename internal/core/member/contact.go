package member

import (
	"math"
	"time"
)

const (
	// sourceAgeUnit is the unit in which daemons pass on the age of the last
	// contact with the configuration source.
	sourceAgeUnit = 100 * time.Millisecond
	// sourceAgeUnknown means no contact so far, or none for longer than the field can say.
	sourceAgeUnknown = math.MaxUint16
)

// contact is when the configuration source was last known to be reachable,
// directly or through other daemons.
type contact struct{ at time.Time }

// age rounds up by a part of a unit, which is more than the time a datagram
// travels, so that an age does not shrink by being passed around.
func (c *contact) age(now time.Time) uint16 {
	if c.at.IsZero() {
		return sourceAgeUnknown
	}
	units := max(0, now.Sub(c.at)/sourceAgeUnit) + 1
	return uint16(min(units, sourceAgeUnknown))
}

func (c *contact) take(age uint16, more time.Duration, now time.Time) {
	if age == 0 || age == sourceAgeUnknown {
		return
	}
	c.note(now.Add(-time.Duration(age)*sourceAgeUnit - more))
}

func (c *contact) note(at time.Time) {
	if at.After(c.at) {
		c.at = at
	}
}

// NoteSource notes that the configuration source was reachable at a local time.
func (n *Node) NoteSource(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.contact.note(at)
}

// SourceAge returns the time since the last contact with the configuration
// source, directly or through other daemons, and false if there was none.
func (n *Node) SourceAge(now time.Time) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.contact.at.IsZero() {
		return 0, false
	}
	return now.Sub(n.contact.at), true
}
