package logview

import (
	"fmt"
	"slices"
	"time"
)

const (
	// Lines about the endpoints of a request and about the replicas are context of
	// the request from contextBefore its arrival to contextAfter its last line.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// Timeline holds the log lines of a request and its context, ordered by time.
type Timeline struct {
	Request string
	// Daemon is the entry that received the request.
	Daemon string
	Lines  []PlacedLine
	// Offsets holds, by daemon, the estimated time by which its clock is behind the
	// clock of the entry. It has no value for daemons that logged no event in common
	// with the entry.
	Offsets map[string]time.Duration
}

// PlacedLine is a log line with its estimated time by the clock of the entry.
type PlacedLine struct {
	Line
	At time.Time
	// Own is true for the lines of the request itself, false for context.
	Own bool
}

// NotFoundError reports that no log line has the ID of the request.
type NotFoundError struct{ Request string }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no log line has the request ID %q", e.Request)
}

// Find returns the lines of a request with their context. The error is a *NotFoundError.
func Find(request string, lines []Line) (*Timeline, error) {
	timeline := &Timeline{Request: request, Offsets: make(map[string]time.Duration)}
	var requestLines []Line
	endpoints := make(map[string]bool)
	for i := range lines {
		l := &lines[i]
		if l.stringField("request") != request {
			continue
		}
		requestLines = append(requestLines, *l)
		timeline.Daemon = l.Daemon
		for _, name := range append(l.stringListField("tried"), l.stringField("endpoint"), l.stringField("from"), l.stringField("to")) {
			if name != "" {
				endpoints[name] = true
			}
		}
	}
	if len(requestLines) == 0 {
		return nil, &NotFoundError{Request: request}
	}
	timeline.estimateOffsets(lines)
	first, last := requestInterval(requestLines)
	for i := range lines {
		timeline.addIfRelevant(&lines[i], endpoints, first.Add(-contextBefore), last.Add(contextAfter))
	}
	timeline.sortLines()
	return timeline, nil
}

// sortLines sorts the lines by time. The lines of one daemon keep their order, even
// if its clock was set back between them.
func (s *Timeline) sortLines() {
	latest := make(map[string]time.Time)
	for i := range s.Lines {
		line := &s.Lines[i]
		if line.At.Before(latest[line.Daemon]) {
			line.At = latest[line.Daemon]
		}
		latest[line.Daemon] = line.At
	}
	slices.SortStableFunc(s.Lines, func(a, b PlacedLine) int { return a.At.Compare(b.At) })
}

// requestInterval returns the time of the arrival of the request and that of its last line.
func requestInterval(requestLines []Line) (first, last time.Time) {
	first, last = requestLines[0].Time, requestLines[0].Time
	for i := range requestLines {
		arrived := requestLines[i].Time.Add(-time.Duration(requestLines[i].numberField("ms") * float64(time.Millisecond)))
		if arrived.Before(first) {
			first = arrived
		}
		if requestLines[i].Time.After(last) {
			last = requestLines[i].Time
		}
	}
	return first, last
}

// addIfRelevant adds a line if it is a line of the request or of its context.
func (s *Timeline) addIfRelevant(l *Line, endpoints map[string]bool, from, to time.Time) {
	if l.stringField("request") == s.Request {
		s.Lines = append(s.Lines, PlacedLine{*l, l.Time, true})
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
	s.Lines = append(s.Lines, PlacedLine{*l, at, false})
}

// stateMessages are the messages that show the view of replicas and the entry of
// the replicated state.
var stateMessages = []string{
	"Leader of the state.", "Replica leads.", "State replica lost.", "State replica reached.", "Common quota not reached.",
	"Document stored.", "Document in force.", "Duties taken.", "Signal to stop.", "Draining.",
}

func isContext(l *Line, endpoints map[string]bool) bool {
	if l.stringField("request") != "" {
		return false
	}
	return endpoints[l.stringField("endpoint")] || slices.Contains(stateMessages, l.Message)
}

// estimateOffsets estimates the time by which the clock of each replica is behind
// the clock of the entry. The entry logs a change after the replica, so the smallest
// difference between the two times is the offset plus the shortest delay, which is
// a few milliseconds.
func (s *Timeline) estimateOffsets(lines []Line) {
	entryTimes := make(map[string]time.Time)
	for i := range lines {
		l := &lines[i]
		if key := entryChangeKey(l); key != "" && l.Daemon == s.Daemon {
			if _, known := entryTimes[key]; !known {
				entryTimes[key] = l.Time
			}
		}
	}
	for i := range lines {
		l := &lines[i]
		at, known := entryTimes[replicaChangeKey(l)]
		if !known || l.Daemon == s.Daemon {
			continue
		}
		offset := at.Sub(l.Time)
		if smallest, found := s.Offsets[l.Daemon]; !found || offset < smallest {
			s.Offsets[l.Daemon] = offset
		}
	}
}

// replicaChangeKey returns a key for the change that a line of a replica reports.
// entryChangeKey returns the same key for the line that an entry logs when it learns
// of the change. Both return "" for other lines.
func replicaChangeKey(l *Line) string { return changeKey(l, "Endpoint announced.", "Document stored.") }

func entryChangeKey(l *Line) string { return changeKey(l, "Endpoint changed.", "Document in force.") }

func changeKey(l *Line, endpoint, document string) string {
	switch l.Message {
	case endpoint:
		return fmt.Sprint("endpoint ", l.stringField("endpoint"), l.numberField("state"), l.numberField("seq"))
	case document:
		return fmt.Sprint("document ", l.numberField("generation"))
	}
	return ""
}
