package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/pick"
)

const (
	// maxWaitShare is the part of the route's target latency that a request may
	// wait for an endpoint while none can become free by the end of other requests.
	maxWaitShare = 0.12
	// maxRetryWait limits the wait for an endpoint before a retry.
	maxRetryWait = time.Second
	// keptAliveTime is how long ago a byte of an endpoint may have arrived for kept connections
	// to count as alive, while new ones are refused.
	keptAliveTime = 200 * time.Millisecond
	// maxKeptTries limits the endpoints at which a request looks for a kept connection.
	maxKeptTries = 3
)

func (c *call) pickRequest() *pick.Request {
	return &pick.Request{
		Service: c.service.Name, Domain: c.entry.options.Settings.FailureDomain, Prefix: c.meta.Prefix,
		PromptTokens: c.meta.PromptTokens, Avoid: c.avoidedEndpoints(), MaxConnections: c.entry.connectionShare(c.service),
		SoftwareVersion: c.softwareVersion,
	}
}

// avoidedEndpoints returns the endpoints that the request was sent to, here or by the entry
// that passed it on.
func (c *call) avoidedEndpoints() []string {
	if c.forwarded == nil || len(c.forwarded.Avoid) == 0 {
		return c.tried
	}
	return slices.Concat(c.forwarded.Avoid, c.tried)
}

// nextHop chooses the endpoint of the next attempt or, while this entry reaches none of the
// service, the peer that chooses it. If none is available, the request waits for one in the queue
// of its service, or is refused at once if none can be available in time.
func (c *call) nextHop(ctx context.Context) (*hop, error) {
	request := c.pickRequest()
	queue := c.entry.queues.of(c.service.Name)
	waitEnd := time.Now().Add(c.maxWait())
	checked := false
	for {
		request.Now, request.TimeOfDay = time.Now(), c.entry.clock.Now()
		c.entry.reach.suspectIfQuiet(request.Service, request.Now)
		if c.entry.reach.monitor.CutOff(request.Service) {
			return c.hopDespiteCut(request)
		}
		if !checked {
			if err := c.checkParts(ctx); err != nil {
				return nil, err
			}
			checked = true
		}
		next, err := queue.choose(c, request)
		if err != nil {
			next, err = c.waitForEndpoint(ctx, queue, request, err, waitEnd)
		}
		if errors.Is(err, errReconsider) {
			continue
		}
		if err != nil {
			return nil, err
		}
		next.gated = c.service.Engine == nil
		return next, nil
	}
}

// hopDespiteCut returns a hop for a request whose service is cut off: an endpoint to which a
// connection was kept, if those live on, or else a peer.
func (c *call) hopDespiteCut(request *pick.Request) (*hop, error) {
	if len(c.withoutKept) < maxKeptTries && c.entry.board.SilentFor(request.Service, request.Now) < keptAliveTime {
		kept := *request
		// The pauses are those of refused connections.
		kept.IgnorePauses = true
		kept.Avoid = slices.Concat(kept.Avoid, c.withoutKept)
		if h, err := c.chooseOnce(&kept); err == nil {
			c.withoutKept = append(c.withoutKept, h.endpoint.ID)
			h.keptOnly = true
			return h, nil
		}
	}
	return c.choosePeer(c.avoidedPeers, request.Now)
}

// maxWait returns how long the request may wait while no endpoint can become free by the end of
// other requests, but only after a pause or as the endpoints change.
func (c *call) maxWait() time.Duration {
	if c.possiblyRan {
		// A request that may have run can no longer be refused: a late answer is
		// better than an error.
		return min(time.Until(c.deadline)/2, maxRetryWait)
	}
	return time.Duration(maxWaitShare * float64(c.route.Target))
}

// noEndpoint returns the refusal of a request for which no endpoint can be available by the
// end of its wait; nil if one may be.
func (c *call) noEndpoint(err error, now, waitEnd time.Time) *Refusal {
	none := &pick.NoEndpointError{}
	errors.As(err, &none)
	c.excluded = none.Backoff
	if !none.VersionGone && !none.AvailableAt.After(waitEnd) {
		return nil
	}
	retryAfter := max(none.ReturnAt.Sub(now), defaultRetryAfter)
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonNoEndpoint, RetryAfter: c.retryAfter(retryAfter), Err: err}
}

// chooseOnce picks an endpoint. For a stream that is bound to a software version it needs a
// recent answer of a replica. The error is a *pick.NoEndpointError or a *StaleViewError.
func (c *call) chooseOnce(request *pick.Request) (*hop, error) {
	if request.SoftwareVersion != nil && !c.entry.replicaClient.knowsVersions(request.Now) {
		return nil, &StaleViewError{Service: request.Service}
	}
	if !c.entry.rollouts.Idle() || c.entry.mayMissRollouts() {
		return c.chooseBySplit(request)
	}
	choice, err := c.entry.board.Choose(request)
	if err != nil {
		return nil, err
	}
	return directHop(choice), nil
}
