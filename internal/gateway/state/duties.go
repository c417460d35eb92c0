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
	// dutyLease is the name of the lease whose holder performs all duties.
	dutyLease = "duties"
	// leaseFactor is the ratio of the lease time to the agreed lease time. The
	// margin separates two holders: a replica that lost the lease cannot hold it
	// again within the agreed time.
	leaseFactor = 1.1
	// renewShare is the part of the lease time that is left when the lease is
	// renewed.
	renewShare   = 0.5
	dutyInterval = 250 * time.Millisecond
	// usageGracePeriod is how long after the end of a window entries may still
	// deliver counts.
	usageGracePeriod = time.Second
	// reportDeadlineShare is the part of the agreed report delay after which a
	// window is reported even if the counts of an entry are missing.
	reportDeadlineShare = 0.75
	// usageSeries is the name of the record series of usage reports in the ledger.
	usageSeries = "usage"
	// callTimeout bounds one call to the ledger and to the receiver of a duty.
	callTimeout = 1500 * time.Millisecond
	// reportRetryDelay is the wait after a failed usage report.
	reportRetryDelay = 700 * time.Millisecond
)

// dutyHolder performs the duties while this replica holds the lease. It is used
// by one goroutine only.
type dutyHolder struct {
	state        *State
	windowLength time.Duration
	fence        port.Fence
	// leaseEnd is when the lease ends. The boot clock also advances while the VM is
	// suspended.
	leaseEnd bootclock.Instant
	// reported holds the windows whose report was accepted.
	reported      map[uint64]bool
	retryReportAt time.Time
	// planners holds the planner of each service. They run again at nextPlanAt.
	planners   map[string]*scale.Planner
	nextPlanAt time.Time
}

func (s *State) dutyLoop() {
	h := &dutyHolder{state: s, windowLength: settings.Seconds(s.options.Settings.Bounds.UsageWindowS), reported: make(map[uint64]bool)}
	s.runEvery(dutyInterval, h.step)
}

func (h *dutyHolder) step(now time.Time) {
	h.renewLease()
	h.dropOldWindows()
	if !h.mayAct() || !h.state.isPolledByAll() {
		return
	}
	h.reportUsage(now)
	h.orderEndpoints(now)
}

// mayAct reports whether this replica may perform the duties. If the receivers
// enforce fencing numbers, a new leader takes the lease over before it ends, so
// the holder must be the leader as well.
func (h *dutyHolder) mayAct() bool {
	return bootclock.Now() < h.leaseEnd && (!h.fencingEnforced() || h.state.isLeader())
}

// fencingEnforced reports whether receivers refuse the calls of a former holder. A
// new leader then does not have to wait for the end of the former lease.
func (h *dutyHolder) fencingEnforced() bool { return h.state.options.Settings.Bounds.FencingEnforced }

// renewLease renews the lease. A replica that does not hold the lease requests it
// only if it is the leader, so that the lease moves only when the leader changes.
// In a large group a former leader lets the lease end, because entries no longer
// poll it.
func (h *dutyHolder) renewLease() {
	s := h.state
	ttl := time.Duration(leaseFactor * float64(settings.Millis(s.options.Settings.Bounds.LeaseMS)))
	now := bootclock.Now()
	holds := now < h.leaseEnd
	if holds && h.leaseEnd.Sub(now) > time.Duration(renewShare*float64(ttl)) {
		return
	}
	if !s.isLeader() && (!holds || !s.isSmallGroup() || h.fencingEnforced()) {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	acquire := s.replica.AcquireLease
	if h.fencingEnforced() {
		acquire = s.replica.TakeOverLease
	}
	grant, err := acquire(ctx, dutyLease, s.options.Settings.Name, ttl)
	if err != nil {
		s.log.Warn("Lease of the duties not renewed.", zap.Duration("left", h.leaseEnd.Sub(now)), zap.Error(err))
		return
	}
	if !grant.Granted {
		h.leaseEnd = 0
		return
	}
	if h.fence.Number != grant.FencingNumber {
		s.log.Info("Duties taken.", zap.Uint64("fencing", grant.FencingNumber))
		h.reported = make(map[uint64]bool)
		h.planners = make(map[string]*scale.Planner)
	}
	h.fence = port.Fence{Holder: s.options.Settings.Name, Number: grant.FencingNumber}
	h.leaseEnd = now.Add(ttl)
}

// reportUsage reports the windows that have ended and are not yet reported.
func (h *dutyHolder) reportUsage(now time.Time) {
	if now.Before(h.retryReportAt) {
		return
	}
	s := h.state
	current := meter.WindowAt(s.clock.Now(), h.windowLength)
	for window := h.oldestWindow(); window < current && h.mayAct(); window++ {
		if h.reported[window] || !h.isReportable(window) {
			continue
		}
		if err := h.reportWindow(window); err != nil {
			s.log.Warn("Usage not reported.", zap.Uint64("window", window), zap.Uint64("fencing", h.fence.Number), zap.Error(err))
			h.retryReportAt = now.Add(reportRetryDelay)
			h.releaseIfFenced(err)
			return
		}
		h.reported[window] = true
	}
}

// oldestWindow returns the oldest window that can still be reported within the
// agreed delay.
func (h *dutyHolder) oldestWindow() uint64 {
	delay := settings.Seconds(h.state.options.Settings.Bounds.UsageDelayS)
	return meter.WindowAt(h.state.clock.Now().Add(-delay-h.windowLength), h.windowLength)
}

// dropOldWindows drops the windows that are too old to be reported. Replicas
// without the lease must do so too, because they collect counts as well.
func (h *dutyHolder) dropOldWindows() {
	oldestWindow := h.oldestWindow()
	h.state.options.Metrics.Gauge("state_usage_windows").Set(int64(h.state.usage.Drop(oldestWindow)))
	for window := range h.reported {
		if window < oldestWindow {
			delete(h.reported, window)
		}
	}
}

// isReportable reports whether to report a window now: the grace period has
// passed, and either every active entry has polled since half of it or the
// report can wait no longer.
func (h *dutyHolder) isReportable(window uint64) bool {
	end := time.Unix(0, int64(window+1)*int64(h.windowLength))
	sinceEnd := h.state.clock.Now().Sub(end)
	if sinceEnd < usageGracePeriod {
		return false
	}
	delay := settings.Seconds(h.state.options.Settings.Bounds.UsageDelayS)
	return sinceEnd > time.Duration(reportDeadlineShare*float64(delay)) || h.state.entries.allPolledWithin(sinceEnd-usageGracePeriod/2, time.Now())
}

// reportWindow records the counts in the replicated log before it sends them. If
// another holder has to repeat the report, it sends the same counts.
func (h *dutyHolder) reportWindow(window uint64) error {
	s := h.state
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(s.usage.Total(window))
	if err != nil {
		return err
	}
	recorded, err := s.replica.Record(ctx, port.RecordRequest{Series: usageSeries, Key: window, Value: value})
	if err != nil {
		return err
	}
	counts := make(map[string]int)
	if err := json.Unmarshal(recorded, &counts); err != nil {
		return err
	}
	if err := s.options.Duties.ReportUsage(ctx, h.fence, port.UsageReport{Window: window, Counts: counts}); err != nil {
		return err
	}
	s.options.Metrics.Counter("state_usage_reports").Inc()
	s.log.Info("Usage reported.", zap.Uint64("window", window), zap.Any("counts", counts), zap.Uint64("fencing", h.fence.Number))
	return nil
}

// releaseIfFenced releases the lease if the error says that the receiver has seen
// a higher fencing number. The next grant carries a new number.
func (h *dutyHolder) releaseIfFenced(err error) {
	var fenced *port.FencedError
	if !errors.As(err, &fenced) {
		return
	}
	h.leaseEnd = 0
	h.fence = port.Fence{}
	ctx, cancel := context.WithTimeout(h.state.ctx, callTimeout)
	defer cancel()
	if err := h.state.replica.ReleaseLease(ctx, dutyLease, h.state.options.Settings.Name); err != nil {
		h.state.log.Warn("Lease of the duties not released.", zap.Error(err))
	}
}
