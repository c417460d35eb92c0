package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
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

// deliverStream forwards events to the caller as they arrive. If the stream breaks
// off, another endpoint can continue it after the last event that was forwarded.
func (c *call) deliverStream(ctx context.Context, h *hop, answer *wire.Answer) outcome {
	choice := h.choice
	events := newEventReader(streamBody(h, answer), &c.entry.buffers)
	defer events.close()
	resuming := c.responseStarted
	if resuming {
		c.entry.metrics.resumed.Inc()
	}
	var watch *silenceWatch
	if c.route.Resumable {
		watch = c.watchSilence(h, max(silentGapFactor*c.route.MaxGap, minStreamSilence), c.attempts(), func() { answer.SetDeadline(time.Unix(1, 0)) })
	}
	defer func() { c.releaseReplacement(watch.stop()) }()
	// silentSince is when the last event was passed on: the time that the caller took for it
	// does not count.
	silentSince := time.Now()
	var firstEventAt time.Time
	var comments []byte
	var run *streamRun
	defer func() { c.releaseRun(run, choice) }()
	for {
		watch.resume(silentSince)
		block, err := events.next()
		if err == nil && watch.pause() {
			answer.SetDeadline(time.Time{})
		}
		if errors.Is(err, io.EOF) {
			if !c.responseStarted {
				c.startStream(h, answer)
			}
			if !resuming {
				_, _ = c.w.Write(comments)
			}
			c.complete = true
			c.watch.survived()
			return outcome{done: true, sent: true}
		}
		if err != nil {
			answer.Discard()
			if moved := c.awaitMove(ctx, run, choice); moved != nil {
				run = nil
				return outcome{sent: true, moved: moved}
			}
			if c.r.Context().Err() == nil {
				c.recordBrokenStream(ctx, h, err)
			}
			return c.replaced(outcome{sent: true, err: &AnswerError{h.endpoint.ID, "stream ended early: " + err.Error()}}, watch.stop())
		}
		choice.RecordProgress(time.Now())
		if !hasEvent(block) && len(comments)+len(block) <= maxCommentBytes {
			// A stream that only sends comments makes no progress. They are forwarded with
			// the next event: until then another endpoint may answer instead.
			comments = append(comments, block...)
			continue
		}
		choice.RecordEvents(bytes.Count(block, eventEnd), time.Now())
		if len(comments) > 0 {
			block, comments = append(comments, block...), nil
		}
		if firstEventAt.IsZero() {
			firstEventAt = time.Now()
			if c.softwareVersion != nil && h.versionIsDoubtful(firstEventAt) {
				return c.rejectAnswer(h, answer, "software version of the endpoint is no longer known")
			}
			choice.RecordSuccess(firstEventAt)
			c.trial.noteAnswered(firstEventAt)
			c.countUsage()
		} else if time.Since(firstEventAt) >= survivalTime {
			c.watch.survived()
		}
		if resuming {
			if block, err = c.dropSeenEvents(block); err != nil {
				answer.Discard()
				h.recordFailure(time.Now(), true)
				return outcome{sent: true, err: &AnswerError{h.endpoint.ID, err.Error()}}
			}
		}
		if err := c.writeEvents(h, answer, block); err != nil {
			answer.Discard()
			return outcome{done: true, sent: true, err: &CallerError{Err: err}}
		}
		if run == nil && c.isMovable(h) {
			run = c.entry.migrations.trackRun(c, h.endpoint.ID)
		}
		silentSince = time.Now()
	}
}

// recordBrokenStream records that a stream broke off: at the endpoint, or at the peer that
// passes it on.
func (c *call) recordBrokenStream(ctx context.Context, h *hop, err error) {
	h.recordFailure(time.Now(), errors.Is(err, errBrokenBehindPeer))
	c.checkForCrash(ctx, h)
}

// isMovable reports whether the run of a stream can be moved from its endpoint. That of a
// peer is moved by the peer.
func (c *call) isMovable(h *hop) bool {
	return c.lastEventID != noID && !c.originUnknown && !h.viaPeer() && c.service.Engine != nil && c.service.Engine.Migrates
}

// awaitMove waits for the move of a run whose stream ended. It returns nil if there
// is no move or if it failed. It also removes the run from the tracked ones.
func (c *call) awaitMove(ctx context.Context, run *streamRun, choice *pick.Choice) *move {
	if run == nil {
		return nil
	}
	mv := c.entry.migrations.untrackRun(run, choice.Endpoint.ID)
	if mv == nil {
		return nil
	}
	select {
	case <-mv.done:
	case <-ctx.Done():
		return nil
	}
	if mv.err != nil || mv.choice == nil {
		return nil
	}
	return mv
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
