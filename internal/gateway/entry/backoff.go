package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/port"
)

// observeBackoff records for how long an endpoint wants no request of this entry, if its
// answer says so.
func (c *call) observeBackoff(choice *pick.Choice, meta *port.AnswerMeta, now time.Time) {
	e := c.entry
	if meta.InvalidBackoff != "" {
		e.log.Warn("Back-off of an endpoint cannot be used and is ignored.", zap.String("endpoint", choice.Endpoint.ID), zap.String("value", meta.InvalidBackoff))
		return
	}
	if meta.Backoff <= 0 {
		return
	}
	e.metrics.backoffs.Inc()
	if started := choice.RecordBackoff(meta.Backoff, now, e.clock.Now()); started != nil {
		e.log.Info("Endpoint backs off.", zap.String("endpoint", started.Endpoint), zap.Int64("born", choice.Endpoint.Born),
			zap.Int64("wanted_ms", meta.Backoff.Milliseconds()), zap.Int64("left_ms", started.Left.Milliseconds()), zap.String("request", meta.AttemptID))
	}
}

// logEndedBackoffs logs the back-offs that have ended.
func (e *Entry) logEndedBackoffs(ended []pick.Backoff) {
	for _, b := range ended {
		e.metrics.backoffsEnded.Inc()
		e.log.Info("Back-off of an endpoint ended.", zap.String("endpoint", b.Endpoint), zap.Int64("lasted_ms", (b.Age+b.Left).Milliseconds()))
	}
}

// checkChoice reports whether a chosen endpoint may still get the request. The error is a
// *WithdrawnError.
func checkChoice(choice *pick.Choice) error {
	if choice.Withdrawn(time.Now()) {
		return &WithdrawnError{Endpoint: choice.Endpoint.ID}
	}
	return nil
}
