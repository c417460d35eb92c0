package suspect

import (
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
		m.Records = append(m.Records, recordMessage{
			Fingerprint: f[:], Crashes: numbers(r.crashes), Forgiven: numbers(r.forgiven),
			AgeMS: now.Sub(r.at).Milliseconds(),
		})
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
		r.changed = now
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
