package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// defaultMaxBody limits request bodies if the document sets no limit, in bytes.
	defaultMaxBody = 4 << 20
	// deadlineGrace is the time after the deadline in which the endpoint's own
	// timeout answer can still arrive.
	deadlineGrace = 60 * time.Millisecond
	// maxWaitShare is the part of the route's target latency that a request may
	// wait for an endpoint with free capacity.
	maxWaitShare = 0.12
	// maxRetryWait limits the wait for an endpoint before a retry.
	maxRetryWait = time.Second
	// choiceInterval is the time between two tries to choose an endpoint.
	choiceInterval = 15 * time.Millisecond
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
	body       []byte
	receivedAt time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// cost is the amount that was charged to the quota.
	cost float64
	// tried lists the IDs of the endpoints that the request was sent to.
	tried []string
	// possiblyRan is set once an endpoint may have run the request.
	possiblyRan bool
	// misdirected counts the sends to addresses that another endpoint has taken over.
	misdirected int
	// moves counts the attempts that continued the run of the previous attempt at
	// another endpoint.
	moves int
	// kvHandle names the copied KV cache from which the next attempt continues.
	kvHandle string
	// usageCounted is set once the request is counted in the usage of its workspace.
	usageCounted bool
	// complete is set once the answer was read to its end.
	complete bool
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
	c := &call{entry: e, w: w, r: r, receivedAt: time.Now(), lastEventID: noID, meta: e.options.Dialect.ParseRequest(r.Header)}
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	span.Text("request", c.meta.AttemptID)
	err := c.prepare()
	if err == nil {
		err = c.run()
	}
	span.Fail(err)
	c.finish(err)
}

// prepare matches the route, authorizes the caller, reads the body and charges
// the quota. The error is a *Refusal.
func (c *call) prepare() error {
	e := c.entry
	c.active = e.active.Load()
	if c.active == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNotReady, RetryAfter: defaultRetryAfter}
	}
	table := c.active.table
	c.route = table.Match(c.r.Host, rawPath(c.r))
	if c.route == nil {
		return &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	c.deadline = c.receivedAt.Add(c.route.Timeout)
	if c.meta.Deadline > 0 {
		c.deadline = c.receivedAt.Add(min(c.route.Timeout, c.meta.Deadline))
	}
	c.priority = c.route.Priority
	workspace, err := c.authorize(table)
	if err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.fingerprint = suspect.NewFingerprint(c.workspace, []byte(c.r.Method), []byte(c.r.RequestURI), c.body)
	c.service = table.Service(c.route.Pick(rand.Float64()))
	c.parts = c.suspectParts()
	return c.chargeQuota(workspace)
}

// rawPath returns the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (c *call) authorize(table *rules.Table) (*rules.Workspace, error) {
	if !table.RequiresKey() {
		return nil, nil
	}
	workspace := table.WorkspaceOf(c.meta.Key)
	if workspace == nil {
		if c.route.Anonymous {
			return nil, nil
		}
		return nil, &Refusal{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	c.workspace = workspace.Name
	if workspace.Priority != nil {
		c.priority = *workspace.Priority
	}
	return workspace, nil
}

func (c *call) readBody() error {
	limit := c.active.table.Document.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.r.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge}
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(c.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: err}
		}
		return &Refusal{Status: http.StatusRequestTimeout, Reason: ReasonUnreadable, Err: err}
	}
	c.body = body
	return nil
}

// chargeQuota charges the request to the quota of the workspace.
func (c *call) chargeQuota(w *rules.Workspace) error {
	if w == nil {
		return nil
	}
	cost := 1.0
	if w.CountTokens {
		cost = float64(w.DefaultTokens)
		if c.meta.HasTokenCounts {
			cost = float64(c.meta.PromptTokens + c.meta.MaxOutputTokens)
		}
	}
	decision := c.entry.quotas.Take(w.Name, cost, time.Now())
	if decision.AskCommon {
		decision = c.entry.replicaClient.spend(c.r.Context(), w.Name, cost, decision)
	}
	if !decision.Granted {
		return &Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuota, RetryAfter: c.retryAfter(decision.Wait)}
	}
	c.cost = cost
	return nil
}

// retryAfter limits a wait to the part of the remaining time that callers accept
// as Retry-After.
func (c *call) retryAfter(wait time.Duration) time.Duration {
	remaining := time.Until(c.deadline)
	return max(min(wait, time.Duration(float64(remaining)*maxRetryAfterShare)), 0)
}

// run sends the request to endpoints, one after the other, until one answers or
// no further attempt is allowed.
func (c *call) run() error {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline.Add(deadlineGrace))
	defer cancel()
	connectFailures := 0
	var choice *pick.Choice
	for {
		var err error
		if choice == nil {
			choice, err = c.nextEndpoint(ctx)
		}
		if err != nil {
			return c.finalError(ctx, err)
		}
		tried := choice.Endpoint.ID
		result := c.attempt(ctx, choice)
		choice = nil
		if result.mayHaveRun() {
			c.possiblyRan = true
			c.countUsage()
		}
		switch {
		case result.refusal != nil:
			return c.finalError(ctx, result.refusal)
		case result.done:
			return nil
		case result.moved != nil:
			c.moves++
			c.possiblyRan = true
			choice, c.kvHandle = result.moved.choice, result.moved.kvHandle
			continue
		case c.r.Context().Err() != nil:
			return &Refusal{Reason: ReasonCallerGone, Err: context.Cause(c.r.Context())}
		case !result.sent:
			if connectFailures++; connectFailures < maxConnectFailures && c.mayRunElsewhere() {
				continue
			}
			return c.finalError(ctx, result.err)
		}
		if !result.retryApproved && !c.mayRetry() {
			return c.finalError(ctx, result.err)
		}
		c.entry.metrics.retries.Inc()
		c.entry.log.Info("Request sent again.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", tried),
			zap.Int("attempts", len(c.tried)), zap.Bool("not_run", result.notRun), zap.Int64("after_event", c.lastEventID), c.sharedPartsField(), zap.Error(result.err))
	}
}

// mayRunElsewhere reports whether another endpoint may run the request, either
// from the start or after the last event. A request that may have run must be
// repeatable; this includes a moved run whose new endpoint cannot be connected.
func (c *call) mayRunElsewhere() bool {
	if c.possiblyRan && !c.route.Repeatable() {
		return false
	}
	return !c.responseStarted || c.lastEventID != noID
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
	return c.entry.retries.AllowRepeat(c.service.Name, time.Now())
}

// attempts returns how often the request may have run. A move continues a run
// and does not count.
func (c *call) attempts() int { return len(c.tried) - c.misdirected - c.moves }

func (c *call) pickRequest() *pick.Request {
	return &pick.Request{
		Service: c.service.Name, Domain: c.entry.options.Settings.FailureDomain, Prefix: c.meta.Prefix,
		PromptTokens: c.meta.PromptTokens, Avoid: c.tried, MaxConnections: c.entry.connectionShare(c.service),
	}
}

// nextEndpoint chooses the endpoint of the next attempt, if the request may run.
func (c *call) nextEndpoint(ctx context.Context) (*pick.Choice, error) {
	if err := c.checkParts(ctx); err != nil {
		return nil, err
	}
	if len(c.tried) == 0 {
		c.entry.rateLimits.countDemand(c.service.Name, time.Now())
	}
	return c.choose(ctx)
}

// choose picks an endpoint. If none is available, it waits for one for a limited time.
func (c *call) choose(ctx context.Context) (*pick.Choice, error) {
	request := c.pickRequest()
	wait := time.Duration(maxWaitShare * float64(c.route.Target))
	if c.possiblyRan {
		// A request that may have run can no longer be refused: a late answer is
		// better than an error.
		wait = min(time.Until(c.deadline)/2, maxRetryWait)
	}
	waitEnd := time.Now().Add(wait)
	for {
		request.Now = time.Now()
		choice, err := c.entry.board.Choose(request)
		if err == nil {
			return choice, nil
		}
		availableAt := availableAt(err)
		if request.Now.After(waitEnd) || availableAt.After(waitEnd) {
			retryAfter := max(availableAt.Sub(request.Now), defaultRetryAfter)
			return nil, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoEndpoint, RetryAfter: c.retryAfter(retryAfter), Err: err}
		}
		select {
		case <-time.After(choiceInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// availableAt returns when an endpoint will be available, or zero if that is unknown.
func availableAt(err error) time.Time {
	var none *pick.NoEndpointError
	if errors.As(err, &none) {
		return none.AvailableAt
	}
	return time.Time{}
}

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
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonFull, RetryAfter: c.retryAfter(defaultRetryAfter), Err: err}
}
