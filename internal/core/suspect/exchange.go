package suspect

import (
	"cmp"
	"slices"
	"time"

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

type recordMessage struct {
	Fingerprint       []byte
	Crashes, Forgiven []uint64
	// AgeMS is the time since the last crash in milliseconds. An age is sent
	// instead of a time, because the clocks of VMs may differ.
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

// Changes encodes the records that changed after a version and returns the version
// to pass to the next call. data is nil if no record changed. ownOnly limits the
// records to changes that this tracker observed itself, for a peer that receives
// the others from their observers.
func (t *Tracker) Changes(version uint64, ownOnly bool, now time.Time) (data []byte, next uint64, err error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	type change struct {
		version uint64
		record  recordMessage
	}
	var changes []change
	for f, r := range t.records {
		changedAt := r.version
		if ownOnly {
			changedAt = r.ownVersion
		}
		if changedAt > version {
			changes = append(changes, change{changedAt, r.message(f, now)})
		}
	}
	if len(changes) == 0 {
		return nil, t.version, nil
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	next = t.version
	if len(changes) > maxMessageRecords {
		changes = changes[:maxMessageRecords]
		next = changes[maxMessageRecords-1].version
	}
	var m message
	for i := range changes {
		m.Records = append(m.Records, changes[i].record)
	}
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
	return recordMessage{
		Fingerprint: f[:], Crashes: crashNumbers(r.crashes), Forgiven: crashNumbers(r.forgiven),
		AgeMS: now.Sub(r.lastCrash).Milliseconds(),
	}
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
func (t *Tracker) merge(m *recordMessage, now time.Time) bool {
	lastCrash := now.Add(-time.Duration(max(m.AgeMS, 0)) * time.Millisecond)
	if len(m.Fingerprint) != len(Fingerprint{}) || now.Sub(lastCrash) > t.quarantine {
		return false
	}
	r := t.record(Fingerprint(m.Fingerprint), now)
	known := len(r.crashes) + len(r.forgiven)
	if known == 0 || lastCrash.After(r.lastCrash) {
		r.lastCrash = lastCrash
	}
	r.crashes = union(r.crashes, crashIDs(m.Crashes))
	r.forgiven = union(r.forgiven, crashIDs(m.Forgiven))
	if len(r.crashes)+len(r.forgiven) == known {
		return false
	}
	t.setChanged(r, false, now)
	return true
}

func crashNumbers(list []crashID) []uint64 {
	out := make([]uint64, len(list))
	for i, id := range list {
		out[i] = uint64(id)
	}
	return out
}

func crashIDs(list []uint64) []crashID {
	out := make([]crashID, len(list))
	for i, n := range list {
		out[i] = crashID(n)
	}
	return out
}
