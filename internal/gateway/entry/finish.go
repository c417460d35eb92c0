package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// finish gives the final answer of the gateway, where no endpoint did, and
// writes the line of the request.
func (x *call) finish(err error) {
	e := x.entry
	e.metrics.total.Since(x.arrived)
	if err == nil {
		e.metrics.answered.Inc()
		x.report("Request answered.", nil)
		return
	}
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = &Refusal{Status: http.StatusBadGateway, Reason: ReasonLostAnswer, Err: err}
	}
	x.giveBack()
	e.metrics.reason(refusal.Reason)
	if refusal.Reason == ReasonCallerGone {
		e.metrics.gone.Inc()
		x.report("Caller gone.", refusal)
		panic(http.ErrAbortHandler)
	}
	if x.begun {
		e.metrics.failed.Inc()
		x.report("Stream broken off.", refusal)
		// The connection must end without the end of the body.
		panic(http.ErrAbortHandler)
	}
	if mayPromise(refusal.Status) {
		e.metrics.refused.Inc()
	} else {
		e.metrics.failed.Inc()
	}
	x.status = refusal.Status
	x.refuse(refusal)
	x.report("Request refused.", refusal)
}

// giveBack returns the quota of a request that was not sent on.
func (x *call) giveBack() {
	if x.cost > 0 && len(x.tried) == 0 && !x.ran {
		x.entry.quotas.Return(x.workspace, x.cost)
	}
}

func (x *call) refuse(refusal *Refusal) {
	header := x.w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", "0")
	x.w.WriteHeader(refusal.Status)
}

// report writes the line of a request.
func (x *call) report(message string, refusal *Refusal) {
	fields := []zap.Field{
		zap.String("request", x.meta.AttemptID), zap.Int("status", x.status),
		zap.String("workspace", x.workspace), zap.String("endpoint", x.endpoint), zap.Strings("tried", x.tried),
		zap.Int64("ms", time.Since(x.arrived).Milliseconds()), zap.Int64("first_ms", x.first.Milliseconds()),
		zap.Bool("may_have_run", x.ran || x.begun),
	}
	if x.route != nil {
		fields = append(fields, zap.String("route", x.route.Name), zap.Uint64("generation", x.active.generation),
			zap.Int64("left_ms", time.Until(x.deadline).Milliseconds()))
	}
	if refusal == nil {
		x.entry.log.Info(message, fields...)
		return
	}
	fields = append(fields, zap.String("reason", string(refusal.Reason)), zap.Duration("retry_after", refusal.RetryAfter), zap.Error(refusal.Err))
	x.entry.log.Warn(message, fields...)
}
