package suspect

import (
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	// maxRecords bounds the marked fingerprints; the oldest goes first.
	maxRecords = 8192
	// maxCrashes bounds the crashes remembered per fingerprint.
	maxCrashes = 16
	// waveCrashes endpoints that crash within waveWindow are taken for a
	// failure of the infrastructure, such as the loss of a rack: isolating all
	// requests that ran there would take the endpoints that are left.
	waveCrashes = 4
	waveWindow  = 2 * time.Second
	// fullMark and waveMark weigh a crash outside and inside a wave.
	fullMark = 2
	waveMark = 1
	// loneTimeout frees the place of a lone run whose end was never noted.
	loneTimeout = 10 * time.Minute

	defaultCrashes    = 2
	defaultQuarantine = 10 * time.Minute
)

// Verdict says how a request may run.
type Verdict int

// Verdicts.
const (
	// Clean requests run like any other.
	Clean Verdict = iota
	// Alone requests run on an endpoint that runs nothing else.
	Alone
)

// crashID identifies the crash of one incarnation of an endpoint, so that
// several observers of one crash count it once.
type crashID uint64

// record is what is known of a fingerprint. Crashes and forgiven only grow
// while it lives, so that the records of entries can be merged in any order.
type record struct {
	crashes  []crashID
	forgiven []crashID
	// at is the time of the last crash and changed that of the last change.
	at, changed time.Time
	// version numbers the last change, and ownVersion the last that this
	// tracker observed itself.
	version, ownVersion uint64
	// loneSince is when a lone run started here; zero when none runs.
	loneSince time.Time
}

type crashEvent struct {
	id crashID
	at time.Time
}

// Tracker marks, isolates and quarantines requests. It is safe for concurrent
// use; while nothing is marked, Check takes no lock.
type Tracker struct {
	mu         sync.RWMutex
	count      atomic.Int64
	records    map[Fingerprint]*record
	recent     []crashEvent
	waves      map[crashID]time.Time
	version    uint64
	crashes    int
	quarantine time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker(config conf.Retry) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record), waves: make(map[crashID]time.Time)}
	t.Configure(config)
	return t
}

// Configure takes a new generation of the document.
func (t *Tracker) Configure(config conf.Retry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashes, t.quarantine = config.QuarantineCrashes, time.Duration(config.QuarantineS)*time.Second
	if t.crashes <= 0 {
		t.crashes = defaultCrashes
	}
	if t.quarantine <= 0 {
		t.quarantine = defaultQuarantine
	}
}

// Crash marks the requests that ran at an endpoint when it crashed. It is
// called for every crash that is known, also with an empty list, and changes
// nothing for a crash that it has seen.
func (t *Tracker) Crash(endpoint string, incarnation uint64, running []Fingerprint, now time.Time) {
	id := newCrashID(endpoint, incarnation)
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.ContainsFunc(t.recent, func(e crashEvent) bool { return e.id == id }) {
		return
	}
	t.noteCrash(id, now)
	for _, f := range running {
		r := t.record(f, now)
		r.at = now
		r.crashes = union(r.crashes, []crashID{id})
		t.touch(r, true, now)
	}
	t.count.Store(int64(len(t.records)))
}

// Begin asks how a request may run. The error is a *QuarantinedError or, while
// another copy of a suspect request runs alone, a *BusyError. After Alone, End
// must be called.
func (t *Tracker) Begin(f Fingerprint, now time.Time) (Verdict, error) {
	if t.count.Load() == 0 {
		return Clean, nil
	}
	t.mu.RLock()
	r := t.records[f]
	t.mu.RUnlock()
	if r == nil {
		return Clean, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	score := t.score(r)
	switch {
	case now.Sub(r.at) > t.quarantine || score < fullMark:
		return Clean, nil
	case score >= fullMark*t.crashes:
		return Clean, &QuarantinedError{Crashes: len(r.crashes), RetryAfter: t.quarantine - now.Sub(r.at)}
	case !r.loneSince.IsZero() && now.Sub(r.loneSince) < loneTimeout:
		return Alone, &BusyError{}
	}
	r.loneSince = now
	return Alone, nil
}

// End notes the end of an attempt with the verdict of its Begin. finished is set when the endpoint gave the
// whole answer: that clears the request of the crashes known so far.
func (t *Tracker) End(f Fingerprint, verdict Verdict, finished bool, now time.Time) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[f]
	if r == nil {
		return
	}
	if verdict == Alone {
		r.loneSince = time.Time{}
	}
	if finished && t.score(r) < fullMark*t.crashes {
		r.forgiven = union(r.forgiven, r.crashes)
		t.touch(r, true, now)
	}
}

// touch notes a change of a record. It must be called with the lock held.
func (t *Tracker) touch(r *record, own bool, now time.Time) {
	t.version++
	r.version, r.changed = t.version, now
	if own {
		r.ownVersion = t.version
	}
}

// Expire drops records whose time is over. It is called every few seconds.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		if now.Sub(r.at) > t.quarantine {
			delete(t.records, f)
		}
	}
	for id, at := range t.waves {
		if now.Sub(at) > t.quarantine {
			delete(t.waves, id)
		}
	}
	t.count.Store(int64(len(t.records)))
}

// Len returns the number of marked fingerprints.
func (t *Tracker) Len() int { return int(t.count.Load()) }

func newCrashID(endpoint string, incarnation uint64) crashID {
	digest := xxhash.New()
	_, _ = digest.WriteString(endpoint)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], incarnation)
	_, _ = digest.Write(number[:])
	return crashID(digest.Sum64())
}

// noteCrash remembers a crash and finds out whether it belongs to a wave.
func (t *Tracker) noteCrash(id crashID, now time.Time) {
	t.recent = append(t.recent, crashEvent{id, now})
	if len(t.recent) > maxRecords {
		t.recent = slices.Delete(t.recent, 0, len(t.recent)-maxRecords)
	}
	from := len(t.recent)
	for from > 0 && now.Sub(t.recent[from-1].at) <= waveWindow {
		from--
	}
	if len(t.recent)-from < waveCrashes {
		return
	}
	for _, e := range t.recent[from:] {
		t.waves[e.id] = now
	}
}

// score sums the marks that are not forgiven.
func (t *Tracker) score(r *record) int {
	score := 0
	for _, id := range r.crashes {
		if slices.Contains(r.forgiven, id) {
			continue
		}
		if _, wave := t.waves[id]; wave {
			score += waveMark
		} else {
			score += fullMark
		}
	}
	return score
}

// record returns the record of a fingerprint. When full, the record with the
// lowest score among the oldest makes room.
func (t *Tracker) record(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil && now.Sub(r.at) <= t.quarantine {
		return r
	}
	if r == nil && len(t.records) >= maxRecords {
		t.evict()
	}
	r = &record{at: now}
	t.records[f] = r
	return r
}

func (t *Tracker) evict() {
	var victim Fingerprint
	var worst *record
	for f, r := range t.records {
		if worst == nil || t.before(f, r, victim, worst) {
			victim, worst = f, r
		}
	}
	delete(t.records, victim)
}

// before orders records for eviction; the fingerprint makes the order total.
func (t *Tracker) before(f Fingerprint, r *record, g Fingerprint, s *record) bool {
	rq, sq := t.score(r) >= fullMark*t.crashes, t.score(s) >= fullMark*t.crashes
	if rq != sq {
		return sq
	}
	if !r.at.Equal(s.at) {
		return r.at.Before(s.at)
	}
	return slices.Compare(f[:], g[:]) < 0
}

func union(a, b []crashID) []crashID {
	for _, id := range b {
		if len(a) < maxCrashes && !slices.Contains(a, id) {
			a = append(a, id)
		}
	}
	return a
}
