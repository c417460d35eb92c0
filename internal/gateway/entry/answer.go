package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/rules"
)

const (
	// maxPlainBodyBytes limits the body of an answer that is read completely before
	// it is forwarded, and plainBuffer is the initial size of its buffer.
	maxPlainBodyBytes = 8 << 20
	plainBuffer       = 2 << 10
	// refusalDrainTime limits how long the body of a refusal is read. A new
	// connection costs less than a longer wait.
	refusalDrainTime = 50 * time.Millisecond
)

// handleAnswer records what the head of an answer says, and forwards the answer unless the
// request has to be sent again.
func (c *call) handleAnswer(ctx context.Context, h *hop, answer *wire.Answer) outcome {
	e := c.entry
	choice := h.choice
	now := time.Now()
	meta := e.options.Dialect.ParseAnswer(answer.StatusCode, answer.Header)
	if meta.AttemptID != c.meta.AttemptID {
		// Nothing in it is about this request, a refusal least of all.
		return c.rejectAnswer(h, answer, "answer belongs to another request")
	}
	choice.RecordAnswer(meta.Load, now)
	if meta.InvalidLoad != "" {
		e.log.Warn("Load report of an endpoint has figures that cannot be used.", zap.String("endpoint", choice.Endpoint.ID), zap.String("value", meta.InvalidLoad))
	}
	if meta.Misdirected {
		choice.RecordDraining()
		c.misdirected++
		return c.refusedBy(choice, answer, "address now belongs to another endpoint")
	}
	e.departures.observe(&choice.Endpoint, &meta, now)
	c.observeBackoff(choice, &meta, now)
	if !meta.NotRun && !meta.Sealed {
		return c.rejectAnswer(h, answer, "answer is not from the program of the endpoint")
	}
	e.rateLimits.observe(&choice.Endpoint, &meta, now)
	c.observeBrittle(choice, &meta, now)
	if meta.NoCapacity {
		choice.RecordFull(meta.Load, now)
		h.full = true
	}
	if meta.NotRun {
		return c.refusedBy(choice, answer, fmt.Sprintf("request not run, status %d, back-off %s", answer.StatusCode, meta.Backoff))
	}
	return c.deliver(ctx, h, answer)
}

// deliver forwards the answer of an endpoint that began to run the request.
func (c *call) deliver(ctx context.Context, h *hop, answer *wire.Answer) outcome {
	c.endpoint, c.framing = h.endpoint.ID, answer.Framing()
	if c.responseStarted && answer.StatusCode != http.StatusOK {
		// The caller already received a part of the stream, and an answer with this
		// status does not continue it.
		answer.Discard()
		h.recordError(time.Now())
		return outcome{sent: true, err: &AnswerError{h.endpoint.ID, "stream not resumed, status " + strconv.Itoa(answer.StatusCode)}}
	}
	if c.route.Kind == rules.Streaming && answer.StatusCode == http.StatusOK {
		return c.deliverStream(ctx, h, answer)
	}
	return c.deliverPlain(ctx, h, answer)
}

// refusedBy returns the outcome of an attempt that the endpoint proved not to have run.
func (c *call) refusedBy(choice *pick.Choice, answer *wire.Answer, problem string) outcome {
	c.drainBody(answer)
	return outcome{sent: true, notRun: true, err: &AnswerError{choice.Endpoint.ID, problem}}
}

// rejectAnswer returns the outcome of an attempt whose answer cannot be used.
func (c *call) rejectAnswer(h *hop, answer *wire.Answer, problem string) outcome {
	answer.Discard()
	h.recordFailure(time.Now(), true)
	return outcome{sent: true, err: &AnswerError{h.endpoint.ID, problem}}
}

// drainBody reads the body of a short refusal to its end, so that the connection
// can be reused.
func (c *call) drainBody(answer *wire.Answer) {
	const maxRefusalBytes = 4 << 10
	answer.SetDeadline(time.Now().Add(refusalDrainTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, maxRefusalBytes))
}

// deliverPlain reads the complete answer before it forwards it. If the answer is
// truncated, the request can then still be retried or answered with an error.
func (c *call) deliverPlain(ctx context.Context, h *hop, answer *wire.Answer) outcome {
	buffer := c.entry.buffers.newBuffer(plainBuffer)
	defer buffer.release()
	body, next, err := c.readPlain(h, answer, buffer)
	if err != nil {
		return c.replaced(c.plainFailure(ctx, h, err), next)
	}
	c.releaseReplacement(next)
	c.countUsage()
	c.complete = true
	if retried := c.judgePlain(ctx, h, answer.StatusCode); retried != nil {
		return *retried
	}
	header := c.w.Header()
	copyHeader(header, answer.Header)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.startResponse(h, answer.StatusCode)
	if _, err := c.w.Write(body); err != nil {
		return outcome{done: true, sent: true, err: &CallerError{Err: err}}
	}
	return outcome{done: true, sent: true}
}

// readPlain reads the body of an answer, and checks that its end proves that it is complete. The
// next hop is set if a silenceWatch has ended the attempt. The body is valid until the buffer is
// released.
func (c *call) readPlain(h *hop, answer *wire.Answer, buffer *buffer) (body []byte, next *hop, err error) {
	var watch *silenceWatch
	if answer.ContentLength < 0 {
		// Without a length, only the time tells that a body does not end.
		watch = c.watchSilence(h, c.silenceTimeout(), c.attempts(), func() { answer.SetDeadline(time.Unix(1, 0)) })
	}
	body, err = buffer.readBody(answer)
	if err == nil {
		err = c.checkEnd(h, answer, time.Now())
	}
	if err != nil {
		answer.Discard()
	}
	return body, watch.stop(), err
}

// plainFailure returns the outcome of an attempt whose answer was not read to its end, and records
// what that says about the endpoint.
func (c *call) plainFailure(ctx context.Context, h *hop, err error) outcome {
	switch {
	case errors.Is(err, errBuffersFull):
		// The memory of this entry is used up, which is no fault of the endpoint.
		h.choice.RecordSuccess(time.Now())
		return outcome{sent: true, err: &AnswerError{h.endpoint.ID, err.Error()}}
	case !errors.Is(err, errEndNotProven):
		h.recordFailure(time.Now(), false)
		c.checkForCrash(ctx, h)
	}
	return outcome{sent: true, err: &AnswerError{h.endpoint.ID, "body not complete: " + err.Error()}}
}

// judgePlain records what the status of a complete answer says about the endpoint. It returns an
// outcome if the request is sent again instead: an error is the answer unless another attempt is
// certain to start.
func (c *call) judgePlain(ctx context.Context, h *hop, status int) *outcome {
	now := time.Now()
	if status < http.StatusInternalServerError {
		h.choice.RecordSuccess(now)
		c.trial.noteAnswered(now)
		c.watch.survived()
		return nil
	}
	h.recordError(now)
	c.possiblyRan = true
	if status == http.StatusGatewayTimeout {
		return nil
	}
	next := c.nextAfterError(ctx)
	if next == nil {
		return nil
	}
	return &outcome{sent: true, next: next, err: &AnswerError{h.endpoint.ID, "status " + strconv.Itoa(status)}}
}

// startResponse writes the response header to the caller.
func (c *call) startResponse(h *hop, status int) {
	c.describeAnswer(h)
	c.responseStarted = true
	c.status = status
	c.timeToFirstByte = time.Since(c.receivedAt)
	c.entry.metrics.firstByte.Record(c.timeToFirstByte)
	c.w.WriteHeader(status)
}

// copyHeader copies the headers of an answer, except hop-by-hop ones.
func copyHeader(dst, src http.Header) {
	for name, values := range httpconn.WithoutHopByHop(src) {
		dst[name] = values
	}
}
