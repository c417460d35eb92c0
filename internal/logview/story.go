package logview

import (
	"fmt"
	"slices"
	"time"
)

const (
	// before and after the lines of a request, what happened to its endpoints
	// and to the replicas counts as context.
	before = 3 * time.Second
	after  = time.Second
)

// Story is the path of a request with its context, in order.
type Story struct {
	Request string
	// Daemon is the entry that took the request.
	Daemon string
	Lines  []Placed
	// Offsets holds how far the clock of each other daemon was found to be
	// behind that of the entry; daemons without an event in common are missing.
	Offsets map[string]time.Duration
}

// Placed is a line with its time by the clock of the entry.
type Placed struct {
	Line
	At time.Time
	// Own is set on the lines of the request itself.
	Own bool
}

// NotFoundError says that no line names the request.
type NotFoundError struct{ Request string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no line names request %q", e.Request) }

// Find returns the story of a request. The error is a *NotFoundError.
func Find(request string, lines []Line) (*Story, error) {
	story := &Story{Request: request, Offsets: make(map[string]time.Duration)}
	var own []Line
	endpoints := make(map[string]bool)
	for i := range lines {
		l := &lines[i]
		if l.text("request") != request {
			continue
		}
		own = append(own, *l)
		story.Daemon = l.Daemon
		for _, name := range append(l.texts("tried"), l.text("endpoint"), l.text("from"), l.text("to")) {
			if name != "" {
				endpoints[name] = true
			}
		}
	}
	if len(own) == 0 {
		return nil, &NotFoundError{Request: request}
	}
	story.compareClocks(lines)
	first, last := span(own)
	for i := range lines {
		story.place(&lines[i], endpoints, first.Add(-before), last.Add(after))
	}
	story.order()
	return story, nil
}

// order sorts the lines by time. Those of one daemon keep their order, also
// where its clock was set back in between.
func (s *Story) order() {
	latest := make(map[string]time.Time)
	for i := range s.Lines {
		line := &s.Lines[i]
		if line.At.Before(latest[line.Daemon]) {
			line.At = latest[line.Daemon]
		}
		latest[line.Daemon] = line.At
	}
	slices.SortStableFunc(s.Lines, func(a, b Placed) int { return a.At.Compare(b.At) })
}

// span returns the time from the arrival of the request to its last line.
func span(own []Line) (first, last time.Time) {
	first, last = own[0].Time, own[0].Time
	for i := range own {
		arrived := own[i].Time.Add(-time.Duration(own[i].float("ms") * float64(time.Millisecond)))
		if arrived.Before(first) {
			first = arrived
		}
		if own[i].Time.After(last) {
			last = own[i].Time
		}
	}
	return first, last
}

// place adds a line that belongs to the story.
func (s *Story) place(l *Line, endpoints map[string]bool, from, to time.Time) {
	if l.text("request") == s.Request {
		s.Lines = append(s.Lines, Placed{*l, l.Time, true})
		return
	}
	at := l.Time
	if l.Daemon != s.Daemon {
		offset, known := s.Offsets[l.Daemon]
		if !known {
			return
		}
		at = at.Add(offset)
	}
	if at.Before(from) || at.After(to) || !isContext(l, endpoints) {
		return
	}
	s.Lines = append(s.Lines, Placed{*l, at, false})
}

// stateMessages tell what replicas and the entry believed of the state.
var stateMessages = []string{
	"Leader of the state.", "Replica leads.", "State replica lost.", "State replica reached.", "Common quota not reached.",
	"Document stored.", "Document in force.", "Duties taken.", "Signal to stop.", "Draining.",
}

func isContext(l *Line, endpoints map[string]bool) bool {
	if l.text("request") != "" {
		return false
	}
	return endpoints[l.text("endpoint")] || slices.Contains(stateMessages, l.Message)
}

// compareClocks finds how far the clocks of replicas are behind that of the
// entry. The entry logs a change after the replica did, so the least difference
// is the offset and the shortest delay, which is some milliseconds.
func (s *Story) compareClocks(lines []Line) {
	seen := make(map[string]time.Time)
	for i := range lines {
		l := &lines[i]
		if key := effect(l); key != "" && l.Daemon == s.Daemon {
			if _, known := seen[key]; !known {
				seen[key] = l.Time
			}
		}
	}
	for i := range lines {
		l := &lines[i]
		at, known := seen[cause(l)]
		if !known || l.Daemon == s.Daemon {
			continue
		}
		offset := at.Sub(l.Time)
		if old, found := s.Offsets[l.Daemon]; !found || offset < old {
			s.Offsets[l.Daemon] = offset
		}
	}
}

// cause names the change that a replica logged, and effect that which an entry
// logged after it heard of it; "" for other lines.
func cause(l *Line) string { return change(l, "Endpoint announced.", "Document stored.") }

func effect(l *Line) string { return change(l, "Endpoint changed.", "Document in force.") }

func change(l *Line, endpoint, document string) string {
	switch l.Message {
	case endpoint:
		return fmt.Sprint("endpoint ", l.text("endpoint"), l.float("state"), l.float("seq"))
	case document:
		return fmt.Sprint("document ", l.float("generation"))
	}
	return ""
}
