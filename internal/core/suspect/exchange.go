package suspect

import (
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/changes"
	"github.com/boragelead/boragelead/internal/core/payload"
)

const (
	// resendWindow is how long a record is included in messages after its last
	// change, so that peers receive it even if a message is lost.
	resendWindow = 5 * time.Second
	// maxMessageRecords bounds the records of one message.
	maxMessageRecords = 512
)

type message struct {
	Records []recordMessage
	// Waves lists the crashes that belong to a wave.
	Waves []uint64
}

// recordMessage is a record with ages in milliseconds instead of times, because the
// clocks of VMs may differ.
type recordMessage struct {
	Fingerprint []byte
	// Crashes and CrashAgesMS list the crashes. Daemons of earlier releases send no
	// ages; AgeMS then holds for all crashes that are not in Forgiven.
	Crashes, Forgiven []uint64
	CrashAgesMS       []int64 `msgpack:",omitempty"`
	// SurvivedAgeMS is the time since the last survival, 0 if none is known.
	SurvivedAgeMS int64 `msgpack:",omitempty"`
	// AgeMS is the time since the record was last seen.
	AgeMS int64
}

// Payload encodes records for peers: the recently changed ones, or all of them for
// a peer that has just joined.
func (t *Tracker) Payload(all bool, now time.Time) ([]byte, error) {
	t.mu.RLock()
	var m message
	for f, r := range t.records {
		if !all && now.Sub(r.lastChange) > resendWindow {
			continue
		}
		m.Records = append(m.Records, r.message(f, now))
	}
	for id, at := range t.waves {
		if all || now.Sub(at) <= resendWindow {
			m.Waves = append(m.Waves, uint64(id))
		}
	}
	t.mu.RUnlock()
	slices.SortFunc(m.Records, func(a, b recordMessage) int {
		if a.AgeMS != b.AgeMS {
			return int(a.AgeMS - b.AgeMS)
		}
		return slices.Compare(a.Fingerprint, b.Fingerprint)
	})
	if !all {
		m.Records = m.Records[:min(len(m.Records), maxMessageRecords)]
	}
	slices.Sort(m.Waves)
	return payload.Encode(&m)
}

// Version returns the number of the last change of a record.
func (t *Tracker) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Changes encodes the records that changed after a version and returns the version
// to pass to the next call. data is nil if no record changed. ownOnly limits the
// records to changes that this tracker observed itself, for a peer that receives
// the others from their observers.
func (t *Tracker) Changes(version uint64, ownOnly bool, now time.Time) (data []byte, next uint64, err error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var changed []changes.Change[recordMessage]
	for f, r := range t.records {
		changedAt := r.version
		if ownOnly {
			changedAt = r.ownVersion
		}
		if changedAt > version {
			changed = append(changed, changes.Change[recordMessage]{Version: changedAt, Value: r.message(f, now)})
		}
	}
	if len(changed) == 0 {
		return nil, t.version, nil
	}
	var m message
	m.Records, next = changes.Oldest(changed, maxMessageRecords, t.version)
	m.Waves = t.waveCrashesOf(m.Records)
	data, err = payload.Encode(&m)
	return data, next, err
}

// waveCrashesOf lists the crashes of the records that belong to a wave. It must
// be called with the lock held.
func (t *Tracker) waveCrashesOf(records []recordMessage) []uint64 {
	var list []uint64
	for i := range records {
		for _, id := range records[i].Crashes {
			if _, wave := t.waves[crashID(id)]; wave && !slices.Contains(list, id) {
				list = append(list, id)
			}
		}
	}
	slices.Sort(list)
	return list
}

func (r *record) message(f Fingerprint, now time.Time) recordMessage {
	m := recordMessage{Fingerprint: f[:], AgeMS: now.Sub(r.lastSeen).Milliseconds()}
	for _, e := range r.crashes {
		m.Crashes = append(m.Crashes, uint64(e.id))
		m.CrashAgesMS = append(m.CrashAgesMS, now.Sub(e.at).Milliseconds())
		if !e.at.After(r.survivedAt) {
			m.Forgiven = append(m.Forgiven, uint64(e.id))
		}
	}
	if !r.survivedAt.IsZero() {
		m.SurvivedAgeMS = max(now.Sub(r.survivedAt).Milliseconds(), 1)
	}
	return m
}

// crashEvents returns the crashes with times by the clock of this daemon.
func (m *recordMessage) crashEvents(now time.Time) []crashEvent {
	var list []crashEvent
	for i, id := range m.Crashes {
		switch {
		case len(m.CrashAgesMS) == len(m.Crashes):
			list = append(list, crashEvent{crashID(id), before(now, m.CrashAgesMS[i])})
		case !slices.Contains(m.Forgiven, id):
			list = append(list, crashEvent{crashID(id), before(now, m.AgeMS)})
		}
	}
	return list
}

// before returns the time an age ago. Negative ages count as 0.
func before(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(max(ageMS, 0)) * time.Millisecond)
}

// Merge applies the payload of a peer and returns how many records changed. It is
// idempotent, and the result does not depend on the order of the payloads.
func (t *Tracker) Merge(data []byte, now time.Time) (changed int, err error) {
	var m message
	if err := payload.Decode(data, &m); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range m.Waves {
		if _, known := t.waves[crashID(id)]; !known && len(t.waves) < maxRecords {
			t.waves[crashID(id)] = now
		}
	}
	for i := range m.Records {
		if t.merge(&m.Records[i], now) {
			changed++
		}
	}
	t.count.Store(int64(len(t.records)))
	return changed, nil
}

// merge applies a record of a peer and reports whether it changed the own record.
func (t *Tracker) merge(m *recordMessage, now time.Time) (changed bool) {
	lastSeen := before(now, m.AgeMS)
	if len(m.Fingerprint) != len(Fingerprint{}) || now.Sub(lastSeen) > t.quarantine {
		return false
	}
	f := Fingerprint(m.Fingerprint)
	r := t.records[f]
	if r == nil || now.Sub(r.lastSeen) > t.quarantine {
		r = t.record(f, now)
		r.lastSeen = lastSeen
		// The peer may not know of the runs that survived here.
		if !r.survivedAt.IsZero() {
			t.setChanged(r, true, now)
		}
	}
	if lastSeen.Sub(r.lastSeen) >= refreshInterval/2 {
		changed = true
	}
	if lastSeen.After(r.lastSeen) {
		r.lastSeen = lastSeen
	}
	for _, e := range m.crashEvents(now) {
		changed = r.addCrash(e) || changed
	}
	changed = t.mergeSurvival(r, m, now) || changed
	if changed {
		t.setChanged(r, false, now)
	}
	return changed
}

// mergeSurvival applies the last survival that a peer knows. Only the first one and
// those that clear crashes are passed on.
func (t *Tracker) mergeSurvival(r *record, m *recordMessage, now time.Time) (changed bool) {
	if m.SurvivedAgeMS <= 0 {
		return false
	}
	at := before(now, m.SurvivedAgeMS)
	if !at.After(r.survivedAt) {
		return false
	}
	first, uncleared := r.survivedAt.IsZero(), len(r.uncleared())
	r.survivedAt = at
	return first || len(r.uncleared()) != uncleared
}
