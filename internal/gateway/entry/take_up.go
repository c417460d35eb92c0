package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/gateway/streams"
)

// placeTakeUp binds a request that continues a stream of an earlier attempt to the
// software version at which the stream began. The error is a *Refusal.
func (c *call) placeTakeUp(ctx context.Context) error {
	if c.meta.ResumeAfter == "" || c.route.Kind != rules.Streaming {
		return nil
	}
	first := c.meta.FirstAttempt
	if first == "" {
		first = c.meta.AttemptID
	}
	version, known := c.entry.origins.find(ctx, streams.NewKey(c.workspace, first))
	sole, doubtful := false, version == streams.UnknownVersion
	if !known {
		version, sole = c.entry.replicaClient.soleVersion(c.service.Name)
	}
	c.entry.log.Info("Stream taken up.", zap.String("request", c.meta.AttemptID), zap.String("first_attempt", first),
		zap.Bool("known", known), zap.Bool("sole_version", sole), zap.Bool("doubtful", doubtful), zap.String("software_version", version))
	if doubtful || !known && !sole {
		c.entry.metrics.takeUpsUnknown.Inc()
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: ReasonUnknownOrigin, RetryAfter: c.retryAfter(defaultRetryAfter)}
	}
	c.softwareVersion = &version
	return nil
}

// bindVersion binds the further attempts to the software version of the endpoint that
// writes the first event, and records it for take-ups, unless a peer does. While the version is doubtful, the
// stream can only end with the attempt.
func (c *call) bindVersion(h *hop) {
	if c.softwareVersion == nil {
		version := h.endpoint.SoftwareVersion
		if now := time.Now(); h.versionIsDoubtful(now) || !h.viaPeer() && !c.entry.replicaClient.knowsVersions(now) {
			version = streams.UnknownVersion
			c.originUnknown = true
			c.entry.log.Info("Stream begins at an unknown software version.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", h.endpoint.ID))
		}
		c.softwareVersion = &version
	}
	if c.route.Resumable && !h.viaPeer() {
		c.entry.origins.record(streams.NewKey(c.workspace, c.meta.AttemptID), *c.softwareVersion)
	}
}
