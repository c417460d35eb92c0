package state

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/scale"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/settings"
)

const (
	// dutyLease names the lease of the holder of all duties.
	dutyLease = "duties"
	// leaseFactor of the agreed lease keeps two holders apart: a former holder
	// is never again the holder within it.
	leaseFactor = 1.1
	// renewShare of its time is left when a lease is renewed.
	renewShare   = 0.5
	dutyInterval = 250 * time.Millisecond
	// usageSettle is the time after the end of a window in which entries bring
	// their last counts.
	usageSettle = time.Second
	// usageLatest is the part of the agreed delay after which a report goes out
	// although an entry is still missing.
	usageLatest = 0.75
	// usageSeries names the recorded usage reports.
	usageSeries = "usage"
	callTimeout = 1500 * time.Millisecond
	// retryUsage is the pause after a failed report.
	retryUsage = 700 * time.Millisecond
)

// holder performs the duties while this replica has the lease. It belongs to one goroutine.
type holder struct {
	state  *State
	window time.Duration
	fence  port.Fence
	// until is when the lease ends. The clock counts suspensions of the VM.
	until bootclock.Instant
	// reported holds the windows that were accepted.
	reported map[uint64]bool
	retryAt  time.Time
	// planners holds the planner of each service; scaleAt is the next look.
	planners map[string]*scale.Planner
	scaleAt  time.Time
}

func (s *State) dutyLoop() {
	h := &holder{state: s, window: settings.Seconds(s.options.Settings.Bounds.UsageWindowS), reported: make(map[uint64]bool)}
	s.every(dutyInterval, h.step)
}

func (h *holder) step(now time.Time) {
	h.keepLease()
	h.forget()
	if !h.mayAct() || !h.state.hearsAll() {
		return
	}
	h.reportUsage(now)
	h.orderEndpoints(now)
}

// mayAct reports whether this replica holds the duties. Where a new leader may
// take them from the former one, only the leader does.
func (h *holder) mayAct() bool {
	return bootclock.Now() < h.until && (!h.fenced() || h.state.leads())
}

// fenced reports whether calls of a former holder are refused, so that a new
// leader need not wait for the end of its lease.
func (h *holder) fenced() bool { return h.state.options.Settings.Bounds.FencingEnforced }

// keepLease renews the lease, or asks for it where this replica leads the
// state: the lease then moves only when the leader does. In a large group a
// former leader lets it end, because the entries no longer poll it.
func (h *holder) keepLease() {
	s := h.state
	ttl := time.Duration(leaseFactor * float64(settings.Millis(s.options.Settings.Bounds.LeaseMS)))
	now := bootclock.Now()
	holds := now < h.until
	if holds && h.until.Sub(now) > time.Duration(renewShare*float64(ttl)) {
		return
	}
	if !s.leads() && (!holds || !s.isSmall() || h.fenced()) {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	acquire := s.replica.AcquireLease
	if h.fenced() {
		acquire = s.replica.TakeOverLease
	}
	grant, err := acquire(ctx, dutyLease, s.options.Settings.Name, ttl)
	if err != nil {
		s.log.Warn("Lease of the duties not renewed.", zap.Duration("left", h.until.Sub(now)), zap.Error(err))
		return
	}
	if !grant.Granted {
		h.until = 0
		return
	}
	if h.fence.Number != grant.FencingNumber {
		s.log.Info("Duties taken.", zap.Uint64("fencing", grant.FencingNumber))
		h.reported = make(map[uint64]bool)
		h.planners = make(map[string]*scale.Planner)
	}
	h.fence = port.Fence{Holder: s.options.Settings.Name, Number: grant.FencingNumber}
	h.until = now.Add(ttl)
}

// reportUsage reports the windows that are over and not yet reported.
func (h *holder) reportUsage(now time.Time) {
	if now.Before(h.retryAt) {
		return
	}
	s := h.state
	current := meter.WindowAt(s.clock.Now(), h.window)
	for k := h.oldest(); k < current && h.mayAct(); k++ {
		if h.reported[k] || !h.isSettled(k) {
			continue
		}
		if err := h.reportWindow(k); err != nil {
			s.log.Warn("Usage not reported.", zap.Uint64("window", k), zap.Uint64("fencing", h.fence.Number), zap.Error(err))
			h.retryAt = now.Add(retryUsage)
			h.refused(err)
			return
		}
		h.reported[k] = true
	}
}

// oldest returns the oldest window that can still be reported in time.
func (h *holder) oldest() uint64 {
	delay := settings.Seconds(h.state.options.Settings.Bounds.UsageDelayS)
	return meter.WindowAt(h.state.clock.Now().Add(-delay-h.window), h.window)
}

// forget drops windows that are too old. Replicas without the lease collect
// counts as well.
func (h *holder) forget() {
	oldest := h.oldest()
	h.state.options.Metrics.Gauge("state_usage_windows").Set(int64(h.state.usage.Drop(oldest)))
	for k := range h.reported {
		if k < oldest {
			delete(h.reported, k)
		}
	}
}

// isSettled reports whether the counts of a window are complete as far as can be known.
func (h *holder) isSettled(k uint64) bool {
	end := time.Unix(0, int64(k+1)*int64(h.window))
	over := h.state.clock.Now().Sub(end)
	if over < usageSettle {
		return false
	}
	delay := settings.Seconds(h.state.options.Settings.Bounds.UsageDelayS)
	return over > time.Duration(usageLatest*float64(delay)) || h.state.entries.allPolledWithin(over-usageSettle/2, time.Now())
}

// reportWindow stores the counts before it sends them, so that another holder
// would send the same.
func (h *holder) reportWindow(k uint64) error {
	s := h.state
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(s.usage.Total(k))
	if err != nil {
		return err
	}
	kept, err := s.replica.Record(ctx, port.RecordRequest{Series: usageSeries, Key: k, Value: value})
	if err != nil {
		return err
	}
	counts := make(map[string]int)
	if err := json.Unmarshal(kept, &counts); err != nil {
		return err
	}
	if err := s.options.Duties.ReportUsage(ctx, h.fence, port.UsageReport{Window: k, Counts: counts}); err != nil {
		return err
	}
	s.options.Metrics.Counter("state_usage_reports").Inc()
	s.log.Info("Usage reported.", zap.Uint64("window", k), zap.Any("counts", counts), zap.Uint64("fencing", h.fence.Number))
	return nil
}

// refused gives the lease up when a higher fencing number was seen: the next
// grant gets a new one.
func (h *holder) refused(err error) {
	var fenced *port.FencedError
	if !errors.As(err, &fenced) {
		return
	}
	h.until = 0
	h.fence = port.Fence{}
	ctx, cancel := context.WithTimeout(h.state.ctx, callTimeout)
	defer cancel()
	if err := h.state.replica.ReleaseLease(ctx, dutyLease, h.state.options.Settings.Name); err != nil {
		h.state.log.Warn("Lease of the duties not released.", zap.Error(err))
	}
}
