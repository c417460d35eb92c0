package suspect

import "time"

// Survived records that a run whose prompt has these parts has not crashed its
// endpoint. A deadly part crashes each endpoint, so that the crashes until now have
// another cause.
func (t *Tracker) Survived(parts []Fingerprint, now time.Time) {
	t.survivals.add(parts, now)
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range parts {
		if r := t.records[f]; r != nil {
			t.setSurvived(r, now)
		}
	}
}

// CheckPart returns a *QuarantinedError if requests with this prompt part must not
// run, because it crashed endpoints. The quarantine lasts as long as such requests
// are refused, and until a run with the part survives.
func (t *Tracker) CheckPart(part Fingerprint, now time.Time) error {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.RLock()
	r := t.records[part]
	held := r != nil && t.isPartQuarantined(part, r, now)
	t.mu.RUnlock()
	if !held {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(r.lastSeen) >= refreshInterval {
		r.lastSeen = now
		t.setChanged(r, true, now)
	}
	return r.quarantinedError(now, max(r.nextPartProbe().Sub(now), 0))
}

// isPartQuarantined reports whether a part has caused enough crashes. It must be
// called with the lock held.
func (t *Tracker) isPartQuarantined(part Fingerprint, r *record, now time.Time) bool {
	threshold := fullCrashWeight * t.crashThreshold
	if now.Sub(r.lastSeen) > t.quarantine || t.score(r) < threshold {
		return false
	}
	return t.unexplainedScore(part, r) >= threshold
}

// unexplainedScore returns the score of a part without the crashes that a stronger
// suspect explains. Parts that often occur together with a deadly one share its
// crashes and need not be deadly themselves.
func (t *Tracker) unexplainedScore(part Fingerprint, r *record) int {
	score := t.score(r)
	explained := make(map[crashID]bool)
	for f, other := range t.records {
		if f == part || len(other.crashes) == 0 || !isStronger(f, other, part, r) || t.score(other) < score {
			continue
		}
		for _, e := range other.uncleared() {
			explained[e.id] = true
		}
	}
	return t.scoreWithout(r, explained)
}

// isStronger reports whether, at equal scores, the first suspect more likely caused
// a crash than the second: the one whose last survival is longer ago, and a whole
// request before its parts.
func isStronger(f Fingerprint, r *record, g Fingerprint, s *record) bool {
	if !r.survivedAt.Equal(s.survivedAt) {
		return r.survivedAt.Before(s.survivedAt)
	}
	return !f.isPart() && g.isPart()
}

// nextPartProbe returns the earliest time of the next probe.
func (r *record) nextPartProbe() time.Time {
	interval := minPartProbeInterval
	for range r.probes {
		interval = min(2*interval, maxPartProbeInterval)
	}
	last := r.lastCrash()
	if r.probedAt.After(last) {
		last = r.probedAt
	}
	return last.Add(interval)
}

// TakePartProbe reports whether a request with a quarantined part may run now as a
// probe, and records the probe if so. The entries ask the tracker of one daemon, so
// that there is one probe at a time in the whole deployment. Each entry also takes
// the probe from its own tracker before, so that it does not ask for each request.
func (t *Tracker) TakePartProbe(part Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[part]
	if r == nil || now.Before(r.nextPartProbe()) {
		return false
	}
	r.probes++
	r.probedAt = now
	return true
}
