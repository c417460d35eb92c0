package pick

import (
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

// Choice is a chosen endpoint with a running attempt. The caller must call End when
// the attempt ends.
type Choice struct {
	Endpoint registry.Endpoint
	// Score is the estimated cost in seconds.
	Score float64
	// Requests is the estimated number of requests at the endpoint.
	Requests int
	// Cached is the estimated number of prompt tokens in the endpoint's KV cache.
	Cached int
	// Candidates is the number of endpoints that passed the filters.
	Candidates int
	// Excluded is a back-off that excluded another endpoint; nil if none did.
	Excluded *Backoff

	board          *Board
	stats          *stats
	uncachedTokens int
	// queuedTokens is the number of uncached prompt tokens of this entry that were pending
	// at the endpoint when the attempt started.
	queuedTokens int
	startedAt    time.Time
	// connectedAt is when the connection of the attempt was known to be established; zero
	// before.
	connectedAt time.Time
	// secondsPerToken is the estimated time to process a prompt token.
	secondsPerToken float64
	// lastEventAt is when events of the stream last arrived.
	lastEventAt    time.Time
	awaitingAnswer bool
	// ramped is set if the attempt counts against the ramp after a back-off.
	ramped bool
}

// RecordAnswer records the first byte of an answer; the prompt has been processed
// by then. load is the load report in the answer, or nil.
func (c *Choice) RecordAnswer(load *port.EndpointLoad, now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	s := c.stats
	if c.ramped {
		s.backoff.answered()
	}
	c.endWait()
	c.recordByte(now)
	if load != nil {
		s.reportedLoad = *load
		s.reportedAt = now
		s.sentSinceReport = 0
	}
}

// RecordProgress records that further bytes of the answer arrived.
func (c *Choice) RecordProgress(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.recordByte(now)
}

// recordByte records that a byte was received. The caller must hold the lock of the board.
func (c *Choice) recordByte(now time.Time) {
	c.stats.silentSince = time.Time{}
	c.stats.lastByteAt = now
	c.board.lastByteAt[c.Endpoint.Service] = now
}

// RecordSuccess records a successful run and adds its time to the first byte to the
// averages.
func (c *Choice) RecordSuccess(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stats.consecutiveFailures = 0
	c.stats.consecutiveErrors = 0
	c.stats.pausedUntil = time.Time{}
	seconds := now.Sub(c.startedAt).Seconds()
	model := c.board.model(c.Endpoint.Service)
	tokens := c.queuedTokens + c.uncachedTokens
	if expected, known := model.seconds(tokens); known {
		c.stats.slowness += averageWeight * (min(seconds/expected, maxSlowness) - c.stats.slowness)
	}
	model.observe(tokens, seconds)
}

const (
	// minMeanSeconds is the least time by which times are divided, since ratios of
	// very short times vary widely.
	minMeanSeconds = 0.005
	// maxSlowness limits the effect of a single answer on the average.
	maxSlowness = 8
)

// RecordError records that the endpoint answered with a server error. Some requests
// fail at every endpoint, so only several consecutive errors pause the endpoint.
func (c *Choice) RecordError(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stats.consecutiveErrors++
	if c.stats.consecutiveErrors >= maxConsecutiveErrors {
		c.pause(now)
	}
}

// maxConsecutiveErrors is the number of consecutive errors that pauses an endpoint.
const maxConsecutiveErrors = 4

// RecordFailure records an attempt without a complete answer and pauses the endpoint.
func (c *Choice) RecordFailure(now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.pause(now)
}

// pause stops new requests to the endpoint for a time that doubles with each
// failure. The caller must hold the lock of the board.
func (c *Choice) pause(now time.Time) {
	s := c.stats
	pause := min(minPause<<min(s.consecutiveFailures, maxDoublings), maxPause)
	s.consecutiveFailures++
	s.pausedUntil = now.Add(pause)
}

// maxDoublings limits the doublings of a pause, so that the shift cannot overflow.
const maxDoublings = 5

// RecordFull records that the endpoint had no free capacity and pauses it briefly.
func (c *Choice) RecordFull(load *port.EndpointLoad, now time.Time) {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.stats.pausedUntil = now.Add(fullPause)
	if c.stats.rejections != nil {
		c.stats.rejections.Rejected(c.board.random(), now)
		if state := c.board.brittle[c.Endpoint.Service]; state != nil {
			state.rejectedAt = now
		}
	}
}

// fullPause gives a full endpoint time to finish some requests before it gets new
// ones.
const fullPause = 50 * time.Millisecond

// RecordDraining records that the endpoint must not get new requests.
func (c *Choice) RecordDraining() { c.board.RecordDraining(c.Endpoint.ID, c.Endpoint.Born) }

// End records the end of the attempt, whatever its outcome.
func (c *Choice) End() {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.endWait()
	c.stats.inFlight--
	if c.stats.inFlight == 0 {
		c.stats.silentSince = time.Time{}
	}
}

// endWait removes the attempt from the pending ones. The caller must hold the lock
// of the board.
func (c *Choice) endWait() {
	if !c.awaitingAnswer {
		return
	}
	c.awaitingAnswer = false
	if c.ramped {
		c.ramped = false
		c.stats.backoff.unanswered--
	}
	c.stats.pending--
	c.stats.prefillTokens -= c.uncachedTokens
}

// Again starts another attempt at the endpoint of the choice, also if it takes no new requests,
// for a run that goes on from the KV cache which the endpoint keeps.
func (c *Choice) Again(now time.Time) *Choice {
	b := c.board
	b.mu.Lock()
	defer b.mu.Unlock()
	request := &Request{Service: c.Endpoint.Service, Now: now}
	return b.startAttempt(request, &View{stats: c.stats, secondsPerToken: c.secondsPerToken}, c.Score, 1)
}

// Withdrawn reports whether the endpoint must not get the request any more, because it
// drains or wants no requests since it was chosen.
func (c *Choice) Withdrawn(now time.Time) bool {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	return c.stats.endpoint.State != registry.Ready || c.stats.backoff.active(now)
}
