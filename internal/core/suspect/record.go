package suspect

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// crashID identifies the crash of one incarnation of an endpoint, so that a crash
// with several observers is counted once.
type crashID uint64

// record holds the crashes of a request or of a prompt part. Entries can merge
// records in any order: the earliest time of each crash and the latest of all other
// times hold.
type record struct {
	// crashes holds the newest crashes, sorted by time.
	crashes []crashEvent
	// survivedAt is the last time at which a run is known not to have crashed its
	// endpoint. The crashes up to then have another cause.
	survivedAt time.Time
	// lastSeen is the time of the last crash, or of a later refusal that prolonged
	// the quarantine. lastChange is that of the last change of the record.
	lastSeen, lastChange time.Time
	// probes counts the probes of a quarantined part that this tracker granted, or
	// for which it asked, the last at probedAt.
	probes   int
	probedAt time.Time
	// version is the number of the last change, ownVersion that of the last
	// change that this tracker observed itself.
	version, ownVersion uint64
	// isolatedSince is the start of the run of this request alone on this entry,
	// zero if none is in progress.
	isolatedSince time.Time
}

type crashEvent struct {
	id crashID
	at time.Time
}

func newCrashID(endpoint string, incarnation uint64) crashID {
	digest := xxhash.New()
	_, _ = digest.WriteString(endpoint)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], incarnation)
	_, _ = digest.Write(number[:])
	return crashID(digest.Sum64())
}

// addCrash adds a crash and reports whether it was unknown and is kept. Of several
// reports of a crash the earliest time holds.
func (r *record) addCrash(e crashEvent) bool {
	known := slices.IndexFunc(r.crashes, func(other crashEvent) bool { return other.id == e.id })
	if known >= 0 {
		e.at = earlier(e.at, r.crashes[known].at)
		r.crashes = slices.Delete(r.crashes, known, known+1)
	}
	at, _ := slices.BinarySearchFunc(r.crashes, e, crashEvent.compare)
	r.crashes = slices.Insert(r.crashes, at, e)
	if excess := len(r.crashes) - maxCrashes; excess > 0 {
		r.crashes = slices.Delete(r.crashes, 0, excess)
		return known < 0 && at >= excess
	}
	return known < 0
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// compare orders crashes by time. The ID makes the order total.
func (e crashEvent) compare(other crashEvent) int {
	return cmp.Or(e.at.Compare(other.at), cmp.Compare(e.id, other.id))
}

// uncleared returns the crashes after the last survival.
func (r *record) uncleared() []crashEvent {
	for i, e := range r.crashes {
		if e.at.After(r.survivedAt) {
			return r.crashes[i:]
		}
	}
	return nil
}

// lastCrash returns the time of the last crash, zero if there is none.
func (r *record) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].at
}

func (r *record) quarantinedError(now time.Time, retryAfter time.Duration) *QuarantinedError {
	return &QuarantinedError{Crashes: len(r.uncleared()), LastCrashAge: now.Sub(r.lastCrash()), RetryAfter: retryAfter}
}
