package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/ratelimit"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

// observeRateLimit records the limit that an answer of an endpoint names. Only an
// answer of the endpoint's own program shows that a limit has ended.
func (e *Entry) observeRateLimit(endpoint *registry.Endpoint, meta *port.AnswerMeta, now time.Time) {
	if meta.InvalidRateLimit != "" {
		e.log.Warn("Rate limit of an endpoint cannot be used and is ignored.", zap.String("endpoint", endpoint.ID), zap.String("value", meta.InvalidRateLimit))
		return
	}
	observed := ratelimit.Limit{Named: meta.RateLimit != nil}
	if observed.Named {
		observed.PerS = *meta.RateLimit
	} else if !meta.Sealed {
		return
	}
	if e.rateLimits.Observe(endpoint.ID, endpoint.Born, observed, now) {
		e.log.Info("Rate limit of an endpoint.", zap.String("endpoint", endpoint.ID), zap.Int64("born", endpoint.Born), zap.Bool("named", observed.Named), zap.Float64("per_s", observed.PerS))
	}
}
