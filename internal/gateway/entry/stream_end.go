package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/port"
)

// streamEnd is what the end of the stream of an endpoint shows.
type streamEnd int

const (
	// streamComplete states that the caller has all events.
	streamComplete streamEnd = iota
	// streamGoesOn states that this entry has stopped the run, which goes on from its KV cache.
	streamGoesOn
	// streamStopped states that the endpoint had a reason to end the stream early, for example
	// an order of this entry, and that the run does not go on from its KV cache.
	streamStopped
	// streamBroken states that the stream broke off.
	streamBroken
)

// end returns the outcome of an attempt whose stream ended with an error, or with io.EOF.
func (r *streamRelay) end(ctx context.Context, err error) outcome {
	c := r.call
	end, mv, reason := r.classifyEnd(ctx, err)
	switch end {
	case streamComplete:
		return r.complete()
	case streamGoesOn:
		r.run = nil
		return outcome{sent: true, moved: mv}
	case streamStopped:
		r.noteStopped(reason, err)
		return c.replaced(outcome{sent: true, err: &AnswerError{r.hop.endpoint.ID, "stream not proven complete, possible reason of its end: " + string(reason)}}, r.watch.stop())
	}
	if c.r.Context().Err() == nil {
		c.recordBrokenStream(ctx, r.hop, err)
	}
	return c.replaced(outcome{sent: true, err: &AnswerError{r.hop.endpoint.ID, "stream ended early: " + err.Error()}}, r.watch.stop())
}

// noteStopped records a stream that ended while its endpoint had another reason to close it.
func (r *streamRelay) noteStopped(reason closeReason, err error) {
	c := r.call
	if c.r.Context().Err() != nil {
		return
	}
	c.entry.metrics.endsUnproven.Inc()
	c.entry.log.Info("Stream ended, which does not prove that it is complete.", zap.String("request", c.meta.AttemptID), zap.String("endpoint", r.hop.endpoint.ID),
		zap.String("reason", string(reason)), zap.String("framing", string(r.answer.Framing())), zap.Int64("last_event", c.lastEventID), zap.Error(err))
}

// classifyEnd decides what the end of the stream shows. The close of a connection is the end of
// the events only if this entry knows no other reason to close it. The move is set if the run
// goes on from its KV cache, and the reason if the stream may have been stopped.
func (r *streamRelay) classifyEnd(ctx context.Context, err error) (streamEnd, *move, closeReason) {
	ended := errors.Is(err, io.EOF)
	if ended && r.endIsProven() {
		return streamComplete, nil, closeUnexplained
	}
	reason := r.call.reasonToClose(r.hop, time.Now())
	r.answer.Discard()
	mv, effect := r.awaitMove(ctx)
	if mv != nil {
		r.call.ordered = effect.String()
	}
	if r.hop.mayBeStopped {
		effect = joinEffects(port.MoveUncertain, effect)
	}
	switch {
	case mv != nil && mv.goesOn(effect, r.hop):
		return streamGoesOn, mv, closeByOrder
	case ended && effect == port.MoveNoRun:
		return streamComplete, nil, closeUnexplained
	case effect == port.MoveUncertain || effect == port.MoveKept:
		return streamStopped, nil, closeByOrder
	case ended && reason != closeUnexplained:
		return streamStopped, nil, reason
	case ended:
		return streamComplete, nil, closeUnexplained
	}
	return streamBroken, nil, closeUnexplained
}

// endIsProven reports whether the end of the body proves that it is complete. A peer proves it by
// a trailer.
func (r *streamRelay) endIsProven() bool {
	return r.hop.viaPeer() || r.answer.Framing() != wire.FramingClose
}

// complete ends the answer to the caller.
func (r *streamRelay) complete() outcome {
	c := r.call
	if !c.responseStarted {
		c.startStream(r.hop, r.answer)
	}
	if !r.resuming {
		_, _ = c.w.Write(r.comments)
	}
	c.complete = true
	c.watch.survived()
	return outcome{done: true, sent: true}
}

// awaitMove waits for the orders to move the run to end, and returns what they did.
// The move is nil if there was no order. The run is no longer tracked.
func (r *streamRelay) awaitMove(ctx context.Context) (*move, port.MoveEffect) {
	if r.run == nil {
		return nil, port.MoveNone
	}
	mv := r.call.entry.migrations.untrackRun(r.run, r.hop.choice.Endpoint.ID)
	if mv == nil {
		return nil, port.MoveNone
	}
	select {
	case <-mv.done:
		return mv, mv.orders.effect
	case <-ctx.Done():
		return mv, port.MoveUncertain
	}
}

// recordBrokenStream records that a stream broke off: at the endpoint, or at the peer that
// passes it on.
func (c *call) recordBrokenStream(ctx context.Context, h *hop, err error) {
	h.recordFailure(time.Now(), errors.Is(err, errBrokenBehindPeer))
	c.checkForCrash(ctx, h)
}
