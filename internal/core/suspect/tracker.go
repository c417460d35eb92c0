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
	// maxRecords bounds the records; see evictBefore for the order of eviction.
	maxRecords = 8192
	// maxCrashes bounds the crashes remembered per fingerprint.
	maxCrashes = 16
	// If at least waveCrashes endpoints crash within waveWindow, the cause is
	// assumed to be a failure of the infrastructure, such as the loss of a rack.
	// Isolating all requests that ran there would use up the remaining endpoints.
	waveCrashes = 4
	waveWindow  = 2 * time.Second
	// fullCrashWeight and waveCrashWeight are the weights of a crash outside and
	// inside a wave.
	fullCrashWeight = 2
	waveCrashWeight = 1
	// isolatedRunTimeout is the time after which another copy of a suspect
	// request may run although End was not called for the last one.
	isolatedRunTimeout = 10 * time.Minute

	defaultCrashes    = 2
	defaultQuarantine = 10 * time.Minute
)

// Verdict tells how a request may run.
type Verdict int

// Verdicts.
const (
	// Clean requests run without restrictions.
	Clean Verdict = iota
	// Alone requests must run on an endpoint that runs nothing else.
	Alone
)

// crashID identifies the crash of one incarnation of an endpoint, so that a crash
// with several observers is counted once.
type crashID uint64

// record holds the crashes of a fingerprint. The lists crashes and forgiven only
// grow while the record exists, so that entries can merge records in any order.
type record struct {
	crashes  []crashID
	forgiven []crashID
	// lastCrash and lastChange are the times of the last crash and of the last
	// change of the record.
	lastCrash, lastChange time.Time
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

// Tracker decides which requests are suspect, must run alone or are quarantined.
// It is safe for concurrent use. While it has no records, Begin and End take no
// lock.
type Tracker struct {
	mu             sync.RWMutex
	count          atomic.Int64
	records        map[Fingerprint]*record
	recentCrashes  []crashEvent
	waves          map[crashID]time.Time
	version        uint64
	crashThreshold int
	quarantine     time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker(config conf.Retry) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record), waves: make(map[crashID]time.Time)}
	t.Configure(config)
	return t
}

// Configure applies a new generation of the document.
func (t *Tracker) Configure(config conf.Retry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crashThreshold, t.quarantine = config.QuarantineCrashes, time.Duration(config.QuarantineS)*time.Second
	if t.crashThreshold <= 0 {
		t.crashThreshold = defaultCrashes
	}
	if t.quarantine <= 0 {
		t.quarantine = defaultQuarantine
	}
}

// Crash records a crash for each request that ran at the endpoint. It must be
// called for every known crash, even if no request ran there, since it also detects
// waves. It does nothing for a crash that was already recorded.
func (t *Tracker) Crash(endpoint string, incarnation uint64, running []Fingerprint, now time.Time) {
	id := newCrashID(endpoint, incarnation)
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.ContainsFunc(t.recentCrashes, func(e crashEvent) bool { return e.id == id }) {
		return
	}
	t.recordCrash(id, now)
	for _, f := range running {
		r := t.record(f, now)
		r.lastCrash = now
		r.crashes = union(r.crashes, []crashID{id})
		t.setChanged(r, true, now)
	}
	t.count.Store(int64(len(t.records)))
}

// Begin returns how a request may run. The error is a *QuarantinedError or, while
// another copy of a suspect request runs alone, a *BusyError. If the verdict is
// Alone and there is no error, the caller must call End.
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
	case now.Sub(r.lastCrash) > t.quarantine || score < fullCrashWeight:
		return Clean, nil
	case score >= fullCrashWeight*t.crashThreshold:
		return Clean, &QuarantinedError{Crashes: len(r.crashes), RetryAfter: t.quarantine - now.Sub(r.lastCrash)}
	case !r.isolatedSince.IsZero() && now.Sub(r.isolatedSince) < isolatedRunTimeout:
		return Alone, &BusyError{}
	}
	r.isolatedSince = now
	return Alone, nil
}

// End records the end of an attempt, with the verdict that Begin returned for it.
// finished is set if the endpoint sent the complete answer. The crashes recorded so
// far are then forgiven, unless the request is quarantined.
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
		r.isolatedSince = time.Time{}
	}
	if finished && t.score(r) < fullCrashWeight*t.crashThreshold {
		r.forgiven = union(r.forgiven, r.crashes)
		t.setChanged(r, true, now)
	}
}

// setChanged records a change of a record. It must be called with the lock held.
func (t *Tracker) setChanged(r *record, observedHere bool, now time.Time) {
	t.version++
	r.version, r.lastChange = t.version, now
	if observedHere {
		r.ownVersion = t.version
	}
}

// Expire drops records and waves older than the quarantine. It is called every few
// seconds.
func (t *Tracker) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		if now.Sub(r.lastCrash) > t.quarantine {
			delete(t.records, f)
		}
	}
	for id, lastCrash := range t.waves {
		if now.Sub(lastCrash) > t.quarantine {
			delete(t.waves, id)
		}
	}
	t.count.Store(int64(len(t.records)))
}

// Len returns the number of records.
func (t *Tracker) Len() int { return int(t.count.Load()) }

func newCrashID(endpoint string, incarnation uint64) crashID {
	digest := xxhash.New()
	_, _ = digest.WriteString(endpoint)
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], incarnation)
	_, _ = digest.Write(number[:])
	return crashID(digest.Sum64())
}

// recordCrash stores a crash and detects whether it belongs to a wave.
func (t *Tracker) recordCrash(id crashID, now time.Time) {
	t.recentCrashes = append(t.recentCrashes, crashEvent{id, now})
	if len(t.recentCrashes) > maxRecords {
		t.recentCrashes = slices.Delete(t.recentCrashes, 0, len(t.recentCrashes)-maxRecords)
	}
	from := len(t.recentCrashes)
	for from > 0 && now.Sub(t.recentCrashes[from-1].at) <= waveWindow {
		from--
	}
	if len(t.recentCrashes)-from < waveCrashes {
		return
	}
	for _, e := range t.recentCrashes[from:] {
		t.waves[e.id] = now
	}
}

// score returns the sum of the weights of the crashes that are not forgiven.
func (t *Tracker) score(r *record) int {
	score := 0
	for _, id := range r.crashes {
		if slices.Contains(r.forgiven, id) {
			continue
		}
		if _, wave := t.waves[id]; wave {
			score += waveCrashWeight
		} else {
			score += fullCrashWeight
		}
	}
	return score
}

// record returns the record of a fingerprint and creates it if there is none or
// it has expired. If the tracker is full, it evicts another record.
func (t *Tracker) record(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil && now.Sub(r.lastCrash) <= t.quarantine {
		return r
	}
	if r == nil && len(t.records) >= maxRecords {
		t.evict()
	}
	r = &record{lastCrash: now}
	t.records[f] = r
	return r
}

func (t *Tracker) evict() {
	var candidate Fingerprint
	var candidateRecord *record
	for f, r := range t.records {
		if candidateRecord == nil || t.evictBefore(f, r, candidate, candidateRecord) {
			candidate, candidateRecord = f, r
		}
	}
	delete(t.records, candidate)
}

// evictBefore reports whether the first record is evicted before the second: records
// that are not quarantined first, then the oldest. The fingerprint makes the order
// total.
func (t *Tracker) evictBefore(f Fingerprint, r *record, g Fingerprint, s *record) bool {
	rQuarantined, sQuarantined := t.score(r) >= fullCrashWeight*t.crashThreshold, t.score(s) >= fullCrashWeight*t.crashThreshold
	if rQuarantined != sQuarantined {
		return sQuarantined
	}
	if !r.lastCrash.Equal(s.lastCrash) {
		return r.lastCrash.Before(s.lastCrash)
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
