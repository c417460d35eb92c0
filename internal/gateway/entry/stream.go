package entry

import (
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
	// silentGaps is how many of the longest pauses on time a stream may be
	// silent before a resumable one goes on elsewhere; never under minGap.
	silentGaps = 4
	minGap     = time.Second
)

// stream passes events on as they arrive. A stream that breaks can go on at
// another endpoint after the last event that the caller has.
func (x *call) stream(ctx context.Context, choice *pick.Choice, answer *wire.Answer) outcome {
	events := newEventReader(answer)
	resuming := x.begun
	if resuming {
		x.entry.metrics.resumed.Inc()
	}
	patience := x.patience()
	firstEvent := true
	var run *streamRun
	defer func() { x.leaveRun(run, choice) }()
	for {
		if patience > 0 {
			answer.SetDeadline(time.Now().Add(patience))
		}
		block, err := events.next()
		if errors.Is(err, io.EOF) {
			if !x.begun {
				x.beginStream(answer)
			}
			x.whole = true
			return outcome{done: true, sent: true}
		}
		if err != nil {
			answer.Discard()
			if moved := x.awaitMove(ctx, run, choice); moved != nil {
				run = nil
				return outcome{sent: true, moved: moved}
			}
			if x.r.Context().Err() == nil {
				choice.Failed(time.Now())
				x.entry.crashes.lost(&choice.Endpoint)
			}
			return outcome{sent: true, err: &AnswerError{choice.Endpoint.ID, "stream broke off: " + err.Error()}}
		}
		choice.Heard()
		if firstEvent {
			firstEvent = false
			choice.Observe(time.Now())
			x.countRun()
		}
		if resuming {
			block = x.unseen(block)
		}
		if err := x.pass(answer, block); err != nil {
			answer.Discard()
			return outcome{done: true, sent: true, err: err}
		}
		if run == nil && x.lastID != noID && x.service.Engine != nil && x.service.Engine.Migrates {
			run = x.entry.migrations.begin(x, choice.Endpoint.ID)
		}
	}
}

// awaitMove returns the move of a run whose stream ended, or nil if there is
// none that can be gone on with. The run is then no longer noted.
func (x *call) awaitMove(ctx context.Context, run *streamRun, choice *pick.Choice) *move {
	if run == nil {
		return nil
	}
	mv := x.entry.migrations.end(run, choice.Endpoint.ID)
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

// leaveRun ends the note of a run, and frees a move that is not gone on with.
func (x *call) leaveRun(run *streamRun, choice *pick.Choice) {
	if run == nil {
		return
	}
	if mv := x.entry.migrations.end(run, choice.Endpoint.ID); mv != nil {
		x.entry.group.Go(func() { x.entry.migrations.unused(mv) })
	}
}

// patience is how long a stream may be silent; 0 means until the deadline. A
// stream that cannot be resumed gains nothing from an early end.
func (x *call) patience() time.Duration {
	if !x.route.Resumable || x.attempts() >= x.route.MaxAttempts {
		return 0
	}
	return max(silentGaps*x.route.MaxGap, minGap)
}

// beginStream sends the head of a stream. The headers are those of the first
// endpoint, also where another one goes on.
func (x *call) beginStream(answer *wire.Answer) {
	copyHeader(x.w.Header(), answer.Header)
	x.begin(http.StatusOK)
}

// pass writes events to the caller.
func (x *call) pass(answer *wire.Answer, block []byte) error {
	if len(block) == 0 {
		return nil
	}
	if !x.begun {
		x.beginStream(answer)
	}
	control := http.NewResponseController(x.w)
	if _, err := x.w.Write(block); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	splitEvents(block, func(event []byte) {
		if id := eventID(event); id != noID {
			x.lastID = id
		}
	})
	return nil
}

// unseen drops the events that the caller has already.
func (x *call) unseen(block []byte) []byte {
	var list []byte
	splitEvents(block, func(event []byte) {
		id := eventID(event)
		if id != noID && id <= x.lastID {
			x.entry.log.Debug("Event repeated by endpoint.", zap.String("request", x.meta.AttemptID), zap.Int64("event", id))
			return
		}
		list = append(list, event...)
	})
	return list
}
