package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/core/retry"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// claimsGroup is the name of the claims group. At present there is only
	// one.
	claimsGroup = "main"
	// claimPollInterval is the interval at which a call checks whether another
	// call with the same key has ended.
	claimPollInterval = 100 * time.Millisecond
	// maxCompleteRetries limits the retries to record a result while there is
	// no quorum.
	maxCompleteRetries    = 50
	completeRetryInterval = 200 * time.Millisecond
	// headerContentType is stored with a recorded result.
	headerContentType = "Content-Type"
)

// ownerSeparator separates the parts of the name of a claim owner.
const ownerSeparator = "/"

// OwnerID returns the name of one run of a daemon as the owner of claims.
func OwnerID(domain, name string, instance uint64) string {
	return OwnerPrefix(domain, name) + strconv.FormatUint(instance, 36)
}

// OwnerPrefix returns the common prefix of the owner names of a daemon or, if
// the name is empty, of a failure domain.
func OwnerPrefix(domain, name string) string {
	if name == "" {
		return domain + ownerSeparator
	}
	return domain + ownerSeparator + name + ownerSeparator
}

// Owner returns the name of this run of the daemon as the owner of claims.
func (s *Service) Owner() string {
	return OwnerID(s.options.FailureDomain, s.options.Name, s.options.Instance)
}

func newUUID() string { return uuid.NewString() }

// serviceCall is one call to a plain service.
type serviceCall struct {
	service   *Service
	req       *ServiceRequest
	doc       *conf.Document
	record    *telemetry.Record
	attemptID string
	avoid     []string
	// mayHaveRun is set when the service may have run the call.
	mayHaveRun bool
}

// Call calls a plain service. A non-idempotent call runs at most once.
func (s *Service) Call(ctx context.Context, req *ServiceRequest) (*ServiceResponse, error) {
	if s.draining.Load() {
		return nil, &RefusalError{Type: RefusedShutdown, Run: endpoint.NotRun, RetryAfter: time.Second, Message: "this daemon is shutting down"}
	}
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.metrics.serviceCalls.Inc()
	ctx, span := s.options.Tracing.Start(ctx, telemetry.HopService)
	defer span.End()
	active := s.configure()
	c := &serviceCall{service: s, req: req, doc: active.Document, attemptID: newUUID()}
	c.record = s.options.Explainer.Begin(telemetry.Subject{
		RequestID: req.ID, Daemon: s.options.Name, Workspace: req.Workspace, Caller: req.Caller,
		Target: req.Service, Arrived: time.Now(), Generation: active.Generation,
	})
	resp, err := c.run(ctx)
	span.Fail(err)
	if err != nil {
		c.record.Add(time.Now(), refusalEvent(err))
	} else {
		c.record.Add(time.Now(), telemetry.Event{Type: telemetry.EventFinished})
	}
	return resp, err
}

func (c *serviceCall) run(ctx context.Context) (*ServiceResponse, error) {
	// A call that was sent is continued to its end even if the caller
	// disconnects, because its result must be known.
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout())
	defer cancel()
	switch {
	case c.req.Idempotent:
		return c.sendIdempotent(ctx)
	case c.req.Key == "":
		return c.sendOnce(detached)
	default:
		return c.sendClaimed(ctx, detached)
	}
}

func (c *serviceCall) timeout() time.Duration {
	const fallback = 30 * time.Second
	service := c.doc.Service(c.req.Service)
	if service == nil || service.TimeoutMS <= 0 {
		return fallback
	}
	return time.Duration(service.TimeoutMS) * time.Millisecond
}

// sendIdempotent sends an idempotent call until it is answered or the retry
// budget or the timeout is exhausted.
func (c *serviceCall) sendIdempotent(ctx context.Context) (*ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	c.service.budget.First(c.req.Workspace, time.Now())
	for failures := 0; ; failures++ {
		resp, err := c.send(ctx)
		if err == nil {
			return resp, nil
		}
		if ctx.Err() != nil || c.service.budget.Retry(c.req.Workspace, retry.AfterFailure, failures+1, time.Now()) != nil {
			return nil, c.refusal(err)
		}
		c.service.metrics.retries.Inc()
		if !wait.For(ctx, retry.Backoff(c.doc.Retry, failures, route.SharedRandom)) {
			return nil, c.refusal(err)
		}
	}
}

// sendOnce sends a non-idempotent call. It tries another endpoint only if the
// call is proven not run.
func (c *serviceCall) sendOnce(ctx context.Context) (*ServiceResponse, error) {
	for {
		resp, err := c.send(ctx)
		if err == nil {
			return resp, nil
		}
		var missing *route.NoEndpointError
		if c.mayHaveRun || ctx.Err() != nil || errors.As(err, &missing) {
			return nil, c.refusal(err)
		}
	}
}

// sendClaimed claims the key of a call by quorum, sends the call and records
// its result.
func (c *serviceCall) sendClaimed(ctx, detached context.Context) (*ServiceResponse, error) {
	replayed, err := c.claim(ctx)
	if err != nil || replayed != nil {
		return replayed, err
	}
	resp, err := c.sendOnce(detached)
	c.complete(resp, err)
	return resp, err
}

// claim returns nil, nil when this call owns its key. Otherwise it returns the
// recorded result of an earlier call, or a *RefusalError.
func (c *serviceCall) claim(ctx context.Context) (*ServiceResponse, error) {
	started := time.Now()
	defer c.service.metrics.claim.Since(started)
	ctx, span := c.service.options.Tracing.Start(ctx, telemetry.HopLedger)
	defer span.End()
	for {
		result, err := c.service.options.Ledger.Claim(ctx, c.claimRequest())
		if c.adoptIncarnation(err) {
			continue
		}
		if err != nil {
			span.Fail(err)
			c.releaseInBackground(err)
			return nil, &RefusalError{Type: RefusedNoQuorum, Run: endpoint.NotRun, RetryAfter: time.Second, Message: "the call could not be claimed and was not sent", Err: err}
		}
		c.record.Add(time.Now(), telemetry.Event{Type: telemetry.EventClaimed, Message: string(result.State)})
		switch result.State {
		case port.ClaimGranted:
			return nil, nil
		case port.ClaimDone:
			c.service.metrics.serviceReplays.Inc()
			return replayedResponse(result.Result)
		case port.ClaimMismatch:
			return nil, &RefusalError{Type: RefusedKeyReused, Run: endpoint.NotRun, Message: "the idempotency key was used with another call"}
		case port.ClaimUnknown:
			return nil, outcomeUnknown()
		}
		if time.Since(started) > c.timeout() || !wait.For(ctx, claimPollInterval) {
			return nil, &RefusalError{Type: RefusedOutcome, Run: endpoint.RunUnknown, RetryAfter: time.Second, Message: "another call with this idempotency key is running"}
		}
	}
}

// adoptIncarnation reports whether the claim was refused because the other
// daemons declared this one dead while it was unreachable. Its earlier claims
// have ended, and it continues as a new incarnation.
func (c *serviceCall) adoptIncarnation(err error) bool {
	var stale *port.StaleOwnerError
	if !errors.As(err, &stale) {
		return false
	}
	c.service.ownerIncarnation.CompareAndSwap(stale.Incarnation-1, stale.Incarnation)
	return true
}

// releaseInBackground releases a claim that may still be granted after its
// caller was refused, so that a later call with the key does not wait for this
// one.
func (c *serviceCall) releaseInBackground(err error) {
	var quorum *port.NoQuorumError
	if errors.As(err, &quorum) && !quorum.Proposed {
		return
	}
	c.service.goroutines.Go(func() {
		req := port.CompleteRequest{Group: claimsGroup, Workspace: c.req.Workspace, Key: c.req.Key, Attempt: c.attemptID, Result: port.CallResult{Released: true}}
		c.retryComplete(req)
	})
}

func (c *serviceCall) claimRequest() port.ClaimRequest {
	return port.ClaimRequest{
		Group: claimsGroup, Workspace: c.req.Workspace, Key: c.req.Key, BodyHash: c.bodyHash(),
		Owner: c.service.Owner(), Incarnation: c.service.ownerIncarnation.Load() + 1, Attempt: c.attemptID,
	}
}

// bodyHash returns the hash of everything that two calls with the same key must
// have in common.
func (c *serviceCall) bodyHash() string {
	hash := sha256.New()
	for _, part := range []string{c.req.Service, c.req.Method, c.req.Path, c.req.Header.Get(headerContentType)} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(c.req.Body)
	return hex.EncodeToString(hash.Sum(nil))
}

func outcomeUnknown() error {
	return &RefusalError{Type: RefusedOutcome, Run: endpoint.RunUnknown, Message: "an earlier call with this idempotency key was sent, its outcome is unknown"}
}

// replayedResponse converts a recorded result to a response.
func replayedResponse(result *port.CallResult) (*ServiceResponse, error) {
	if result == nil || result.Unknown {
		return nil, outcomeUnknown()
	}
	header := http.Header{}
	if result.ContentType != "" {
		header.Set(headerContentType, result.ContentType)
	}
	if result.Truncated {
		header.Set("X-Boragelead-Truncated", "true")
	}
	return &ServiceResponse{Status: result.Status, Header: header, Body: result.Body, Replayed: true}, nil
}

// complete records the result of the claimed call. Without a quorum it retries
// in the background; until the result is recorded, other calls with the key
// wait.
func (c *serviceCall) complete(resp *ServiceResponse, err error) {
	req := port.CompleteRequest{Group: claimsGroup, Workspace: c.req.Workspace, Key: c.req.Key, Attempt: c.attemptID, Result: c.callResult(resp, err)}
	if c.tryComplete(req) == nil {
		return
	}
	c.service.goroutines.Go(func() { c.retryComplete(req) })
}

func (c *serviceCall) retryComplete(req port.CompleteRequest) {
	for range maxCompleteRetries {
		if !wait.For(c.service.ctx, completeRetryInterval) || c.tryComplete(req) == nil {
			return
		}
	}
	c.service.log.Error("Result of a claimed call could not be recorded; giving up.", zap.String("request", c.req.ID))
}

func (c *serviceCall) tryComplete(req port.CompleteRequest) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.service.ctx), 2*time.Second)
	defer cancel()
	return c.service.options.Ledger.Complete(ctx, req)
}

func (c *serviceCall) callResult(resp *ServiceResponse, err error) port.CallResult {
	if err != nil {
		return port.CallResult{Unknown: c.mayHaveRun, Released: !c.mayHaveRun}
	}
	result := port.CallResult{Status: resp.Status, ContentType: resp.Header.Get(headerContentType), Body: resp.Body}
	if limit := c.doc.Claims.MaxResultBytes; limit > 0 && len(result.Body) > limit {
		result.Body = result.Body[:limit]
		result.Truncated = true
	}
	return result
}

// send sends the call to one endpoint of the service.
func (c *serviceCall) send(ctx context.Context) (*ServiceResponse, error) {
	target, err := c.chooseEndpoint(ctx)
	if err != nil {
		return nil, err
	}
	call := &port.ServiceCall{
		AttemptID: c.attemptID, Key: c.req.Key, Idempotent: c.req.Idempotent,
		Method: c.req.Method, Path: c.req.Path, Header: c.req.Header, Body: c.req.Body,
	}
	c.record.Add(time.Now(), telemetry.Event{Type: telemetry.EventAttemptStarted, Endpoint: target.ID, Attempt: c.attemptID})
	result, err := c.service.options.Services.Call(ctx, target.BaseURL, call)
	if err != nil {
		c.recordFailure(target.ID, err)
		return nil, err
	}
	c.mayHaveRun = true
	return &ServiceResponse{Status: result.Status, Header: result.Header, Body: result.Body}, nil
}

func (c *serviceCall) recordFailure(id string, err error) {
	c.avoid = append(c.avoid, id)
	var refused *port.RefusedError
	var transport *port.TransportError
	switch {
	case errors.As(err, &refused):
		c.mayHaveRun = c.mayHaveRun || refused.Body.Run != endpoint.NotRun
	case errors.As(err, &transport):
		c.mayHaveRun = c.mayHaveRun || transport.Sent
	default:
		c.mayHaveRun = true
	}
	c.record.Add(time.Now(), telemetry.Event{Type: telemetry.EventAttemptEnded, Endpoint: id, Attempt: c.attemptID, Message: err.Error()})
}

// chooseEndpoint selects the ready endpoints of the service round-robin. It
// uses other failure domains only if this one has none.
func (c *serviceCall) chooseEndpoint(ctx context.Context) (*member.Endpoint, error) {
	usable := c.usableEndpoints(c.service.options.Registry.Service(c.req.Service))
	if len(usable) == 0 {
		usable = c.usableEndpoints(c.service.remoteServices(ctx, c.req.Service))
	}
	if len(usable) == 0 && c.req.Idempotent && len(c.avoid) > 0 {
		c.avoid = nil
		usable = c.usableEndpoints(c.service.options.Registry.Service(c.req.Service))
	}
	if len(usable) == 0 {
		return nil, &route.NoEndpointError{Model: c.req.Service}
	}
	slices.SortFunc(usable, func(a, b *member.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	return usable[int(c.service.serviceRoundRobin.Add(1))%len(usable)], nil
}

func (c *serviceCall) usableEndpoints(list []*member.Endpoint) []*member.Endpoint {
	var usable []*member.Endpoint
	for _, e := range list {
		if e.State == endpoint.StateReady && !slices.Contains(c.avoid, e.ID) {
			usable = append(usable, e)
		}
	}
	return usable
}

// remoteServices returns the endpoints of a service in other failure domains.
func (s *Service) remoteServices(ctx context.Context, service string) []*member.Endpoint {
	var found []*member.Endpoint
	for _, view := range s.options.Cluster.Domains(time.Now()) {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		list, err := s.options.Cluster.Fetch(fetchCtx, view.Domain, "", service)
		cancel()
		if err == nil {
			found = append(found, list...)
		}
	}
	return found
}

// refusal returns the error for the caller, with a run state that matches what
// was sent.
func (c *serviceCall) refusal(err error) *RefusalError {
	var missing *route.NoEndpointError
	if errors.As(err, &missing) && !c.mayHaveRun {
		return &RefusalError{Type: RefusedNoEndpoint, Run: endpoint.NotRun, RetryAfter: noEndpointRetryAfter, Message: "no endpoint of the service is ready", Err: err}
	}
	if !c.mayHaveRun {
		return &RefusalError{Type: RefusedUpstream, Run: endpoint.NotRun, RetryAfter: time.Second, Message: "the service did not take the call", Err: err}
	}
	return &RefusalError{Type: RefusedUpstream, Run: endpoint.RunUnknown, Message: "the service did not answer", Err: err}
}
