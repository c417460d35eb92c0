package entry

import (
	"crypto/rand"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/forward"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/telemetry"
)

const (
	// forwardedPerMB is the number of forwarded requests that an entry takes at a time for
	// each megabyte of its VM: a stream needs up to a quarter of one.
	forwardedPerMB = 1
	// minForwarded is that number where the settings name no memory.
	minForwarded = 256
)

// forwarding takes the requests that other entries pass on, because they do not reach the
// endpoints themselves.
type forwarding struct {
	entry *Entry
	// key is the secret that a request must carry. Replicas give it to other entries.
	key string
	// limit is the number of requests that are taken at a time, and running that of those
	// that are.
	limit   int64
	running atomic.Int64
	// address is that on which requests are taken; nil until then.
	address atomic.Pointer[string]
}

func newForwarding(e *Entry) *forwarding {
	return &forwarding{entry: e, key: rand.Text(), limit: int64(max(e.options.Settings.Limits.MemoryMB*forwardedPerMB, minForwarded))}
}

// OfferForwarding tells other entries, through the replicas, that this one takes their
// requests at an address (IP:port).
func (e *Entry) OfferForwarding(address string) { e.forwarding.address.Store(&address) }

// ForwardHandler takes the requests that other entries pass on.
func (e *Entry) ForwardHandler() http.Handler { return e.forwarding }

// offer returns how other entries may forward requests to this one, or nil if they may not.
func (f *forwarding) offer() *link.Peer {
	address := f.address.Load()
	if address == nil || f.entry.draining.Load() {
		return nil
	}
	config := f.entry.options.Settings
	return &link.Peer{Name: config.Name, Address: *address, Key: f.key, Domain: config.FailureDomain, CutOff: f.entry.reach.monitor.List()}
}

// ServeHTTP implements http.Handler for other entries.
func (f *forwarding) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := f.entry
	defer f.running.Add(-1)
	running := f.running.Add(1)
	request, err := forward.TakeRequest(r.Header, f.key)
	ctx, span := e.options.Tracing.Start(telemetry.Extract(r.Context(), r.Header), telemetry.HopCaller)
	defer span.End()
	c := &call{
		entry: e, w: w, r: r.WithContext(ctx), receivedAt: time.Now(), lastEventID: noID,
		meta: e.options.Dialect.ParseRequest(r.Header), forwarded: request, body: e.newBody(r),
	}
	e.running.add(c)
	defer e.running.remove(c)
	defer c.body.Release()
	span.Text("request", c.meta.AttemptID)
	switch {
	case err != nil:
		err = &Refusal{Status: http.StatusForbidden, Reason: ReasonForwardDenied, Err: err}
	case running > f.limit || e.draining.Load():
		err = &Refusal{Status: statusNotRun, Reason: ReasonForwardDenied}
	default:
		err = c.prepareForwarded()
	}
	if err == nil {
		err = c.run()
	}
	span.Fail(err)
	c.finishForwarded(err)
}

// prepareForwarded takes over what the entry of the caller has decided, and reads the body.
// The error is a *Refusal.
func (c *call) prepareForwarded() error {
	request := c.forwarded
	if c.active = c.entry.active.Load(); c.active == nil {
		return &Refusal{Status: statusNotRun, Reason: ReasonNotReady}
	}
	if c.service = c.active.table.Service(request.Service); c.service == nil {
		return &Refusal{Status: statusNotRun, Reason: ReasonNotReady}
	}
	c.route = request.RouteRules()
	c.deadline = c.receivedAt.Add(c.route.Timeout)
	c.workspace, c.priority = request.Workspace, request.Priority
	c.softwareVersion, c.meta.ResumeAfter = request.SoftwareVersion, request.ResumeAfter
	if err := c.readBody(); err != nil {
		return err
	}
	// A write to an entry that stands still would otherwise never end.
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(deadlineGrace))
	c.fingerprint = suspect.NewFingerprint(c.workspace, []byte(c.r.Method), []byte(c.r.RequestURI), c.body.Data())
	c.parts = c.suspectParts()
	return nil
}

// describeAnswer tells the entry that passed the request on which endpoint answers.
func (c *call) describeAnswer(h *hop) {
	if c.forwarded == nil {
		return
	}
	header := c.w.Header()
	c.writeReply(&forward.Reply{
		Tried: c.tried, Attempts: c.attempts(), Endpoint: h.endpoint.ID, Born: h.endpoint.Born,
		SoftwareVersion: h.endpoint.SoftwareVersion, VersionUnknown: c.originUnknown,
	})
	if header.Get("Content-Length") == "" {
		forward.AnnounceEnd(header)
	}
}

func (c *call) writeReply(reply *forward.Reply) {
	if err := reply.Write(c.w.Header()); err != nil {
		c.entry.log.Error("Reply to a forwarded request not encoded.", zap.String("request", c.meta.AttemptID), zap.Error(err))
	}
}

// finishForwarded ends the answer to the entry that passed the request on, or tells it why
// there is none, and logs the request. It panics with http.ErrAbortHandler if that entry has
// ended the request.
func (c *call) finishForwarded(err error) {
	e := c.entry
	e.metrics.forwarded.Inc()
	var refusal *Refusal
	if err != nil && !errors.As(err, &refusal) {
		refusal = &Refusal{Status: http.StatusBadGateway, Reason: ReasonLostAnswer, Err: err}
	}
	if c.responseStarted {
		forward.WriteEnd(c.w.Header(), refusal == nil && c.complete)
	}
	if refusal == nil {
		c.logRequest("Forwarded request answered.", nil)
		return
	}
	e.metrics.forwardedFailed.Inc()
	c.logRequest("Forwarded request not answered.", refusal)
	if refusal.Reason == ReasonCallerGone {
		panic(http.ErrAbortHandler)
	}
	if c.responseStarted {
		return
	}
	c.writeReply(&forward.Reply{Tried: c.tried, Attempts: c.attempts(), Refusal: &forward.Refusal{
		Reason: string(refusal.Reason), MayHaveRun: c.possiblyRan, RetryAfterMS: refusal.RetryAfter.Milliseconds(), Error: refusal.Error(),
	}})
	c.w.Header().Set("Content-Length", "0")
	c.w.WriteHeader(refusal.Status)
}
