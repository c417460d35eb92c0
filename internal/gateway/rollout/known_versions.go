package rollout

import (
	"sync/atomic"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// ReadyVersion is a version that ready endpoints of a service have.
type ReadyVersion struct {
	Service, Version string
	// Born is the start of the oldest of these endpoints, in Unix milliseconds.
	Born int64
}

// knownVersions holds since when the endpoints of each version have been known. An entry can learn
// of endpoints before it learns of the roll-out that they belong to: from a replica that has
// just started, or that is cut off from the others. Endpoints of a roll-out start after its
// order is committed, so that records which were the newest at a later time include it. Until
// then a version gets nothing while the service has another one. The table guards it.
type knownVersions struct {
	// since holds when each version became known, by service and version.
	since map[string]map[string]knownVersion
	// withheld holds the version that gets nothing, by service. count is its size, so that
	// nothing is locked while it is empty.
	withheld map[string]string
	count    atomic.Int64
}

// knownVersion is when a version became known, and the start of its oldest endpoint.
type knownVersion struct {
	at   bootclock.Instant
	born int64
}

// update replaces the versions that are known. One that was not there before is known from now.
func (k *knownVersions) update(list []ReadyVersion, now bootclock.Instant) {
	next := make(map[string]map[string]knownVersion)
	for _, seen := range list {
		if next[seen.Service] == nil {
			next[seen.Service] = make(map[string]knownVersion)
		}
		former, known := k.since[seen.Service][seen.Version]
		if !known {
			former.at = now
		}
		next[seen.Service][seen.Version] = knownVersion{at: former.at, born: seen.Born}
	}
	k.since = next
}

// decide sets which versions get nothing, given the time as of which the records were the
// newest.
func (k *knownVersions) decide(knownAt bootclock.Instant) {
	k.withheld = make(map[string]string)
	for service, versions := range k.since {
		if version, found := youngestUnclear(versions, knownAt); found {
			k.withheld[service] = version
		}
	}
	k.count.Store(int64(len(k.withheld)))
}

// youngestUnclear returns the version that may belong to an unknown roll-out, if the service
// has another one: of several, the one whose oldest endpoint started last.
func youngestUnclear(versions map[string]knownVersion, knownAt bootclock.Instant) (youngest string, found bool) {
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
func (t *Table) NoteVersions(list []ReadyVersion, now bootclock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions.update(list, now)
	t.versions.decide(t.knownAt)
}

// withholds reports whether a version gets nothing because it may belong to a roll-out that
// this entry does not know. The caller must hold mu.
func (t *Table) withholds(service, version string) bool {
	withheld, found := t.versions.withheld[service]
	return found && withheld == version && (t.accounts[service] == nil || t.accounts[service].record.To != version)
}

// Idle reports whether Split has nothing to decide. It takes no lock.
func (t *Table) Idle() bool { return t.Empty() && t.versions.count.Load() == 0 }
