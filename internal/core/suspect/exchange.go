package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/core/payload"
)

const (
	// recentMark is how long a record stays in the messages after its last
	// change, so that a lost message does no harm.
	recentMark = 5 * time.Second
	// maxMessage bounds the records of one message.
	maxMessage = 512
)

type message struct {
	Records []recordMessage
	// Waves lists crashes that belong to a wave.
	Waves []uint64
}

type recordMessage struct {
	Fingerprint       []byte
	Crashes, Forgiven []uint64
	// AgeMS is the time since the last crash, in milliseconds: clocks of VMs
	// are not compared.
	AgeMS int64
}

// Payload encodes records for peers: those that changed lately, or all for a
// peer that just joined.
func (t *Tracker) Payload(all bool, now time.Time) ([]byte, error) {
	t.mu.RLock()
	var m message
	for f, r := range t.records {
		if !all && now.Sub(r.changed) > recentMark {
			continue
		}
		m.Records = append(m.Records, r.message(f, now))
	}
	for id, at := range t.waves {
		if all || now.Sub(at) <= recentMark {
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
		m.Records = m.Records[:min(len(m.Records), maxMessage)]
	}
	slices.Sort(m.Waves)
	return payload.Encode(&m)
}

// Changes encodes the records that changed after a version, and returns the
// version to ask for next; the encoding is nil without any. Only own changes
// are for a peer that gets the other ones from their observers.
func (t *Tracker) Changes(version uint64, own bool, now time.Time) (data []byte, next uint64, err error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	type change struct {
		version uint64
		record  recordMessage
	}
	var list []change
	for f, r := range t.records {
		at := r.version
		if own {
			at = r.ownVersion
		}
		if at > version {
			list = append(list, change{at, r.message(f, now)})
		}
	}
	if len(list) == 0 {
		return nil, t.version, nil
	}
	slices.SortFunc(list, func(a, b change) int { return cmp.Compare(a.version, b.version) })
	next = t.version
	if len(list) > maxMessage {
		list = list[:maxMessage]
		next = list[maxMessage-1].version
	}
	var m message
	for i := range list {
		m.Records = append(m.Records, list[i].record)
	}
	m.Waves = t.wavesOf(m.Records)
	data, err = payload.Encode(&m)
	return data, next, err
}

// wavesOf lists the crashes of records that belong to a wave. It must be
// called with the lock held.
func (t *Tracker) wavesOf(records []recordMessage) []uint64 {
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
		Fingerprint: f[:], Crashes: numbers(r.crashes), Forgiven: numbers(r.forgiven),
		AgeMS: now.Sub(r.at).Milliseconds(),
	}
}

// Merge takes the payload of a peer. Merging is idempotent and gives the same
// result in any order.
func (t *Tracker) Merge(data []byte, now time.Time) error {
	var m message
	if err := payload.Decode(data, &m); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range m.Waves {
		if _, known := t.waves[crashID(id)]; !known && len(t.waves) < maxRecords {
			t.waves[crashID(id)] = now
		}
	}
	for i := range m.Records {
		t.merge(&m.Records[i], now)
	}
	t.count.Store(int64(len(t.records)))
	return nil
}

func (t *Tracker) merge(m *recordMessage, now time.Time) {
	at := now.Add(-time.Duration(max(m.AgeMS, 0)) * time.Millisecond)
	if len(m.Fingerprint) != len(Fingerprint{}) || now.Sub(at) > t.quarantine {
		return
	}
	r := t.record(Fingerprint(m.Fingerprint), now)
	before := len(r.crashes) + len(r.forgiven)
	if before == 0 || at.After(r.at) {
		r.at = at
	}
	r.crashes = union(r.crashes, ids(m.Crashes))
	r.forgiven = union(r.forgiven, ids(m.Forgiven))
	if len(r.crashes)+len(r.forgiven) > before {
		t.touch(r, false, now)
	}
}

func numbers(list []crashID) []uint64 {
	out := make([]uint64, len(list))
	for i, id := range list {
		out[i] = uint64(id)
	}
	return out
}

func ids(list []uint64) []crashID {
	out := make([]crashID, len(list))
	for i, n := range list {
		out[i] = crashID(n)
	}
	return out
}
