package suspect

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	// maxRecords bounds the records; see evictBefore for the order of eviction.
	maxRecords = 8192
	// maxCrashes bounds the crashes remembered per fingerprint. The newest are kept.
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
	// simultaneousWindow is the time within which several crashes count once for a part
	// that survived at most recentSurvival before them. It exceeds the time in which
	// entries notice a crash, and the survivals of a common part are less than a second
	// apart.
	simultaneousWindow = 300 * time.Millisecond
	recentSurvival     = 5 * time.Second
	// isolatedRunTimeout is the time after which another copy of a suspect
	// request may run although End was not called for the last one.
	isolatedRunTimeout = 10 * time.Minute

	// refreshInterval is how often a refused request prolongs the quarantine of its
	// part. Each prolongation is sent to all entries.
	refreshInterval = 20 * time.Second
	// minPartProbeInterval is the time after the last crash or probe until a request
	// with a quarantined part may run as a probe. Each probe doubles it, up to
	// maxPartProbeInterval, since a probe of a deadly part costs an endpoint.
	minPartProbeInterval = 15 * time.Second
	maxPartProbeInterval = 10 * time.Minute

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

// Tracker decides which requests are suspect, must run alone or are quarantined.
// It is safe for concurrent use. While it has no records, Begin and End take no
// lock.
type Tracker struct {
	mu             sync.RWMutex
	count          atomic.Int64
	records        map[Fingerprint]*record
	recentCrashes  []crashEvent
	waves          map[crashID]time.Time
	survivals      *survivalLog
	version        uint64
	crashThreshold int
	quarantine     time.Duration
}

// NewTracker returns an empty tracker.
func NewTracker(config conf.Retry) *Tracker {
	t := &Tracker{records: make(map[Fingerprint]*record), waves: make(map[crashID]time.Time), survivals: newSurvivalLog()}
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
		r.lastSeen = now
		r.addCrash(crashEvent{id, now})
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
	case now.Sub(r.lastSeen) > t.quarantine || score < fullCrashWeight:
		return Clean, nil
	case score >= fullCrashWeight*t.crashThreshold:
		return Clean, r.quarantinedError(now, t.quarantine-now.Sub(r.lastSeen))
	case !r.isolatedSince.IsZero() && now.Sub(r.isolatedSince) < isolatedRunTimeout:
		return Alone, &BusyError{}
	}
	r.isolatedSince = now
	return Alone, nil
}

// End records the end of an attempt, with the verdict that Begin returned for it.
// finished is set if the endpoint sent the complete answer. The crashes recorded so
// far then no longer count, unless the request is quarantined.
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
		t.setSurvived(r, now)
	}
}

// setSurvived records that a run did not crash its endpoint until now. It must be
// called with the lock held.
func (t *Tracker) setSurvived(r *record, now time.Time) {
	uncleared := len(r.uncleared())
	r.survivedAt = now
	if uncleared > 0 {
		r.probes = 0
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
		if now.Sub(r.lastSeen) > t.quarantine {
			delete(t.records, f)
		}
	}
	for id, recordedAt := range t.waves {
		if now.Sub(recordedAt) > t.quarantine {
			delete(t.waves, id)
		}
	}
	t.count.Store(int64(len(t.records)))
}

// Len returns the number of records.
func (t *Tracker) Len() int { return int(t.count.Load()) }

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

// score returns the sum of the weights of the crashes after the last survival.
func (t *Tracker) score(r *record) int {
	return t.scoreWithout(r, nil)
}

// scoreWithout returns the score without the explained crashes. If a run survived shortly
// before, crashes within simultaneousWindow count once: runs that began before the first
// of them are one piece of evidence, and a few endpoints that are lost together would
// otherwise put the blame on each part that most requests share.
func (t *Tracker) scoreWithout(r *record, explained map[crashID]bool) int {
	uncleared := r.uncleared()
	together := len(uncleared) > 0 && uncleared[0].at.Sub(r.survivedAt) <= recentSurvival
	score := 0
	var countedUntil time.Time
	for _, e := range uncleared {
		if explained[e.id] || together && !e.at.After(countedUntil) {
			continue
		}
		score += t.weight(e.id)
		countedUntil = e.at.Add(simultaneousWindow)
	}
	return score
}

func (t *Tracker) weight(id crashID) int {
	if _, wave := t.waves[id]; wave {
		return waveCrashWeight
	}
	return fullCrashWeight
}

// record returns the record of a fingerprint and creates it if there is none or
// it has expired. If the tracker is full, it evicts another record.
func (t *Tracker) record(f Fingerprint, now time.Time) *record {
	r := t.records[f]
	if r != nil && now.Sub(r.lastSeen) <= t.quarantine {
		return r
	}
	if r == nil && len(t.records) >= maxRecords {
		t.evict()
	}
	r = &record{lastSeen: now, survivedAt: t.survivals.last(f)}
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
	if !r.lastSeen.Equal(s.lastSeen) {
		return r.lastSeen.Before(s.lastSeen)
	}
	return slices.Compare(f[:], g[:]) < 0
}
