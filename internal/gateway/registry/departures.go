package registry

import "time"

const (
	// departureTTL is how long a departure is kept after the endpoint was last listed, in
	// case that an announcement of the same incarnation arrives late.
	departureTTL = 10 * time.Minute
	// maxDepartures bounds the departures.
	maxDepartures = 8192
)

// departure is the newest incarnation of an endpoint that said that it leaves.
type departure struct {
	born     int64
	listedAt time.Time
}

// Departures holds the endpoints that told this daemon itself that they leave. They stay
// draining for it whatever later announcements of the same incarnation say. It is not
// safe for concurrent use.
type Departures map[string]departure

// Note records that an incarnation of an endpoint leaves, and reports whether that was
// not known.
func (d Departures) Note(e *Endpoint, now time.Time) (first bool) {
	known, ok := d[e.ID]
	if ok && known.born >= e.Born || !ok && len(d) >= maxDepartures {
		return false
	}
	d[e.ID] = departure{born: e.Born, listedAt: now}
	return true
}

// Apply marks the endpoints of a list that leave as draining. It returns those that the
// list names as ready, and drops departures that are no longer needed.
func (d Departures) Apply(list []Endpoint, now time.Time) (ready []Endpoint) {
	for i := range list {
		e := &list[i]
		known, ok := d[e.ID]
		if !ok || e.Born > known.born {
			continue
		}
		d[e.ID] = departure{born: known.born, listedAt: now}
		if e.State == Ready {
			e.State = Draining
			ready = append(ready, *e)
		}
	}
	for id, known := range d {
		if now.Sub(known.listedAt) > departureTTL {
			delete(d, id)
		}
	}
	return ready
}
