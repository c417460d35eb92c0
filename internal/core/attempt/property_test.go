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

// engineRun is an attempt as the naive engine of the model sees it.
type engineRun struct {
	id, endpoint string
	// history is all text that the attempt works from and generated, and next its length in tokens.
	history string
	next    int
	// state of the attempt at the engine.
	sent, gone bool
}

// world is the naive model: engines, network and caller.
type world struct {
	t       *rapid.T
	m       *Machine
	sampled bool
	max     int
	runs    []*engineRun
	asked   bool
	// ran is set when an engine truly started an attempt.
	ran       bool
	delivered string
	offset    int
	finished  bool
	failed    *Action
	// frames sent earlier, which can arrive again.
	old []*endpoint.Frame
}

// token is the token that an attempt generates after a history. Its text
// depends on the whole history, so that a mixture of histories shows.
func (w *world) token(r *engineRun) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.history))
	if w.sampled {
		_, _ = h.Write([]byte(r.id))
	}
	return fmt.Sprintf("<%s:%d:%x>", map[bool]string{true: r.id}[w.sampled], r.next, h.Sum32())
}

// frame generates count tokens.
func (w *world) frame(r *engineRun, count int) *endpoint.Frame {
	frame := &endpoint.Frame{AttemptID: r.id, Type: endpoint.FrameTokens, Offset: r.next, Count: count}
	for range count {
		token := w.token(r)
		frame.Text += token
		r.history += token
		r.next++
	}
	return frame
}

// apply checks and carries out actions.
func (w *world) apply(actions []Action) {
	for _, a := range append([]Action(nil), actions...) {
		if w.finished || w.failed != nil {
			w.t.Fatalf("action after the end: %+v", a)
		}
		switch a.Kind {
		case Ask:
			if w.asked {
				w.t.Fatalf("asked twice")
			}
			w.asked = true
		case Send:
			w.runs = append(w.runs, &engineRun{id: a.Attempt, endpoint: a.Endpoint})
		case Deliver:
			w.deliver(a)
		case Cancel:
			w.run(a.Attempt).gone = true
		case Finish:
			w.finished = true
			if w.offset != w.max {
				w.t.Fatalf("finished after %d of %d tokens", w.offset, w.max)
			}
		case Fail:
			w.failed = &a
			if a.Run == endpoint.NotRun && w.ran {
				w.t.Fatalf("verdict not_run for a request that ran")
			}
		}
	}
}

// deliver checks that tokens come once, in order, and that each was generated
// after exactly the text delivered before it.
func (w *world) deliver(a Action) {
	if a.Offset != w.offset || a.Count <= 0 {
		w.t.Fatalf("tokens %d+%d delivered after %d", a.Offset, a.Count, w.offset)
	}
	for _, token := range strings.SplitAfter(a.Text, ">") {
		if token == "" {
			continue
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(token, "<"), ":")
		want := w.token(&engineRun{id: id, history: w.delivered, next: w.offset})
		if token != want {
			w.t.Fatalf("token %s delivered, want %s", token, want)
		}
		w.delivered += token
		w.offset++
	}
	if w.offset != a.Offset+a.Count {
		w.t.Fatalf("count of delivered tokens is wrong")
	}
}

func (w *world) run(id string) *engineRun {
	for _, r := range w.runs {
		if r.id == id {
			return r
		}
	}
	w.t.Fatalf("unknown attempt %s", id)
	return nil
}

// pick draws an attempt that satisfies a condition, or returns nil.
func (w *world) pick(t *rapid.T, condition func(*engineRun) bool) *engineRun {
	var found []*engineRun
	for _, r := range w.runs {
		if condition(r) {
			found = append(found, r)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return rapid.SampledFrom(found).Draw(t, "attempt")
}

func live(r *engineRun) bool   { return r.sent && !r.gone }
func unsent(r *engineRun) bool { return !r.sent && !r.gone }

func (w *world) grant(t *rapid.T) {
	if !w.asked {
		return
	}
	w.asked = false
	id := fmt.Sprint("a", len(w.runs))
	w.apply(w.m.Granted(id, rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "endpoint")))
}

// send starts an attempt, or the endpoint refuses it, or nothing of it leaves.
func (w *world) send(t *rapid.T, faults bool) {
	r := w.pick(t, unsent)
	if r == nil {
		return
	}
	emitted, offset, wanted := w.m.Sent(r.id)
	if !wanted {
		r.gone = true
		return
	}
	r.sent, r.history, r.next = true, emitted, offset
	outcome := 0
	if faults {
		outcome = rapid.IntRange(0, 7).Draw(t, "outcome")
	}
	r.gone = outcome >= 5
	switch outcome {
	case 5:
		w.apply(w.m.Refused(r.id, endpoint.NotRun, errLost))
	case 6:
		w.apply(w.m.Lost(r.id, false, errLost))
	case 7:
		w.ran = w.ran || rapid.Bool().Draw(t, "ran")
		w.apply(w.m.Refused(r.id, endpoint.RunUnknown, errLost))
	default:
		w.ran = true
	}
}

// step delivers the next frame of a live attempt.
func (w *world) step(t *rapid.T) {
	r := w.pick(t, live)
	if r == nil {
		return
	}
	if r.next >= w.max {
		r.gone = true
		w.apply(w.m.Frame(r.id, &endpoint.Frame{AttemptID: r.id, Type: endpoint.FrameDone, Offset: r.next, FinishReason: "length"}))
		return
	}
	frame := w.frame(r, rapid.IntRange(1, min(4, w.max-r.next)).Draw(t, "count"))
	w.old = append(w.old, frame)
	w.apply(w.m.Frame(r.id, frame))
}

// lose breaks the connection of an attempt.
func (w *world) lose(t *rapid.T) {
	if r := w.pick(t, live); r != nil {
		r.gone = true
		w.apply(w.m.Lost(r.id, true, errLost))
	}
}

func (w *world) notice(t *rapid.T) {
	w.apply(w.m.Notice(rapid.SampledFrom([]string{"A", "B", "C"}).Draw(t, "endpoint")))
}

// replay delivers an earlier frame again, on its own stream or another one.
func (w *world) replay(t *rapid.T) {
	if len(w.old) == 0 {
		return
	}
	frame := rapid.SampledFrom(w.old).Draw(t, "frame")
	w.apply(w.m.Frame(rapid.SampledFrom(w.runs).Draw(t, "stream").id, frame))
}

// gap leaves a frame out.
func (w *world) gap(t *rapid.T) {
	r := w.pick(t, live)
	if r == nil || r.next+2 > w.max {
		return
	}
	w.frame(r, 1)
	r.gone = true
	w.apply(w.m.Frame(r.id, w.frame(r, 1)))
}

func (w *world) errorFrame(t *rapid.T) {
	if r := w.pick(t, live); r != nil {
		r.gone = true
		w.apply(w.m.Frame(r.id, &endpoint.Frame{AttemptID: r.id, Type: endpoint.FrameError}))
	}
}

func (w *world) deny(t *rapid.T) {
	if w.asked && rapid.IntRange(0, 4).Draw(t, "luck") == 0 {
		w.asked = false
		w.apply(w.m.Denied(errors.New("budget")))
	}
}

func (w *world) abandon(t *rapid.T) {
	if rapid.IntRange(0, 20).Draw(t, "luck") == 0 {
		w.apply(w.m.Abandon(errors.New("caller left")))
	}
}

// late sends events to a machine that has ended; apply fails on any action.
func (w *world) late() {
	w.apply(w.m.Granted("late", "A"))
	w.apply(w.m.Notice("A"))
	for _, r := range w.runs {
		w.apply(w.m.Frame(r.id, tokens(r.id, r.next, 1)))
		w.apply(w.m.Lost(r.id, true, errLost))
	}
	w.apply(w.m.Abandon(errLost))
}

// Guards against any interleaving of attempts, losses, notices and wrong
// frames in which the caller gets a token twice, out of order or from a mixed
// history, an answer that is not whole, or a false not_run.
func TestAnyInterleavingGivesTheRightAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, sampled: rapid.Bool().Draw(t, "sampled"), max: rapid.IntRange(1, 30).Draw(t, "max")}
		known := w.sampled && rapid.Bool().Draw(t, "known")
		w.m = New(Config{MaxTokens: w.max, PromptTokens: 3, Sampled: known})
		w.apply(w.m.Begin())
		events := map[string]func(t *rapid.T){
			"grant": w.grant, "send": func(t *rapid.T) { w.send(t, true) }, "step": w.step, "lose": w.lose, "notice": w.notice,
			"replay": w.replay, "gap": w.gap, "error": w.errorFrame, "deny": w.deny, "abandon": w.abandon,
		}
		// Events that make progress come more often than faults.
		names := []string{
			"grant", "grant", "grant", "send", "send", "send", "step", "step", "step", "step", "step", "step",
			"lose", "notice", "notice", "replay", "replay", "gap", "error", "deny", "abandon",
		}
		for range rapid.IntRange(0, 150).Draw(t, "events") {
			if w.finished || w.failed != nil {
				break
			}
			events[rapid.SampledFrom(names).Draw(t, "event")](t)
		}
		w.settle(t)
		w.late()
	})
}

// settle ends all faults; the request must then end by itself.
func (w *world) settle(t *rapid.T) {
	for range 20 * (w.max + 5) {
		if w.finished || w.failed != nil {
			break
		}
		switch {
		case w.asked:
			w.grant(t)
		case w.has(unsent):
			w.send(t, false)
		case w.has(live):
			w.step(t)
		default:
			t.Fatalf("nothing runs and nothing is asked for")
		}
	}
	g := NewWithT(t)
	g.Expect(w.finished || w.failed != nil).To(BeTrue(), "the request does not end")
	g.Expect(w.m.Ended()).To(BeTrue())
	g.Expect(w.m.Emitted()).To(Equal(w.delivered))
}

func (w *world) has(condition func(*engineRun) bool) bool {
	for _, r := range w.runs {
		if condition(r) {
			return true
		}
	}
	return false
}
