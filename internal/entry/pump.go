package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/attempt"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/core/route"
	"github.com/boragelead/boragelead/internal/port"
)

// pump carries out one attempt: it sends the request and passes the frames to
// the machine.
type pump struct {
	generation *generation
	state      *endpointState
	id         string
	flight     *route.Flight
	sentAt     time.Time
	tokens     int
	gaps       gapMeter
	restart    restart
	// moveAt is when the request moves away from a leaving endpoint; zero before its notice.
	moveAt  time.Time
	noticed bool
	whole   bool
}

// gapMeter collects the time between tokens for the limiter.
type gapMeter struct {
	last  time.Time
	sum   time.Duration
	count int
}

// observedGaps is the number of tokens after which the limiter is told.
const observedGaps = 16

// grant tells the machine where the attempt goes. It returns the running
// attempt that a KV cache can come from, if there is one.
func (p *pump) grant(cancel context.CancelFunc) (*kvSource, bool) {
	g := p.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	var source *kvSource
	wanted := false
	for _, action := range g.machine.Granted(p.id, p.state.id) {
		wanted = wanted || action.Kind == attempt.Send
		if action.Source != "" {
			source = &kvSource{attempt: action.Source, endpoint: action.SourceEndpoint}
		}
	}
	g.cancels[p.id] = cancel
	return source, wanted
}

// request builds the request of the attempt, to resume after what was delivered.
func (p *pump) request(ctx context.Context, source *kvSource) (*endpoint.GenerateRequest, bool) {
	g := p.generation
	req := &endpoint.GenerateRequest{
		AttemptID:   p.id,
		RequestID:   g.req.ID,
		Model:       g.req.Model,
		Version:     g.req.Version,
		Adapter:     g.req.Adapter,
		Prompt:      g.req.Prompt,
		MaxTokens:   g.req.MaxTokens,
		Priority:    g.req.RankIndex,
		KVHandle:    g.transferKV(ctx, source, p.state),
		Stop:        g.req.Stop,
		Temperature: g.req.Temperature,
		TopP:        g.req.TopP,
		Seed:        g.req.Seed,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	emitted, offset, wanted := g.machine.Sent(p.id)
	if g.service.options.Baseline.Restart {
		p.restart = restart{bytes: len(emitted), tokens: offset}
		return req, wanted
	}
	req.Emitted, req.EmittedTokens = emitted, offset
	return req, wanted
}

// run sends the attempt and reads its frames. The error is nil for a whole answer.
func (p *pump) run(ctx context.Context, req *endpoint.GenerateRequest) error {
	stream, err := p.generation.service.options.Engine.Generate(ctx, p.state.baseURL, req)
	if err != nil {
		p.lost(err)
		return err
	}
	defer stream.Close()
	if idle, ok := stream.(port.IdleStream); ok {
		idle.SetIdle(time.Duration(p.generation.doc.Limits.SilentStreamMS) * time.Millisecond)
	}
	buffered, _ := stream.(port.BufferedStream)
	var frame endpoint.Frame
	for {
		if err := stream.Next(&frame); err != nil {
			if errors.Is(err, io.EOF) && p.whole {
				return nil
			}
			p.lost(err)
			return err
		}
		p.take(&frame)
		if buffered == nil || !buffered.Pending() {
			p.generation.flush()
		}
		if p.movesNow(time.Now()) {
			p.notice()
		}
	}
}

// take passes one frame to the machine.
func (p *pump) take(frame *endpoint.Frame) {
	g := p.generation
	if frame.Type == endpoint.FrameTokens && frame.AttemptID == p.id {
		if !p.restart.skip(frame) {
			return
		}
		p.observe(frame.Count, time.Now())
	}
	if frame.Type == endpoint.FrameDone && frame.AttemptID == p.id {
		p.whole = true
	}
	g.event(func() []attempt.Action {
		actions := g.machine.Frame(p.id, frame)
		if !p.whole && !g.machine.Ended() && !g.machine.Running(p.id) {
			// The machine gave the attempt up because of what the endpoint sent.
			g.avoid = append(g.avoid, p.state.id)
			p.state.breaker.Failure(time.Now())
		}
		return actions
	})
}

// lost tells the machine that the attempt ended early, after the endpoint was
// looked at: a crash marks the requests that ran there before one is retried.
func (p *pump) lost(err error) {
	g := p.generation
	cause := err
	if g.ctx.Err() == nil && !p.cancelled() {
		cause = p.blame(err)
	}
	g.event(func() []attempt.Action {
		if refusal, ok := refused(err); ok {
			return g.machine.Refused(p.id, refusal.Body.Run, cause)
		}
		var transport *port.TransportError
		sent := !errors.As(err, &transport) || transport.Sent
		return g.machine.Lost(p.id, sent, cause)
	})
}

// cancelled reports whether the machine no longer wants the attempt.
func (p *pump) cancelled() bool {
	g := p.generation
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Ended() || !g.machine.Running(p.id)
}

// blame records what the failure says about the endpoint, and returns the
// cause of the end of the attempt.
func (p *pump) blame(err error) error {
	p.generation.avoidEndpoint(p.state.id)
	crashed := p.generation.service.noteFailure(p.state, err)
	if p.isLeaving() || isLeavingRefusal(err) {
		return &ReclaimedError{Endpoint: p.state.id, Err: err}
	}
	if crashed || isSilent(err) {
		return &LostError{Endpoint: p.state.id, Err: err}
	}
	if _, refusal := refused(err); !refusal {
		p.state.breaker.Failure(time.Now())
	}
	return err
}

func isSilent(err error) bool {
	var transport *port.TransportError
	return errors.As(err, &transport) && transport.Silent
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

func (p *pump) isLeaving() bool { return p.state.isLeaving() }

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

// movesNow reports whether the move away from a leaving endpoint begins now.
func (p *pump) movesNow(now time.Time) bool {
	if p.noticed || !p.isLeaving() || p.generation.service.options.Baseline.Restart {
		return false
	}
	if p.moveAt.IsZero() {
		p.moveAt = p.planMove(now)
	}
	return now.After(p.moveAt)
}

// planMove returns when to move. A generation that is about to end moves only when it must.
func (p *pump) planMove(now time.Time) time.Time {
	notice := p.state.noticeLeft(now)
	if p.remaining() < time.Duration(float64(notice)*stayShare) {
		return now.Add(time.Duration(float64(notice) * (stayShare + spreadShare)))
	}
	spread := min(time.Duration(float64(notice)*spreadShare), maxSpread)
	return now.Add(rand.N(spread + 1))
}

// notice makes the machine move the request. The attempt goes on meanwhile.
func (p *pump) notice() {
	p.noticed = true
	g := p.generation
	g.avoidEndpoint(p.state.id)
	g.event(func() []attempt.Action { return g.machine.Notice(p.state.id) })
}

// remaining estimates the time to the end of the answer.
func (p *pump) remaining() time.Duration {
	g := p.generation
	expected := g.service.lengths.Expect(g.req.Workspace, g.req.Model, g.req.MaxTokens)
	left := max(expected-g.journal.Tokens(), 1)
	if p.tokens < 2 {
		return time.Duration(left*g.rank().PerTokenMS) * time.Millisecond
	}
	return time.Since(p.sentAt) / time.Duration(p.tokens) * time.Duration(left)
}

// rank returns the configuration of the request's rank.
func (g *generation) rank() conf.Rank {
	if g.req.RankIndex < 0 || g.req.RankIndex >= len(g.doc.Ranks) {
		return conf.Rank{}
	}
	return g.doc.Ranks[g.req.RankIndex]
}

// restart drops what a restarted generation repeats. A restarted generation
// begins with the same text, so that lengths can be compared.
type restart struct {
	bytes, tokens int
}

// skip cuts a frame down to what the caller does not have, and reports whether anything is left.
func (r *restart) skip(frame *endpoint.Frame) bool {
	if r.tokens == 0 {
		return true
	}
	if frame.Offset+frame.Count <= r.tokens {
		r.bytes -= len(frame.Text)
		return false
	}
	repeated := r.tokens - frame.Offset
	frame.Offset = r.tokens
	frame.Count -= repeated
	frame.Text = frame.Text[min(max(r.bytes, 0), len(frame.Text)):]
	r.tokens, r.bytes = 0, 0
	return true
}
