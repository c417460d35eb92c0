package engine

import (
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/announce"
)

const (
	// minSampleInterval bounds how often load is sampled for lagged reports.
	minSampleInterval = 10 * time.Millisecond
	// maxEventsPerMessage bounds the size of one message of cache events.
	maxEventsPerMessage = 4096
)

// sample is the load at a time.
type sample struct {
	at   time.Time
	load endpoint.Load
}

// timedEvent is a cache event with the time at which it may be sent.
type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

// eventLog holds cache events that were not sent yet.
type eventLog struct {
	seq     uint64
	sent    uint64
	pending []timedEvent
}

// cacheChanged logs a change of the prefix cache. The caller holds mu.
func (e *Engine) cacheChanged(kind endpoint.CacheEventKind, block uint64) {
	e.events.seq++
	if len(e.config.Entries) == 0 || e.rand.Float64() < e.config.CacheEventLoss {
		return
	}
	e.events.pending = append(e.events.pending, timedEvent{
		at:    time.Now().Add(e.config.CacheEventDelay),
		event: endpoint.CacheEvent{Seq: e.events.seq, Kind: kind, Block: block},
	})
}

// resetEvents replaces what is pending by the complete content of the cache.
func (e *Engine) resetEvents() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.events.pending = nil
	e.events.seq++
	e.events.pending = append(e.events.pending, timedEvent{now, endpoint.CacheEvent{Seq: e.events.seq, Kind: endpoint.CacheReset}})
	for _, block := range e.cache.all() {
		e.events.seq++
		event := endpoint.CacheEvent{Seq: e.events.seq, Kind: endpoint.CacheAdd, Block: block}
		e.events.pending = append(e.events.pending, timedEvent{now, event})
	}
}

// dueEvents takes the events whose delay is over.
func (e *Engine) dueEvents(now time.Time) []endpoint.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var due []endpoint.CacheEvent
	for _, item := range e.events.pending {
		if item.at.After(now) || len(due) == maxEventsPerMessage {
			break
		}
		due = append(due, item.event)
	}
	e.events.pending = e.events.pending[len(due):]
	if len(due) > 0 {
		e.events.sent = due[len(due)-1].Seq
	}
	return due
}

// cacheCapacity is the room for cached blocks next to running generations. The caller holds mu.
func (e *Engine) cacheCapacity() int {
	return (e.config.KVCapacityTokens - e.runningTokens()) / blockTokens
}

func (e *Engine) runningTokens() int {
	tokens := 0
	for _, s := range e.running {
		tokens += s.total + s.offset - s.req.EmittedTokens
	}
	return tokens
}

// currentLoad returns the load now.
func (e *Engine) currentLoad() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := endpoint.Load{KVTokens: e.runningTokens() + len(e.cache.blocks)*blockTokens}
	for _, s := range e.running {
		if s.ended {
			continue
		}
		load.Running++
		load.WaitingTokens += s.prefillLeft
	}
	for _, s := range e.waiting {
		if s.ended {
			continue
		}
		load.Waiting++
		load.WaitingTokens += s.total
	}
	return load
}

func (e *Engine) announceSoon() {
	select {
	case e.announceNow <- struct{}{}:
	default:
	}
}

// announceLoop renews the lease, samples the load and sends cache events.
func (e *Engine) announceLoop() {
	sender := announce.NewSender(e.config.Entries)
	interval := e.config.AnnounceInterval
	if e.config.LoadLag > 0 {
		interval = min(interval, max(e.config.LoadLag/4, minSampleInterval))
	}
	if e.config.CacheEventDelay > 0 {
		interval = min(interval, max(e.config.CacheEventDelay, minSampleInterval))
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var samples []sample
	var last time.Time
	var seq uint64
	for soon := true; ; {
		now := time.Now()
		samples = recent(append(samples, sample{now, e.currentLoad()}), now.Add(-e.config.LoadLag))
		if soon || now.Sub(last) >= e.config.AnnounceInterval-interval/2 {
			last = now
			seq++
			e.announce(sender, samples[0], seq, now)
		}
		e.sendEvents(sender, now)
		select {
		case <-ticker.C:
			soon = false
		case <-e.announceNow:
			soon = true
		case <-e.ctx.Done():
			return
		}
	}
}

// recent drops samples that are older than needed: the first one kept is the
// newest that is at least as old as the limit, if there is one.
func recent(samples []sample, limit time.Time) []sample {
	for len(samples) > 1 && !samples[1].at.After(limit) {
		samples = samples[1:]
	}
	return samples
}

func (e *Engine) announce(sender *announce.Sender, old sample, seq uint64, now time.Time) {
	load := old.load
	load.Seq = seq
	load.AgeMS = now.Sub(old.at).Milliseconds()
	message := e.announcement(load, now)
	reply, err := sender.Announce(e.ctx, &message)
	if err == nil && reply.WantCacheReset {
		e.resetEvents()
	}
}

func (e *Engine) announcement(load endpoint.Load, now time.Time) endpoint.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := endpoint.Announcement{
		ID: e.config.ID, Incarnation: e.config.Incarnation, BaseURL: e.baseURL, FailureDomain: e.config.FailureDomain,
		Kind: endpoint.KindEngine, VM: e.config.VM, Class: e.config.Class, Role: e.role, Models: e.models,
		State: e.state, Slots: e.config.Slots, KVCapacityTokens: e.config.KVCapacityTokens, Fencing: e.config.Fencing,
		ChecksCaller: e.config.ControllerToken != "", Reclaimable: e.config.Reclaimable,
		LeaseMS: e.config.Lease.Milliseconds(), Load: load, CacheSeq: e.events.sent,
	}
	if !e.leaveBy.IsZero() {
		a.DeadlineMS = max(e.leaveBy.Sub(now).Milliseconds(), 1)
	}
	return a
}

func (e *Engine) sendEvents(sender *announce.Sender, now time.Time) {
	for events := e.dueEvents(now); len(events) > 0; events = e.dueEvents(now) {
		message := endpoint.CacheEvents{ID: e.config.ID, Incarnation: e.config.Incarnation, Events: events}
		// A lost message is a gap, which the receiver sees from the numbers.
		_ = sender.CacheEvents(e.ctx, &message)
	}
}

func (e *Engine) withdraw(deadline time.Duration, reason string) {
	sender := announce.NewSender(e.config.Entries)
	_ = sender.Withdraw(e.ctx, &endpoint.Withdrawal{
		ID: e.config.ID, Incarnation: e.config.Incarnation, DeadlineMS: deadline.Milliseconds(), Reason: reason,
	})
}

// Stop withdraws the engine and stops it.
func (e *Engine) Stop() {
	e.withdraw(0, "stopped")
	e.Close()
}
