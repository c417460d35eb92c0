package entry

import (
	"net/http"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/rollout"
)

const (
	// minTrial and maxTrial bound the time after which an attempt is counted as evidence,
	// which is the target latency of its route.
	minTrial = 200 * time.Millisecond
	maxTrial = time.Second
)

// trial measures a first attempt as evidence for the roll-out of its service. Each one is
// counted once, when a fixed time has passed since its start. If results were counted as they
// arrive, the fast ones among those of a version whose share rises would be in the majority.
type trial struct {
	table     *rollout.Table
	startedAt time.Time
	after     time.Duration
	timer     *time.Timer

	mu     sync.Mutex
	sample rollout.Sample
	// counted is set once the attempt was counted, and void if it must not be.
	counted, void bool
}

// beginTrial returns nil if there is no roll-out, or the attempt is not the first one.
func (c *call) beginTrial(h *hop) *trial {
	id := c.entry.rollouts.ActiveID(c.service.Name)
	if id == 0 || c.softwareVersion != nil || len(c.avoidedEndpoints()) > 0 {
		return nil
	}
	t := &trial{table: c.entry.rollouts, startedAt: time.Now(), after: min(max(c.route.Target, minTrial), maxTrial)}
	t.sample = rollout.Sample{ID: id, Service: c.service.Name, Route: c.route.Name, Version: h.endpoint.SoftwareVersion, Ended: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(t.after, t.count)
	return t
}

// count counts the attempt. One that has no answer yet counts with the time that it has taken.
func (t *trial) count() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.void {
		return
	}
	t.counted = true
	if t.sample.Time == 0 && !t.sample.Failed {
		t.sample.Time = t.after
	}
	t.table.Record(&t.sample)
}

// noteAnswered records the time to the answer, or to the first event of a stream.
func (t *trial) noteAnswered(now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sample.Time == 0 {
		t.sample.Time = max(now.Sub(t.startedAt), 1)
	}
}

// fail records that the attempt failed.
func (t *trial) fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.counted {
		t.sample.Failed = true
		return
	}
	late := t.sample
	late.Ended, late.Failed, late.Time = false, true, 0
	t.table.Record(&late)
}

// discard ends a trial that shows nothing.
func (t *trial) discard() {
	t.timer.Stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.void = true
}

// ran reports whether the attempt ran at its endpoint, as far as is known, and ended there.
func (o *outcome) ran() bool {
	return o.sent && !o.notRun && o.refusal == nil && o.moved == nil
}

// endTrial ends the trial of an attempt. A request that the endpoint did not run shows nothing,
// nor does one whose caller left.
func (c *call) endTrial(result *outcome) {
	t := c.trial
	c.trial = nil
	switch {
	case t == nil:
	case !result.ran() || c.r.Context().Err() != nil || result.done && !c.complete:
		t.discard()
	case !result.done || c.status >= http.StatusInternalServerError:
		t.fail()
	}
}
