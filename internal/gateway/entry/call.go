package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/forward"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/gateway/waiting"
	"github.com/boragelead/boragelead/internal/inlet"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// deadlineGrace is the time after the deadline in which the endpoint's own
	// timeout answer can still arrive.
	deadlineGrace = 60 * time.Millisecond
	// minAttemptTime is the least time before the deadline with which a retry is
	// still started.
	minAttemptTime = 20 * time.Millisecond
	// defaultRetryAfter is the Retry-After of a refusal for lack of capacity.
	// maxRetryAfterShare limits every Retry-After to a part of the time before
	// the deadline, since callers ignore longer ones.
	defaultRetryAfter  = 600 * time.Millisecond
	maxRetryAfterShare = 0.3
	// maxMisdirected limits how often a request may be sent to an address that
	// another endpoint has taken over. Such sends do not count as attempts, since
	// the intended endpoint did not receive the request.
	maxMisdirected = 2
	// maxConnectFailures limits how often one request may fail to connect to an
	// endpoint.
	maxConnectFailures = 4
)

// call is the state of one caller's request.
type call struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	meta    port.RequestMeta
	active  *activeRules
	route   *rules.Route
	service *rules.Service
	// workspace is empty for requests without a known key on anonymous routes.
	workspace  string
	priority   int
	body       inlet.Body
	receivedAt time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// charge is what was charged to the quota.
	charge quotaCharge
	// tried lists the IDs of the endpoints that the request was sent to.
	tried []string
	// waited is how long the request has waited for endpoints in all.
	waited time.Duration
	// addresses lists the addresses of the endpoints that attempts of this entry were meant for.
	addresses []string
	// forwarded is set if another entry passed the request on to this one. This entry then
	// makes one attempt, and the other one decides what follows.
	forwarded *forward.Request
	// peer is the name of the peer that the last attempt went through; empty if it went to an
	// endpoint directly.
	peer string
	// withoutKept lists the endpoints to which a kept connection was looked for while new ones
	// are refused.
	withoutKept []string
	// avoidedPeers lists the peers that did not take the request.
	avoidedPeers []string
	// possiblyRan is set once an endpoint may have run the request.
	possiblyRan bool
	// misdirected counts the sends to addresses that another endpoint has taken over.
	misdirected int
	// moves counts the attempts that continued the run of the previous attempt at
	// another endpoint.
	moves int
	// kvHandle names the copied KV cache from which the next attempt continues.
	kvHandle string
	// softwareVersion is the version at which the stream began: every further attempt
	// goes to an endpoint of this version. It is nil before the first event.
	softwareVersion *string
	// originUnknown is set if the stream began at an endpoint whose software version is
	// not known.
	originUnknown bool
	// ticket is the turn of the request in the roll-out of its service.
	ticket rollout.Ticket
	// sentToNew is set once an attempt was made at the new version of a roll-out. Those that
	// follow it are made at the old one.
	sentToNew bool
	// trial measures the current attempt for a roll-out; nil if it is not measured.
	trial *trial
	// firstCounted is set once the request is counted in the retry budget.
	firstCounted bool
	// usageCounted is set once the request is counted in the usage of its workspace.
	usageCounted bool
	// complete is set once the answer was read to its end.
	complete bool
	// framing is how the end of the last answer is marked, for the log.
	framing wire.Framing
	// ordered is what the last orders to move the run did, for the log; empty if there were none.
	ordered string
	// fingerprint identifies the content of the request in crash records, and parts
	// the parts of its prompt that requests share.
	fingerprint suspect.Fingerprint
	parts       []suspect.Fingerprint
	// watch is the crash detection of the current attempt.
	watch *crashWatch
	// responseStarted is set once the response header was written to the caller.
	responseStarted bool
	// status is the HTTP status that the caller received, for the log.
	status int
	// endpoint is the ID of the endpoint that answered last.
	endpoint string
	// excluded is the last back-off that excluded an endpoint from a choice, for the log.
	excluded *pick.Backoff
	// lastEventID is the ID of the last event that was sent to the caller, or noID.
	lastEventID     int64
	timeToFirstByte time.Duration
}

// ServeHTTP implements http.Handler for callers.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.metrics.requests.Inc()
	e.metrics.inFlight.Add(1)
	defer e.metrics.inFlight.Add(-1)
	ctx, span := e.options.Tracing.Start(telemetry.Extract(r.Context(), r.Header), telemetry.HopCaller)
	defer span.End()
	r = r.WithContext(ctx)
	c := &call{entry: e, w: w, r: r, receivedAt: time.Now(), lastEventID: noID, meta: e.options.Dialect.ParseRequest(r.Header), body: e.newBody(r)}
	e.running.add(c)
	defer e.running.remove(c)
	defer c.body.Release()
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	span.Text("request", c.meta.AttemptID)
	err := c.accept()
	if err == nil {
		err = c.run()
	}
	span.Fail(err)
	c.finish(err)
}

// accept prepares the request, unless the entry is about to stop. The error is a *Refusal.
func (c *call) accept() error {
	if c.entry.refusing.Load() {
		return &Refusal{Status: statusNotRun, Reason: ReasonDraining, RetryAfter: defaultRetryAfter}
	}
	return c.prepare()
}

// retryAfter limits a wait to the part of the remaining time that callers accept
// as Retry-After.
func (c *call) retryAfter(wait time.Duration) time.Duration {
	remaining := time.Until(c.deadline)
	return max(min(wait, time.Duration(float64(remaining)*maxRetryAfterShare)), 0)
}

// spreadRetryAfter draws a Retry-After from the time in which places are expected to become free,
// so that callers do not return together.
func (c *call) spreadRetryAfter(drain time.Duration) time.Duration {
	return waiting.ReturnAfter(drain, c.retryAfter(drain), rand.Float64())
}

// run sends the request to endpoints, one after the other, until one answers or
// no further attempt is allowed.
func (c *call) run() error {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline.Add(deadlineGrace))
	defer cancel()
	defer context.AfterFunc(c.entry.requests, cancel)()
	if !c.entry.reach.monitor.CutOff(c.service.Name) {
		c.entry.rateLimits.countDemand(c.service.Name, time.Now())
	}
	if c.forwarded == nil {
		c.ticket = c.entry.rollouts.Arrive(c.service.Name, c.route.Name, c.entry.clock.Now())
	}
	if err := c.placeTakeUp(ctx); err != nil {
		return err
	}
	return c.attemptUntilAnswered(ctx)
}

// attemptUntilAnswered makes one attempt after the other.
func (c *call) attemptUntilAnswered(ctx context.Context) error {
	connectFailures := 0
	retrying := false
	var next *hop
	defer func() { c.releaseReplacement(next) }()
	for {
		var err error
		if next == nil {
			next, err = c.nextHop(ctx)
		}
		if err != nil {
			if retrying {
				c.entry.retries.ReturnRepeat(c.service.Name, time.Now())
			}
			return c.finalError(ctx, err)
		}
		current := next
		next = nil
		result := c.attempt(ctx, current)
		next, retrying = result.next, false
		if !result.sent && !current.keptOnly {
			connectFailures++
		}
		if final, err := c.isFinal(ctx, &result, connectFailures); final {
			return err
		}
		switch {
		case result.moved != nil:
			c.moves++
			c.possiblyRan = true
			next, c.kvHandle = result.moved.hop(), result.moved.kvHandle
			continue
		case !result.sent:
			continue
		case next == nil:
			if retrying = c.mayRetry(); !retrying {
				return c.finalError(ctx, result.err)
			}
		}
		c.logRepeat(current, &result)
	}
}

// isFinal reports whether no further attempt follows an attempt, and what then becomes of the
// request. It records what the attempt means for the request.
func (c *call) isFinal(ctx context.Context, result *outcome, connectFailures int) (final bool, err error) {
	if result.mayHaveRun() {
		c.possiblyRan = true
		c.countUsage()
	}
	switch {
	case result.refusal != nil:
		return true, c.finalError(ctx, result.refusal)
	case result.done && result.err != nil:
		return true, &Refusal{Reason: ReasonCallerGone, Err: result.err}
	case result.done:
		return true, nil
	case result.moved != nil:
		return false, nil
	case c.r.Context().Err() != nil:
		return true, &Refusal{Reason: ReasonCallerGone, Err: context.Cause(c.r.Context())}
	case !result.sent:
		if connectFailures < maxConnectFailures && c.mayRunElsewhere() {
			return false, nil
		}
		return true, c.finalError(ctx, result.err)
	case ctx.Err() != nil:
		return true, c.finalError(ctx, result.err)
	}
	return false, nil
}

// logRepeat records that a request is sent again after an attempt.
func (c *call) logRepeat(former *hop, result *outcome) {
	c.entry.metrics.retries.Inc()
	c.entry.log.Info("Request sent again.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", former.endpoint.ID), zap.String("peer", former.peerName()),
		zap.Int("attempts", len(c.tried)), zap.Bool("not_run", result.notRun), zap.Int64("after_event", c.lastEventID), c.sharedPartsField(), zap.Error(result.err))
}

// mayRunElsewhere reports whether another endpoint may run the request, either
// from the start or after the last event. A request that may have run must be
// repeatable; this includes a moved run whose new endpoint cannot be connected.
func (c *call) mayRunElsewhere() bool {
	if c.possiblyRan && !c.route.Repeatable() {
		return false
	}
	return !c.responseStarted || c.lastEventID != noID && !c.originUnknown
}

// mayRetry reports whether a further attempt is allowed after one that was sent.
// If so, it takes the attempt from the retry budget.
func (c *call) mayRetry() bool {
	if !c.mayRunElsewhere() {
		return false
	}
	if c.attempts() >= max(c.route.MaxAttempts, 1) || c.misdirected > maxMisdirected || time.Until(c.deadline) < minAttemptTime {
		return false
	}
	if !c.entry.retries.AllowRepeat(c.service.Name, time.Now()) {
		c.entry.metrics.repeatsDenied.Inc()
		c.entry.log.Info("Retry budget does not allow to send a request again.", zap.String("request", c.meta.AttemptID), zap.String("service", c.service.Name), zap.Int("attempts", c.attempts()))
		return false
	}
	return true
}

// nextAfterError returns the hop of the attempt that follows an error of an endpoint, or nil if
// there is none. The retry is taken from the budget.
func (c *call) nextAfterError(ctx context.Context) *hop {
	if !c.mayRetry() {
		return nil
	}
	next, err := c.nextHop(ctx)
	if err != nil {
		c.entry.retries.ReturnRepeat(c.service.Name, time.Now())
		return nil
	}
	return next
}

// attempts returns how often the request may have run. A move continues a run
// and does not count.
func (c *call) attempts() int { return len(c.tried) - c.misdirected - c.moves }

// finalError converts the last failure into the *Refusal for the caller.
func (c *call) finalError(ctx context.Context, err error) error {
	switch {
	case c.r.Context().Err() != nil:
		return &Refusal{Reason: ReasonCallerGone, Err: err}
	case c.responseStarted:
		return &Refusal{Reason: ReasonStreamBroken, Err: err}
	case c.possiblyRan && ctx.Err() != nil || c.possiblyRan && !time.Now().Before(c.deadline):
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout, Err: err}
	case c.possiblyRan:
		return &Refusal{Status: http.StatusBadGateway, Reason: ReasonLostAnswer, Err: err}
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonFull, RetryAfter: c.spreadRetryAfter(defaultRetryAfter), Err: err}
}
