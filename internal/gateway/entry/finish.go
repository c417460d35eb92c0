package entry

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/waiting"
)

// finish answers the caller if no endpoint did, and logs the request. It panics
// with http.ErrAbortHandler if the connection must be closed without an answer.
func (c *call) finish(err error) {
	e := c.entry
	e.metrics.total.Since(c.receivedAt)
	if err == nil {
		e.metrics.answered.Inc()
		c.logRequest("Request answered.", nil)
		return
	}
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		refusal = &Refusal{Status: http.StatusBadGateway, Reason: ReasonLostAnswer, Err: err}
	}
	c.refundQuota()
	e.metrics.countReason(refusal.Reason)
	if refusal.Reason == ReasonCallerGone {
		e.metrics.callersGone.Inc()
		c.logRequest("Caller gone.", refusal)
		panic(http.ErrAbortHandler)
	}
	if c.responseStarted {
		e.metrics.failed.Inc()
		c.logRequest("Stream broken off.", refusal)
		// Abort the connection, so that the caller does not take the body for complete.
		panic(http.ErrAbortHandler)
	}
	if promisesNotRun(refusal.Status) {
		e.metrics.refused.Inc()
	} else {
		e.metrics.failed.Inc()
	}
	c.status = refusal.Status
	c.writeRefusal(refusal)
	c.logRequest("Request refused.", refusal)
}

// refundQuota returns the quota charge of a request that was not sent to any
// endpoint.
func (c *call) refundQuota() {
	if c.charge.cost > 0 && len(c.tried) == 0 && !c.possiblyRan {
		c.entry.quotas.Refund(c.workspace, c.charge.cost)
		c.entry.metrics.quotaRefunded.Add(int64(c.charge.cost))
	}
}

func (c *call) writeRefusal(refusal *Refusal) {
	header := c.w.Header()
	if refusal.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", "0")
	c.w.WriteHeader(refusal.Status)
}

// logRequest writes the log line of the request.
func (c *call) logRequest(message string, refusal *Refusal) {
	fields := []zap.Field{
		zap.String("request", c.meta.AttemptID), zap.Int("status", c.status),
		zap.String("workspace", c.workspace), zap.String("endpoint", c.endpoint), zap.Strings("tried", c.tried),
		zap.Int64("ms", time.Since(c.receivedAt).Milliseconds()), zap.Int64("first_ms", c.timeToFirstByte.Milliseconds()),
		zap.Bool("may_have_run", c.possiblyRan || c.responseStarted),
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.Uint64("generation", c.active.generation),
			zap.Int64("left_ms", time.Until(c.deadline).Milliseconds()))
	}
	fields = append(fields, c.quotaFields()...)
	if c.framing != "" {
		fields = append(fields, zap.String("framing", string(c.framing)), zap.Int64("last_event", c.lastEventID), zap.Int("moves", c.moves))
	}
	if c.ordered != "" {
		fields = append(fields, zap.String("ordered", c.ordered))
	}
	if c.peer != "" {
		fields = append(fields, zap.String("peer", c.peer))
	}
	if c.forwarded != nil {
		fields = append(fields, zap.String("forwarded_by", c.forwarded.Entry))
	}
	if c.meta.ResumeAfter != "" {
		fields = append(fields, zap.String("first_attempt", c.meta.FirstAttempt), zap.String("resume_after", c.meta.ResumeAfter))
	}
	if c.excluded != nil {
		fields = append(fields, zap.String("backoff_endpoint", c.excluded.Endpoint), zap.Int64("backoff_age_ms", c.excluded.Age.Milliseconds()))
	}
	if c.waited > 0 {
		fields = append(fields, zap.Int64("waited_ms", c.waited.Milliseconds()))
	}
	if refusal == nil {
		c.entry.log.Info(message, fields...)
		return
	}
	fields = append(fields, waitFields(refusal.Err)...)
	fields = append(fields, c.sharedPartsField(), zap.String("reason", string(refusal.Reason)), zap.Duration("retry_after", refusal.RetryAfter), zap.Error(refusal.Err))
	c.entry.log.Warn(message, fields...)
}

// waitFields describes why a request does not wait for an endpoint, or no longer.
func waitFields(err error) []zap.Field {
	var refused *waiting.RefusedError
	if !errors.As(err, &refused) {
		return nil
	}
	return []zap.Field{
		zap.String("wait_reason", string(refused.Reason)), zap.Int("ahead", refused.Ahead),
		zap.Int64("wait_ms", refused.Wait.Milliseconds()), zap.Int64("drain_ms", refused.Drain.Milliseconds()),
	}
}

// quotaFields describes what was charged to the quota and the share of this entry now.
func (c *call) quotaFields() []zap.Field {
	if c.charge.cost <= 0 {
		return nil
	}
	basis := c.entry.quotas.Basis(c.workspace)
	return []zap.Field{
		zap.Float64("quota_cost", c.charge.cost), zap.String("quota_source", string(c.charge.source)),
		zap.Float64("quota_per_s", basis.RatePerS), zap.Float64("quota_share", basis.Share),
		zap.Int("quota_entries", basis.Entries), zap.Int64("quota_age_ms", basis.Age.Milliseconds()),
	}
}

// maxLoggedParts bounds the prompt parts that a log line names.
const maxLoggedParts = 8

// sharedPartsField names the prompt parts that the request may share with others.
func (c *call) sharedPartsField() zap.Field {
	shared := pick.SharedParts(c.meta.Prefix)
	names := make([]string, 0, maxLoggedParts)
	for _, part := range shared[:min(len(shared), maxLoggedParts)] {
		names = append(names, partName(part.ID))
	}
	return zap.Strings("parts", names)
}

// partName returns the ID of a prompt part as callers write it.
func partName(id uint64) string { return strconv.FormatUint(id, 16) }
