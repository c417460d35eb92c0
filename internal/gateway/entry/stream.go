package entry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
	"github.com/boragelead/boragelead/internal/gateway/pick"
)

const (
	// silentGapFactor times the longest gap between events that the route
	// allows, but at least minStreamSilence, is how long a resumable stream may
	// be silent before another endpoint may continue it.
	silentGapFactor  = 4
	minStreamSilence = time.Second
	// maxCommentBytes limits the comments that are held back until the next event.
	maxCommentBytes = 16 << 10
)

// streamRelay forwards the events of one attempt to the caller.
type streamRelay struct {
	call   *call
	hop    *hop
	answer *wire.Answer
	events *eventReader
	watch  *silenceWatch
	// resuming is set if the caller has events of an earlier attempt.
	resuming bool
	// run is the run at the endpoint; nil while it cannot be moved.
	run *streamRun
	// firstEventAt is when the first event of this attempt arrived; zero until then.
	firstEventAt time.Time
	// comments are held back until the next event.
	comments []byte
}

func (c *call) newStreamRelay(h *hop, answer *wire.Answer) *streamRelay {
	r := &streamRelay{call: c, hop: h, answer: answer, events: newEventReader(streamBody(h, answer), &c.entry.buffers), resuming: c.responseStarted}
	if c.route.Resumable {
		r.watch = c.watchSilence(h, max(silentGapFactor*c.route.MaxGap, minStreamSilence), c.attempts(), func() { answer.SetDeadline(time.Unix(1, 0)) })
	}
	return r
}

func (r *streamRelay) close() {
	r.call.releaseRun(r.run, r.hop.choice)
	r.call.releaseReplacement(r.watch.stop())
	r.events.close()
}

// deliverStream forwards events to the caller as they arrive. If the stream breaks
// off, another endpoint can continue it after the last event that was forwarded.
func (c *call) deliverStream(ctx context.Context, h *hop, answer *wire.Answer) outcome {
	r := c.newStreamRelay(h, answer)
	defer r.close()
	if r.resuming {
		c.entry.metrics.resumed.Inc()
	}
	// silentSince is when the last event was passed on: the time that the caller took for it
	// does not count.
	silentSince := time.Now()
	for {
		r.watch.resume(silentSince)
		block, err := r.events.next()
		if err != nil {
			return r.end(ctx, err)
		}
		if r.watch.pause() {
			answer.SetDeadline(time.Time{})
		}
		h.choice.RecordProgress(time.Now())
		if !hasEvent(block) && len(r.comments)+len(block) <= maxCommentBytes {
			// A stream that only sends comments makes no progress. They are forwarded with
			// the next event: until then another endpoint may answer instead.
			r.comments = append(r.comments, block...)
			continue
		}
		if failed := r.forward(ctx, block); failed != nil {
			return *failed
		}
		silentSince = time.Now()
	}
}

// forward writes a block of complete events to the caller. It returns the outcome of the attempt
// if the attempt cannot go on, and nil otherwise.
func (r *streamRelay) forward(ctx context.Context, block []byte) *outcome {
	c, h := r.call, r.hop
	h.choice.RecordEvents(bytes.Count(block, eventEnd), time.Now())
	if len(r.comments) > 0 {
		block, r.comments = append(r.comments, block...), nil
	}
	if rejected := r.noteEvent(ctx, len(block)); rejected != nil {
		return rejected
	}
	if r.resuming {
		var err error
		if block, err = c.dropSeenEvents(block); err != nil {
			r.answer.Discard()
			h.recordFailure(time.Now(), true)
			return &outcome{sent: true, err: &AnswerError{h.endpoint.ID, err.Error()}}
		}
	}
	if err := c.writeEvents(h, r.answer, block); err != nil {
		r.answer.Discard()
		return &outcome{done: true, sent: true, err: &CallerError{Err: err}}
	}
	if r.run == nil && c.isMovable(h) {
		r.run = c.entry.migrations.trackRun(c, h)
	}
	return nil
}

// noteEvent records the arrival of a block of events of some size. It returns an outcome if the
// first one shows that the answer cannot be used.
func (r *streamRelay) noteEvent(ctx context.Context, size int) *outcome {
	c, now := r.call, time.Now()
	if !r.firstEventAt.IsZero() {
		if now.Sub(r.firstEventAt) >= survivalTime {
			c.watch.survived()
		}
		return nil
	}
	r.firstEventAt = now
	if c.softwareVersion != nil && !c.awaitIncarnation(ctx, r.hop, size) {
		rejected := c.rejectAnswer(r.hop, r.answer, "software version of the endpoint is no longer known")
		return &rejected
	}
	r.hop.choice.RecordSuccess(now)
	c.trial.noteAnswered(now)
	c.countUsage()
	return nil
}

// isMovable reports whether the run of a stream can be moved from its endpoint. That of a
// peer is moved by the peer.
func (c *call) isMovable(h *hop) bool {
	return c.lastEventID != noID && !c.originUnknown && !h.viaPeer() && c.service.Engine != nil && c.service.Engine.Migrates
}

// releaseRun stops tracking a run. If the run was moved but is not continued, it
// frees the copy in the background.
func (c *call) releaseRun(run *streamRun, choice *pick.Choice) {
	if run == nil {
		return
	}
	if mv := c.entry.migrations.untrackRun(run, choice.Endpoint.ID); mv != nil {
		c.entry.goTask(func() { c.entry.migrations.releaseUnused(mv) })
	}
}

// startStream writes the response header of a stream. The headers are those of the
// first endpoint, also if another one continues the stream.
func (c *call) startStream(h *hop, answer *wire.Answer) {
	copyHeader(c.w.Header(), answer.Header)
	c.startResponse(h, http.StatusOK)
}

// writeEvents writes complete events to the caller and records the last event ID.
func (c *call) writeEvents(h *hop, answer *wire.Answer, block []byte) error {
	if len(block) == 0 {
		return nil
	}
	if !c.responseStarted {
		c.bindVersion(h)
		c.startStream(h, answer)
	}
	controller := http.NewResponseController(c.w)
	if _, err := c.w.Write(block); err != nil {
		return err
	}
	if err := controller.Flush(); err != nil {
		return err
	}
	splitEvents(block, func(event []byte) {
		if id := eventID(event); id != noID {
			c.lastEventID = id
		}
	})
	return nil
}

// errEventWithoutID reports text without an event ID in a stream that goes on at another
// endpoint, for example an error message.
var errEventWithoutID = errors.New("stream not resumed: event without an ID")

// dropSeenEvents returns the events of a block that the caller has not received yet.
// The error is errEventWithoutID.
func (c *call) dropSeenEvents(block []byte) (unseen []byte, err error) {
	splitEvents(block, func(event []byte) {
		id := eventID(event)
		switch {
		case id == noID && !hasEvent(event):
			return
		case id == noID:
			err = errEventWithoutID
			return
		case id <= c.lastEventID:
			c.entry.log.Debug("Endpoint repeated an event; it is dropped.", zap.String("request", c.meta.AttemptID), zap.Int64("event", id))
			return
		}
		unseen = append(unseen, event...)
	})
	return unseen, err
}
