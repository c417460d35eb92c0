package rollout

import (
	"sync/atomic"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// Seen is a version that ready endpoints of a service have.
type Seen struct {
	Service, Version string
	// Born is the start of the oldest of these endpoints, in Unix milliseconds.
	Born int64
}

// sightings holds since when the endpoints of each version have been known. An entry can learn
// of endpoints before it learns of the roll-out that they belong to: from a replica that has
// just started, or that is cut off from the others. Endpoints of a roll-out start after its
// order is committed, so that records which were the newest at a later time include it. Until
// then a version gets nothing while the service has another one. The table guards it.
type sightings struct {
	// since holds the time of the first sight by service and version.
	since map[string]map[string]sighting
	// withheld holds the version that gets nothing, by service. count is its size, so that
	// nothing is locked while it is empty.
	withheld map[string]string
	count    atomic.Int64
}

type sighting struct {
	at   bootclock.Instant
	born int64
}

// update replaces the versions that are known. One that was not there before is seen anew.
func (s *sightings) update(list []Seen, now bootclock.Instant) {
	next := make(map[string]map[string]sighting)
	for _, seen := range list {
		if next[seen.Service] == nil {
			next[seen.Service] = make(map[string]sighting)
		}
		former, known := s.since[seen.Service][seen.Version]
		if !known {
			former.at = now
		}
		next[seen.Service][seen.Version] = sighting{at: former.at, born: seen.Born}
	}
	s.since = next
}

// decide sets which versions get nothing, given the time as of which the records were the
// newest.
func (s *sightings) decide(knownAt bootclock.Instant) {
	s.withheld = make(map[string]string)
	for service, versions := range s.since {
		if version, found := youngestUnclear(versions, knownAt); found {
			s.withheld[service] = version
		}
	}
	s.count.Store(int64(len(s.withheld)))
}

// youngestUnclear returns the version that may belong to an unknown roll-out, if the service
// has another one: of several, the one whose oldest endpoint started last.
func youngestUnclear(versions map[string]sighting, knownAt bootclock.Instant) (youngest string, found bool) {
	if len(versions) < 2 {
		return "", false
	}
	for version, seen := range versions {
		if knownAt >= seen.at {
			continue
		}
		last := versions[youngest]
		if !found || seen.born > last.born || seen.born == last.born && version > youngest {
			youngest, found = version, true
		}
	}
	return youngest, found
}

// NoteVersions takes note of the versions of all ready endpoints. It must be called before
// requests can be sent to these endpoints.
func (t *Table) NoteVersions(list []Seen, now bootclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sightings.update(list, now)
	t.sightings.decide(t.knownAt)
}

// withholds reports whether a version gets nothing because it may belong to a roll-out that
// this entry does not know. The caller must hold mu.
func (t *Table) withholds(service, version string) bool {
	withheld, found := t.sightings.withheld[service]
	return found && withheld == version && (t.accounts[service] == nil || t.accounts[service].record.To != version)
}

// Idle reports whether Split has nothing to decide. It costs next to nothing.
func (t *Table) Idle() bool { return t.Empty() && t.sightings.count.Load() == 0 }
