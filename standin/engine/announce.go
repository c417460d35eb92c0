package engine

import (
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/announce"
)

const (
	// minSampleInterval is the shortest interval at which the announce loop
	// samples the load or sends delayed cache events.
	minSampleInterval = 10 * time.Millisecond
	// maxEventsPerMessage limits the number of cache events in one message.
	maxEventsPerMessage = 4096
)

// loadSample is the load of the engine at a point in time.
type loadSample struct {
	takenAt time.Time
	load    endpoint.Load
}

// delayedEvent is a cache event with the earliest time at which it may be sent.
type delayedEvent struct {
	sendAt time.Time
	event  endpoint.CacheEvent
}

// cacheEventQueue holds the cache events that have not been sent yet.
type cacheEventQueue struct {
	lastSeq     uint64
	lastSentSeq uint64
	pending     []delayedEvent
}

// queueCacheEvent queues the event of a change to the prefix cache, or loses it
// with the probability CacheEventLoss. The caller holds mu.
func (e *Engine) queueCacheEvent(kind endpoint.CacheEventKind, block uint64) {
	e.cacheEvents.lastSeq++
	if len(e.config.Entries) == 0 || e.rand.Float64() < e.config.CacheEventLoss {
		return
	}
	e.cacheEvents.pending = append(e.cacheEvents.pending, delayedEvent{
		sendAt: time.Now().Add(e.config.CacheEventDelay),
		event:  endpoint.CacheEvent{Seq: e.cacheEvents.lastSeq, Kind: kind, Block: block},
	})
}

// queueCacheReset replaces the pending events by a reset and the complete
// content of the cache.
func (e *Engine) queueCacheReset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.cacheEvents.pending = nil
	e.cacheEvents.lastSeq++
	e.cacheEvents.pending = append(e.cacheEvents.pending, delayedEvent{now, endpoint.CacheEvent{Seq: e.cacheEvents.lastSeq, Kind: endpoint.CacheReset}})
	for _, block := range e.cache.blockHashes() {
		e.cacheEvents.lastSeq++
		event := endpoint.CacheEvent{Seq: e.cacheEvents.lastSeq, Kind: endpoint.CacheAdd, Block: block}
		e.cacheEvents.pending = append(e.cacheEvents.pending, delayedEvent{now, event})
	}
}

// takeDueEvents removes and returns the pending events whose delay is over, up
// to maxEventsPerMessage.
func (e *Engine) takeDueEvents(now time.Time) []endpoint.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	var due []endpoint.CacheEvent
	for _, item := range e.cacheEvents.pending {
		if item.sendAt.After(now) || len(due) == maxEventsPerMessage {
			break
		}
		due = append(due, item.event)
	}
	e.cacheEvents.pending = e.cacheEvents.pending[len(due):]
	if len(due) > 0 {
		e.cacheEvents.lastSentSeq = due[len(due)-1].Seq
	}
	return due
}

// cacheCapacity returns the number of blocks that the KV cache can hold in
// addition to the running generations. The caller holds mu.
func (e *Engine) cacheCapacity() int {
	return (e.config.KVCapacityTokens - e.runningTokens()) / blockTokens
}

func (e *Engine) runningTokens() int {
	tokens := 0
	for _, s := range e.running {
		tokens += s.inputTokens + s.offset - s.req.EmittedTokens
	}
	return tokens
}

// currentLoad returns the current load.
func (e *Engine) currentLoad() endpoint.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := endpoint.Load{KVTokens: e.runningTokens() + len(e.cache.blocks)*blockTokens}
	for _, s := range e.running {
		if s.ended {
			continue
		}
		load.Running++
		load.WaitingTokens += s.prefillRemaining
	}
	for _, s := range e.waiting {
		if s.ended {
			continue
		}
		load.Waiting++
		load.WaitingTokens += s.inputTokens
	}
	return load
}

func (e *Engine) triggerAnnounce() {
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
	var samples []loadSample
	var lastAnnounced time.Time
	var seq uint64
	for triggered := true; ; {
		now := time.Now()
		samples = dropOldSamples(append(samples, loadSample{now, e.currentLoad()}), now.Add(-e.config.LoadLag))
		if triggered || now.Sub(lastAnnounced) >= e.config.AnnounceInterval-interval/2 {
			lastAnnounced = now
			seq++
			e.announce(sender, samples[0], seq, now)
		}
		e.sendEvents(sender, now)
		select {
		case <-ticker.C:
			triggered = false
		case <-e.announceNow:
			triggered = true
		case <-e.ctx.Done():
			return
		}
	}
}

// dropOldSamples removes all samples before the newest one that was taken at
// limit or earlier. If there is none, it removes nothing.
func dropOldSamples(samples []loadSample, limit time.Time) []loadSample {
	for len(samples) > 1 && !samples[1].takenAt.After(limit) {
		samples = samples[1:]
	}
	return samples
}

func (e *Engine) announce(sender *announce.Sender, lagged loadSample, seq uint64, now time.Time) {
	load := lagged.load
	load.Seq = seq
	load.AgeMS = now.Sub(lagged.takenAt).Milliseconds()
	message := e.announcement(load, now)
	reply, err := sender.Announce(e.ctx, &message)
	if err == nil && reply.WantCacheReset {
		e.queueCacheReset()
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
		LeaseMS: e.config.Lease.Milliseconds(), Load: load, CacheSeq: e.cacheEvents.lastSentSeq,
	}
	if !e.leaveDeadline.IsZero() {
		a.DeadlineMS = max(e.leaveDeadline.Sub(now).Milliseconds(), 1)
	}
	return a
}

func (e *Engine) sendEvents(sender *announce.Sender, now time.Time) {
	for events := e.takeDueEvents(now); len(events) > 0; events = e.takeDueEvents(now) {
		message := endpoint.CacheEvents{ID: e.config.ID, Incarnation: e.config.Incarnation, Events: events}
		// An error is ignored: the receiver detects lost events by the gap in the
		// sequence numbers.
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
