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
	// defaultMaxBody bounds a body where the document states no limit, in bytes.
	defaultMaxBody = 4 << 20
	// timeoutSlack lets the endpoint's own answer at the deadline arrive.
	timeoutSlack = 60 * time.Millisecond
	// waitShare of its target may a request wait for an endpoint with room.
	waitShare = 0.12
	// longestWait bounds the wait before a further attempt.
	longestWait = time.Second
	// waitStep is the pause between two looks for an endpoint with room.
	waitStep = 15 * time.Millisecond
	// minAttempt is the least time left that is worth an attempt.
	minAttempt = 20 * time.Millisecond
	// retrySoon is the advice after a refusal for want of room, and retryShare
	// bounds it as a part of the time left, since callers ignore longer ones.
	retrySoon  = 600 * time.Millisecond
	retryShare = 0.3
	// maxMisdirected bounds the sends to addresses that changed hands; they do
	// not count as attempts, since the endpoint that was meant got nothing.
	maxMisdirected = 2
	// maxUnsent bounds the endpoints in a row that cannot be connected.
	maxUnsent = 4
)

// call is one request of a caller on its way.
type call struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	meta    port.ExchangeMeta
	active  *activeRules
	route   *rules.Route
	service *rules.Service
	// workspace is empty on anonymous routes without a key.
	workspace string
	priority  int
	body      []byte
	arrived   time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	// cost is what the quota was charged.
	cost float64
	// tried holds the endpoints that the request was sent to.
	tried []string
	// ran is set once an endpoint may have run the request.
	ran bool
	// misdirected counts sends to an address that another endpoint has now.
	misdirected int
	// moves counts the attempts that went on with the run of the one before.
	moves int
	// memory names the copy that the next attempt goes on with.
	memory string
	// counted is set once the request was counted as run.
	counted bool
	// whole is set once the whole answer was read.
	whole bool
	// print identifies the content of the request.
	print suspect.Fingerprint
	// begun is set once a part of the answer went to the caller.
	begun bool
	// status is what the caller got, for the log.
	status   int
	endpoint string
	lastID   int64
	first    time.Duration
}

// ServeHTTP implements http.Handler for callers.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.metrics.requests.Inc()
	e.metrics.inFlight.Add(1)
	defer e.metrics.inFlight.Add(-1)
	ctx, span := e.options.Tracing.Start(telemetry.Extract(r.Context(), r.Header), telemetry.HopCaller)
	defer span.End()
	r = r.WithContext(ctx)
	x := &call{entry: e, w: w, r: r, arrived: time.Now(), lastID: noID, meta: e.options.Dialect.Meta(r.Header)}
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	span.Text("request", x.meta.AttemptID)
	err := x.prepare()
	if err == nil {
		err = x.run()
	}
	span.Fail(err)
	x.finish(err)
}

// prepare checks everything before an endpoint is chosen. The error is a *Refusal.
func (x *call) prepare() error {
	e := x.entry
	x.active = e.active.Load()
	if x.active == nil {
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNotReady, RetryAfter: retrySoon}
	}
	table := x.active.table
	x.route = table.Match(x.r.Host, rawPath(x.r))
	if x.route == nil {
		return &Refusal{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.meta.Deadline > 0 {
		x.deadline = x.arrived.Add(min(x.route.Timeout, x.meta.Deadline))
	}
	x.priority = x.route.Priority
	workspace, err := x.authorize(table)
	if err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	x.print = suspect.NewFingerprint(x.workspace, []byte(x.r.Method), []byte(x.r.RequestURI), x.body)
	x.service = table.Service(x.route.Pick(rand.Float64()))
	return x.charge(workspace)
}

// rawPath is the path as the caller sent it, without the query.
func rawPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func (x *call) authorize(table *rules.Table) (*rules.Workspace, error) {
	if !table.Keyed() {
		return nil, nil
	}
	workspace := table.WorkspaceOf(x.meta.Key)
	if workspace == nil {
		if x.route.Anonymous {
			return nil, nil
		}
		return nil, &Refusal{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	x.workspace = workspace.Name
	if workspace.Priority != nil {
		x.priority = *workspace.Priority
	}
	return workspace, nil
}

func (x *call) readBody() error {
	limit := x.active.table.Document.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.r.ContentLength > limit {
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge}
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: ReasonTooLarge, Err: err}
		}
		return &Refusal{Status: http.StatusRequestTimeout, Reason: ReasonUnreadable, Err: err}
	}
	x.body = body
	return nil
}

// charge spends the quota of the workspace.
func (x *call) charge(w *rules.Workspace) error {
	if w == nil {
		return nil
	}
	cost := 1.0
	if w.CountTokens {
		cost = float64(w.DefaultTokens)
		if x.meta.CountsTokens {
			cost = float64(x.meta.PromptTokens + x.meta.MaxOutputTokens)
		}
	}
	decision := x.entry.quotas.Take(w.Name, cost, time.Now())
	if decision.AskCommon {
		decision = x.entry.links.spend(x.r.Context(), w.Name, cost, decision)
	}
	if !decision.Granted {
		return &Refusal{Status: http.StatusTooManyRequests, Reason: ReasonQuota, RetryAfter: x.advice(decision.Wait)}
	}
	x.cost = cost
	return nil
}

// advice bounds the time to come back to what the caller can honour.
func (x *call) advice(wait time.Duration) time.Duration {
	left := time.Until(x.deadline)
	return max(min(wait, time.Duration(float64(left)*retryShare)), 0)
}

// run sends the request until an endpoint answered or no further attempt is allowed.
func (x *call) run() error {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline.Add(timeoutSlack))
	defer cancel()
	unsent := 0
	var choice *pick.Choice
	for {
		var err error
		if choice == nil {
			choice, err = x.choose(ctx)
		}
		if err != nil {
			return x.giveUp(ctx, err)
		}
		tried := choice.Endpoint.ID
		result := x.attempt(ctx, choice)
		choice = nil
		if result.mayHaveRun() {
			x.ran = true
			x.countRun()
		}
		switch {
		case result.held != nil:
			return x.giveUp(ctx, result.held)
		case result.done:
			return nil
		case result.moved != nil:
			x.moves++
			x.ran = true
			choice, x.memory = result.moved.choice, result.moved.memory
			continue
		case x.r.Context().Err() != nil:
			return &Refusal{Reason: ReasonCallerGone, Err: context.Cause(x.r.Context())}
		case !result.sent:
			if unsent++; unsent < maxUnsent && x.mayRunElsewhere() {
				continue
			}
			return x.giveUp(ctx, result.err)
		}
		if !result.approved && !x.mayRepeat() {
			return x.giveUp(ctx, result.err)
		}
		x.entry.metrics.repeats.Inc()
		x.entry.log.Info("Request sent again.", zap.String("request", x.meta.AttemptID), zap.String("endpoint", tried),
			zap.Int("attempts", len(x.tried)), zap.Bool("not_run", result.notRun), zap.Int64("after_event", x.lastID), zap.Error(result.err))
	}
}

// mayRunElsewhere reports whether a run from the start, or after the last event,
// can follow what has run so far. A moved run whose new endpoint cannot be
// connected has run as well.
func (x *call) mayRunElsewhere() bool {
	if x.ran && !x.route.Repeatable() {
		return false
	}
	return !x.begun || x.lastID != noID
}

// mayRepeat asks whether a further attempt is allowed after one that was sent.
func (x *call) mayRepeat() bool {
	if !x.mayRunElsewhere() {
		return false
	}
	if x.attempts() >= max(x.route.MaxAttempts, 1) || x.misdirected > maxMisdirected || time.Until(x.deadline) < minAttempt {
		return false
	}
	return x.entry.repeats.Repeat(x.service.Name, time.Now())
}

// attempts counts the runs that the request may have had.
func (x *call) attempts() int { return len(x.tried) - x.misdirected - x.moves }

func (x *call) pickRequest() *pick.Request {
	return &pick.Request{
		Service: x.service.Name, Domain: x.entry.options.Settings.FailureDomain, Prefix: x.meta.Prefix,
		PromptTokens: x.meta.PromptTokens, Avoid: x.tried, MaxConnections: x.entry.connectionShare(x.service),
	}
}

// choose picks an endpoint, waiting a little where none has room.
func (x *call) choose(ctx context.Context) (*pick.Choice, error) {
	request := x.pickRequest()
	wait := time.Duration(waitShare * float64(x.route.Target))
	if x.ran {
		// A request that ran is not refused any more: late is better than failed.
		wait = min(time.Until(x.deadline)/2, longestWait)
	}
	until := time.Now().Add(wait)
	for {
		request.Now = time.Now()
		choice, err := x.entry.board.Choose(request)
		if err == nil {
			return choice, nil
		}
		if request.Now.After(until) {
			return nil, &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoEndpoint, RetryAfter: x.advice(retrySoon), Err: err}
		}
		select {
		case <-time.After(waitStep):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// giveUp turns the last failure into the final answer.
func (x *call) giveUp(ctx context.Context, err error) error {
	switch {
	case x.r.Context().Err() != nil:
		return &Refusal{Reason: ReasonCallerGone, Err: err}
	case x.begun:
		return &Refusal{Reason: ReasonStreamBroken, Err: err}
	case x.ran && ctx.Err() != nil || x.ran && !time.Now().Before(x.deadline):
		return &Refusal{Status: http.StatusGatewayTimeout, Reason: ReasonTimeout, Err: err}
	case x.ran:
		return &Refusal{Status: http.StatusBadGateway, Reason: ReasonLostAnswer, Err: err}
	}
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonFull, RetryAfter: x.advice(retrySoon), Err: err}
}
