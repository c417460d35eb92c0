package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/port"
)

// pump hands the tokens of one attempt to the caller.
type pump struct {
	generation *generation
	state      *endpointState
	stream     port.FrameStream
	flight     *route.Flight
	req        *endpoint.GenerateRequest
	sentAt     time.Time
	// offset is the number of tokens of the answer that this attempt has
	// delivered or started from.
	offset int
	tokens int
	// bytes counts the text repeated by a restarted attempt.
	bytes int
	gaps  gapMeter
	// moveAt is when the request moves away from a leaving endpoint; zero before its notice.
	moveAt time.Time
}

// gapMeter collects the time between tokens for the limiter.
type gapMeter struct {
	last  time.Time
	sum   time.Duration
	count int
}

// observedGaps is the number of tokens after which the limiter is told.
const observedGaps = 16

// run reads frames until the answer is whole or the stream ends early.
func (p *pump) run(ctx context.Context) outcome {
	if idle, ok := p.stream.(port.IdleStream); ok {
		idle.SetIdle(time.Duration(p.generation.doc.Limits.SilentStreamMS) * time.Millisecond)
	}
	var frame endpoint.Frame
	for {
		if err := p.stream.Next(&frame); err != nil {
			return p.broken(ctx, err)
		}
		if frame.AttemptID != p.req.AttemptID {
			// A frame of another attempt, late or crossed.
			continue
		}
		if done, result := p.take(ctx, &frame); done {
			return result
		}
		if p.movesNow(time.Now()) {
			return p.move(ctx)
		}
	}
}

// take handles one frame. It reports true when the attempt is over.
func (p *pump) take(ctx context.Context, frame *endpoint.Frame) (bool, outcome) {
	switch frame.Type {
	case endpoint.FrameTokens:
		err := p.deliver(ctx, frame)
		return err != nil, outcome{err: err}
	case endpoint.FrameDone:
		if frame.Offset != p.offset {
			return true, p.invalid(frame.Offset)
		}
		p.finish(frame)
		return true, outcome{whole: true}
	case endpoint.FrameError:
		return true, outcome{err: &EngineError{Message: frame.Error}}
	default:
		return false, outcome{}
	}
}

// deliver hands the tokens of a frame to the journal and the caller. A frame
// that repeats delivered tokens is dropped, a gap ends the attempt.
func (p *pump) deliver(ctx context.Context, frame *endpoint.Frame) error {
	if frame.Offset+frame.Count <= p.offset {
		return nil
	}
	if frame.Offset != p.offset {
		p.state.breaker.Failure(time.Now())
		return &OffsetError{Want: p.offset, Got: frame.Offset}
	}
	p.offset += frame.Count
	p.observe(frame.Count, time.Now())
	g := p.generation
	if behind := p.offset - g.journal.Tokens(); behind < frame.Count {
		// Only a restarted attempt repeats tokens that the caller has.
		return p.deliverRest(ctx, frame, behind)
	}
	return g.emit(ctx, frame.Count, frame.Text)
}

// emit appends tokens to the journal and sends them to the caller.
func (g *generation) emit(ctx context.Context, count int, text string) error {
	offset := g.journal.Tokens()
	g.journal.Append(count, text)
	g.service.metrics.tokens.Add(int64(count))
	g.observeCaller(time.Now())
	if g.sink == nil {
		return nil
	}
	if err := g.sink.Tokens(offset, count, text); err != nil {
		g.sink = nil
		if !g.req.Resumable {
			return &CallerGoneError{Err: err}
		}
	}
	return context.Cause(ctx)
}

// observeCaller measures what the caller sees.
func (g *generation) observeCaller(now time.Time) {
	if g.lastToken.IsZero() {
		g.service.metrics.firstToken.Record(now.Sub(g.req.Arrived))
	} else {
		g.service.metrics.betweenTokens.Record(now.Sub(g.lastToken))
	}
	g.lastToken = now
}

// deliverRest emits the part of a frame that the caller does not have yet. A
// restarted generation repeats its text, so that lengths can be compared.
func (p *pump) deliverRest(ctx context.Context, frame *endpoint.Frame, behind int) error {
	p.bytes += len(frame.Text)
	if behind <= 0 {
		return nil
	}
	extra := min(max(p.bytes-p.generation.journal.Bytes(), 0), len(frame.Text))
	return p.generation.emit(ctx, behind, frame.Text[len(frame.Text)-extra:])
}

// observe feeds the speed learner and the limiter.
func (p *pump) observe(count int, now time.Time) {
	p.flight.Tokens(count, now)
	inFlight := max(p.generation.service.router.InFlight(p.state.id), int(p.state.reported.Load()))
	if p.tokens == 0 {
		p.state.limiter.ObserveFirst(now.Sub(p.sentAt), inFlight, now)
	} else {
		p.gaps.sum += now.Sub(p.gaps.last)
		p.gaps.count += count
	}
	p.gaps.last = now
	p.tokens += count
	if p.gaps.count >= observedGaps {
		p.state.limiter.ObserveTokens(p.gaps.sum/time.Duration(p.gaps.count), p.gaps.count, inFlight, now)
		p.gaps.sum, p.gaps.count = 0, 0
	}
}

func (p *pump) finish(frame *endpoint.Frame) {
	g := p.generation
	g.result.FinishReason = frame.FinishReason
	g.result.Usage.PromptTokens = g.req.PromptTokens
	g.result.Usage.GeneratedTokens = g.journal.Tokens()
	if frame.Usage == nil {
		return
	}
	g.result.Usage.CachedTokens = min(frame.Usage.CachedTokens, g.req.PromptTokens)
	if g.result.Attempts > 1 {
		g.result.RecomputedTokens = max(0, g.result.RecomputedTokens-frame.Usage.CachedTokens)
	}
}

func (p *pump) invalid(offset int) outcome {
	p.state.breaker.Failure(time.Now())
	return outcome{err: &OffsetError{Want: p.offset, Got: offset}}
}

// broken classifies a stream that ended early.
func (p *pump) broken(ctx context.Context, err error) outcome {
	if isEnd(err) {
		return outcome{err: &EngineError{Message: "stream ended without its last frame"}}
	}
	if cause := context.Cause(ctx); cause != nil {
		return outcome{err: cause}
	}
	crashed := p.generation.service.noteFailure(p.state, err)
	leaving := p.isLeaving()
	if !crashed && !leaving {
		p.state.breaker.Failure(time.Now())
	}
	p.generation.avoid = append(p.generation.avoid, p.state.id)
	return outcome{err: err, reclaimed: leaving}
}

func (p *pump) isLeaving() bool {
	select {
	case <-p.state.leaving:
		return true
	default:
		return false
	}
}

const (
	// stayShare is the part of the notice within which a generation must be
	// expected to end for it to stay at a leaving endpoint.
	stayShare = 0.5
	// spreadShare is the part of the notice over which moves are spread, so
	// that the prefills of a wave do not reach the other endpoints at once.
	spreadShare = 0.25
	// maxSpread bounds the spread: longer adds nothing, and notices can be cut short.
	maxSpread = 2 * time.Second
	// unknownNotice is assumed where an endpoint leaves without a deadline.
	unknownNotice = 2 * time.Second
)

// movesNow reports whether the generation leaves its endpoint now. Generation
// goes on while a leaving endpoint still serves.
func (p *pump) movesNow(now time.Time) bool {
	if p.moveAt.IsZero() {
		if !p.isLeaving() || p.generation.service.options.Baseline.Restart {
			return false
		}
		p.moveAt = p.planMove(now)
	}
	return now.After(p.moveAt)
}

// planMove returns when to move. A generation that ends soon does not move before it must.
func (p *pump) planMove(now time.Time) time.Time {
	notice := p.state.noticeLeft(now)
	if p.remaining() < time.Duration(float64(notice)*stayShare) {
		return now.Add(time.Duration(float64(notice) * (stayShare + spreadShare)))
	}
	spread := min(time.Duration(float64(notice)*spreadShare), maxSpread)
	return now.Add(rand.N(spread + 1))
}

// remaining estimates the time to the end of the answer.
func (p *pump) remaining() time.Duration {
	g := p.generation
	expected := g.service.lengths.Expect(g.req.Workspace, g.req.Model, g.req.MaxTokens)
	left := max(expected-g.journal.Tokens(), 1)
	if p.tokens < 2 {
		return time.Duration(left) * time.Duration(g.doc.Ranks[max(g.req.RankIndex, 0)].PerTokenMS) * time.Millisecond
	}
	return time.Since(p.sentAt) / time.Duration(p.tokens) * time.Duration(left)
}

// move ends the attempt so that the next one resumes elsewhere.
func (p *pump) move(ctx context.Context) outcome {
	p.generation.avoid = append(p.generation.avoid, p.state.id)
	p.generation.exportKV(ctx, p)
	return outcome{err: &ReclaimedError{Endpoint: p.state.id}, reclaimed: true}
}
