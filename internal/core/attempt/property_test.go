package attempt

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/api/endpoint"
)

// engineAttempt is the state of an attempt at the simulated engine.
type engineAttempt struct {
	id, endpoint string
	// history is the text that the attempt continued from and has generated, and
	// next is its length in tokens.
	history string
	next    int
	// sent and ended are the state of the attempt at the engine.
	sent, ended bool
}

// simulation simulates the engines, the network and the caller.
type simulation struct {
	t          *rapid.T
	machine    *Machine
	sampled    bool
	maxTokens  int
	attempts   []*engineAttempt
	askPending bool
	// ran is set when an engine has actually started an attempt.
	ran       bool
	delivered string
	offset    int
	finished  bool
	failed    *Action
	// sentFrames are the frames sent so far, which may be received again.
	sentFrames []*endpoint.Frame
}

// nextToken returns the token that an attempt generates after its history. Its
// text depends on the whole history, so that mixed histories are detected.
func (s *simulation) nextToken(r *engineAttempt) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.history))
	if s.sampled {
		_, _ = h.Write([]byte(r.id))
	}
	return fmt.Sprintf("<%s:%d:%x>", map[bool]string{true: r.id}[s.sampled], r.next, h.Sum32())
}

// generateFrame generates count tokens.
func (s *simulation) generateFrame(r *engineAttempt, count int) *endpoint.Frame {
	frame := &endpoint.Frame{AttemptID: r.id, Type: endpoint.FrameTokens, Offset: r.next, Count: count}
	for range count {
		token := s.nextToken(r)
		frame.Text += token
		r.history += token
		r.next++
	}
	return frame
}

// apply checks and performs actions.
func (s *simulation) apply(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		if s.finished || s.failed != nil {
			s.t.Fatalf("action after the request has ended: %+v", a)
		}
		switch a.Kind {
		case Ask:
			if s.askPending {
				s.t.Fatalf("second attempt requested before the first request was answered")
			}
			s.askPending = true
		case Send:
			s.attempts = append(s.attempts, &engineAttempt{id: a.Attempt, endpoint: a.Endpoint})
		case Deliver:
			s.deliver(a)
		case Cancel:
			s.find(a.Attempt).ended = true
		case Finish:
			s.finished = true
			if s.offset != s.maxTokens {
				s.t.Fatalf("finished after %d of %d tokens", s.offset, s.maxTokens)
			}
		case Fail:
			s.failed = &a
			if a.Run == endpoint.NotRun && s.ran {
				s.t.Fatalf("not_run reported for a request that has run")
			}
		}
	}
}

// deliver checks that tokens are delivered once and in order, and that each was
// generated after exactly the text delivered before it.
func (s *simulation) deliver(a Action) {
	if a.Offset != s.offset || a.Count <= 0 {
		s.t.Fatalf("tokens %d+%d delivered after %d", a.Offset, a.Count, s.offset)
	}
	for _, token := range strings.SplitAfter(a.Text, ">") {
		if token == "" {
			continue
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(token, "<"), ":")
		want := s.nextToken(&engineAttempt{id: id, history: s.delivered, next: s.offset})
		if token != want {
			s.t.Fatalf("token %s delivered, want %s", token, want)
		}
		s.delivered += token
		s.offset++
	}
	if s.offset != a.Offset+a.Count {
		s.t.Fatalf("count of delivered tokens is wrong")
	}
}

func (s *simulation) find(id string) *engineAttempt {
	for _, r := range s.attempts {
		if r.id == id {
			return r
		}
	}
	s.t.Fatalf("unknown attempt %s", id)
	return nil
}

// drawAttempt draws an attempt that satisfies a condition, or returns nil.
func (s *simulation) drawAttempt(t *rapid.T, condition func(*engineAttempt) bool) *engineAttempt {
	var found []*engineAttempt
	for _, r := range s.attempts {
		if condition(r) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return rapid.SampledFrom(found).Draw(t, "attempt")
}

func isLive(r *engineAttempt) bool   { return r.sent && !r.ended }
func isUnsent(r *engineAttempt) bool { return !r.sent && !r.ended }

// isRunning reports whether an attempt runs or is granted.
func (s *simulation) isRunning(r *engineAttempt) bool {
	return !r.ended && s.machine.Running(r.id)
}

func (s *simulation) grantAttempt(t *rapid.T) {
	if !s.askPending {
		return
	}
	s.askPending = false
	id := fmt.Sprint("a", len(s.attempts))
	s.apply(s.machine.Granted(id, rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "endpoint")))
}

// sendAttempt starts an attempt. With faults, the endpoint may refuse it or the
// connection may fail before a byte is sent.
func (s *simulation) sendAttempt(t *rapid.T, faults bool) {
	r := s.drawAttempt(t, isUnsent)
	if r == nil {
		return
	}
	emitted, offset, wanted := s.machine.Sent(r.id)
	if !wanted {
		r.ended = true
		return
	}
	r.sent, r.history, r.next = true, emitted, offset
	outcome := 0
	if faults {
		outcome = rapid.IntRange(0, 7).Draw(t, "outcome")
	}
	r.ended = outcome >= 5
	switch outcome {
	case 5:
		s.apply(s.machine.Refused(r.id, endpoint.NotRun, errLost))
	case 6:
		s.apply(s.machine.Lost(r.id, false, errLost))
	case 7:
		s.ran = s.ran || rapid.Bool().Draw(t, "ran")
		s.apply(s.machine.Refused(r.id, endpoint.RunUnknown, errLost))
	default:
		s.ran = true
	}
}

// deliverFrame delivers the next frame of a live attempt.
func (s *simulation) deliverFrame(t *rapid.T) {
	r := s.drawAttempt(t, isLive)
	if r == nil {
		return
	}
	if r.next >= s.maxTokens {
		r.ended = true
		s.apply(s.machine.Frame(r.id, &endpoint.Frame{AttemptID: r.id, Type: endpoint.FrameDone, Offset: r.next, FinishReason: "length"}))
		return
	}
	frame := s.generateFrame(r, rapid.IntRange(1, min(4, s.maxTokens-r.next)).Draw(t, "count"))
	s.sentFrames = append(s.sentFrames, frame)
	s.apply(s.machine.Frame(r.id, frame))
}

// loseConnection ends the connection of an attempt.
func (s *simulation) loseConnection(t *rapid.T) {
	if r := s.drawAttempt(t, isLive); r != nil {
		r.ended = true
		s.apply(s.machine.Lost(r.id, true, errLost))
	}
}

// notice announces that an endpoint leaves. A notice must not end the last
// attempt that runs or is granted, since its replacement may be denied.
func (s *simulation) notice(t *rapid.T) {
	running := s.hasAttempt(s.isRunning)
	defer func() {
		if running && !s.hasAttempt(s.isRunning) {
			s.t.Fatalf("a notice ended the last attempt")
		}
	}()
	s.apply(s.machine.Notice(rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "endpoint")))
}

// silence reports that an attempt makes no progress. It must not end an attempt
// before the answer is complete.
func (s *simulation) silence(t *rapid.T) {
	if r := s.drawAttempt(t, isLive); r != nil {
		running := s.machine.Running(r.id)
		s.apply(s.machine.Silent(r.id, errLost))
		if running && !s.machine.Running(r.id) && !s.finished {
			s.t.Fatalf("silence ended an attempt")
		}
	}
}

// replayFrame delivers an earlier frame again, on its own or another stream.
func (s *simulation) replayFrame(t *rapid.T) {
	if len(s.sentFrames) == 0 {
		return
	}
	frame := rapid.SampledFrom(s.sentFrames).Draw(t, "frame")
	s.apply(s.machine.Frame(rapid.SampledFrom(s.attempts).Draw(t, "stream").id, frame))
}

// skipFrame drops one frame of an attempt and delivers the next one.
func (s *simulation) skipFrame(t *rapid.T) {
	r := s.drawAttempt(t, isLive)
	if r == nil || r.next+2 > s.maxTokens {
		return
	}
	s.generateFrame(r, 1)
	r.ended = true
	s.apply(s.machine.Frame(r.id, s.generateFrame(r, 1)))
}

func (s *simulation) errorFrame(t *rapid.T) {
	if r := s.drawAttempt(t, isLive); r != nil {
		r.ended = true
		s.apply(s.machine.Frame(r.id, &endpoint.Frame{AttemptID: r.id, Type: endpoint.FrameError}))
	}
}

func (s *simulation) denyAttempt(t *rapid.T) {
	if s.askPending && rapid.IntRange(0, 4).Draw(t, "luck") == 0 {
		s.askPending = false
		s.apply(s.machine.Denied(errors.New("budget")))
	}
}

func (s *simulation) abandon(t *rapid.T) {
	if rapid.IntRange(0, 20).Draw(t, "luck") == 0 {
		s.apply(s.machine.Abandon(errors.New("caller left")))
	}
}

// sendLateEvents sends events to a machine that has ended. Any action that the
// machine returns fails the test.
func (s *simulation) sendLateEvents() {
	s.apply(s.machine.Granted("late", "A"))
	s.apply(s.machine.Notice("A"))
	for _, r := range s.attempts {
		s.apply(s.machine.Frame(r.id, tokensFrame(r.id, r.next, 1)))
		s.apply(s.machine.Lost(r.id, true, errLost))
	}
	s.apply(s.machine.Abandon(errLost))
}

// Guards against any interleaving of attempts, losses, notices and invalid frames
// after which the caller gets a token twice, out of order or from a mixed
// history, an incomplete answer, or a wrong not_run.
func TestAnyInterleavingGivesTheRightAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, sampled: rapid.Bool().Draw(t, "sampled"), maxTokens: rapid.IntRange(1, 30).Draw(t, "max")}
		known := s.sampled && rapid.Bool().Draw(t, "known")
		s.machine = New(Config{MaxTokens: s.maxTokens, PromptTokens: 3, Sampled: known})
		s.apply(s.machine.Begin())
		events := map[string]func(t *rapid.T){
			"grant": s.grantAttempt, "send": func(t *rapid.T) { s.sendAttempt(t, true) }, "step": s.deliverFrame, "lose": s.loseConnection, "notice": s.notice, "silence": s.silence,
			"replay": s.replayFrame, "gap": s.skipFrame, "error": s.errorFrame, "deny": s.denyAttempt, "abandon": s.abandon,
		}
		// Events that make progress are drawn more often than faults.
		names := []string{
			"grant", "grant", "grant", "send", "send", "send", "step", "step", "step", "step", "step", "step",
			"lose", "notice", "notice", "silence", "silence", "replay", "replay", "gap", "error", "deny", "abandon",
		}
		for range rapid.IntRange(0, 150).Draw(t, "events") {
			if s.finished || s.failed != nil {
				break
			}
			events[rapid.SampledFrom(names).Draw(t, "event")](t)
		}
		s.runWithoutFaults(t)
		s.sendLateEvents()
	})
}

// runWithoutFaults continues the simulation without faults. The request must then
// end by itself.
func (s *simulation) runWithoutFaults(t *rapid.T) {
	for range 20 * (s.maxTokens + 5) {
		if s.finished || s.failed != nil {
			break
		}
		switch {
		case s.askPending:
			s.grantAttempt(t)
		case s.hasAttempt(isUnsent):
			s.sendAttempt(t, false)
		case s.hasAttempt(isLive):
			s.deliverFrame(t)
		default:
			t.Fatalf("no attempt runs and none is requested")
		}
	}
	g := NewWithT(t)
	g.Expect(s.finished || s.failed != nil).To(BeTrue(), "the request did not end")
	g.Expect(s.machine.Ended()).To(BeTrue())
	g.Expect(s.machine.Emitted()).To(Equal(s.delivered))
}

func (s *simulation) hasAttempt(condition func(*engineAttempt) bool) bool {
	for _, r := range s.attempts {
		if condition(r) {
			return true
		}
	}
	return false
}
