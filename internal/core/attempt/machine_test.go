package attempt

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
)

var errLost = errors.New("lost")

// tokensFrame returns a frame of an attempt with the tokens of the answer "0.1.2....".
func tokensFrame(id string, from, count int) *endpoint.Frame {
	frame := &endpoint.Frame{AttemptID: id, Type: endpoint.FrameTokens, Offset: from, Count: count}
	for i := from; i < from+count; i++ {
		frame.Text += fmt.Sprintf("%d.", i)
	}
	return frame
}

func doneFrame(id string, offset int) *endpoint.Frame {
	return &endpoint.Frame{AttemptID: id, Type: endpoint.FrameDone, Offset: offset, FinishReason: "length"}
}

// newSentMachine returns a machine whose attempt "a" at endpoint "A" was sent.
func newSentMachine(config Config) *Machine {
	m := New(config)
	m.Begin()
	m.Granted("a", "A")
	m.Sent("a")
	return m
}

// kinds returns the kinds of actions.
func kinds(actions []Action) []Kind {
	list := []Kind{}
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

// Guards against hand-overs that stop the old attempt before the new one
// generates, that deliver tokens twice, or in which both attempts generate the
// same tokens for a long time.
func TestHandoverEndsTheOldAttemptAtTheFirstToken(t *testing.T) {
	g := NewWithT(t)
	m := newSentMachine(Config{MaxTokens: 20, PromptTokens: 7})
	m.Frame("a", tokensFrame("a", 0, 4))
	g.Expect(m.Notice("A")).To(ConsistOf(And(HaveField("Kind", Ask), HaveField("Reason", Handover), HaveField("Offset", 4))))
	g.Expect(m.Granted("b", "B")).To(ConsistOf(And(HaveField("Kind", Send), HaveField("Source", "a"), HaveField("SourceEndpoint", "A"))))
	emitted, offset, wanted := m.Sent("b")
	g.Expect(wanted).To(BeTrue())
	g.Expect(emitted).To(Equal("0.1.2.3."))
	g.Expect(offset).To(Equal(4))
	g.Expect(kinds(m.Frame("a", tokensFrame("a", 4, 3)))).To(Equal([]Kind{Deliver}))
	g.Expect(m.Frame("b", tokensFrame("b", 4, 2))).To(ConsistOf(And(HaveField("Kind", Cancel), HaveField("Attempt", "a"))))
	actions := m.Frame("b", tokensFrame("b", 6, 3))
	g.Expect(kinds(actions)).To(Equal([]Kind{Deliver}))
	g.Expect(actions[0]).To(And(HaveField("Offset", 7), HaveField("Count", 2), HaveField("Text", "7.8.")))
	g.Expect(m.Frame("a", tokensFrame("a", 7, 1))).To(BeEmpty())
	g.Expect(m.Stats()).To(Equal(Stats{Attempts: 2, RecomputedTokens: 11, Dropped: 1, Takeovers: 1}))
}

// Guards against answers with mixed tokens of two attempts that generate
// different tokens, and against tokens lost when such a hand-over fails.
func TestHandoverOfSampledAnswerHoldsTokensBack(t *testing.T) {
	g := NewWithT(t)
	m := newSentMachine(Config{MaxTokens: 20, Sampled: true})
	m.Frame("a", tokensFrame("a", 0, 4))
	m.Notice("A")
	m.Granted("b", "B")
	m.Sent("b")
	g.Expect(m.Frame("a", tokensFrame("a", 4, 3))).To(BeEmpty())
	actions := m.Lost("b", true, errLost)
	g.Expect(kinds(actions)).To(Equal([]Kind{Deliver, Ask}))
	g.Expect(actions[0].Text).To(Equal("4.5.6."))
	m.Granted("c", "C")
	m.Sent("c")
	g.Expect(m.Frame("a", tokensFrame("a", 7, 3))).To(BeEmpty())
	other := tokensFrame("c", 7, 1)
	other.Text = "other"
	actions = m.Frame("c", other)
	g.Expect(kinds(actions)).To(Equal([]Kind{Cancel, Deliver}))
	g.Expect(m.Emitted()).To(Equal("0.1.2.3.4.5.6.other"))
}

// Guards against successors that take over although they generate other tokens,
// or whose removal also ends the running attempt.
func TestDivergingSuccessorIsDropped(t *testing.T) {
	g := NewWithT(t)
	m := newSentMachine(Config{MaxTokens: 20})
	m.Frame("a", tokensFrame("a", 0, 4))
	m.Notice("A")
	m.Granted("b", "B")
	m.Sent("b")
	m.Frame("a", tokensFrame("a", 4, 2))
	other := tokensFrame("b", 4, 1)
	other.Text = "other"
	g.Expect(kinds(m.Frame("b", other))).To(Equal([]Kind{Cancel, Ask}))
	g.Expect(m.Denied(errLost)).To(BeEmpty())
	m.Frame("a", tokensFrame("a", 6, 14))
	g.Expect(kinds(m.Frame("a", doneFrame("a", 20)))).To(Equal([]Kind{Finish}))
}

// Guards against a reported state not_run after an attempt that may have run.
func TestRunStateOfFailedRequest(t *testing.T) {
	refused := func(state endpoint.RunState) func(*Machine) {
		return func(m *Machine) { m.Refused("a", state, errLost) }
	}
	errorFrame := func(m *Machine) {
		m.Frame("a", &endpoint.Frame{AttemptID: "a", Type: endpoint.FrameError, Run: endpoint.NotRun})
	}
	cases := map[string]struct {
		event func(*Machine)
		want  endpoint.RunState
	}{
		"refused before running":         {refused(endpoint.NotRun), endpoint.NotRun},
		"refused without proof":          {refused(endpoint.RunUnknown), endpoint.RunUnknown},
		"no byte was sent":               {func(m *Machine) { m.Lost("a", false, errLost) }, endpoint.NotRun},
		"a byte was sent":                {func(m *Machine) { m.Lost("a", true, errLost) }, endpoint.RunUnknown},
		"dropped from the queue":         {errorFrame, endpoint.NotRun},
		"not_run claimed after a token":  {func(m *Machine) { m.Frame("a", tokensFrame("a", 0, 1)); errorFrame(m) }, endpoint.RunUnknown},
		"caller disconnected":            {func(*Machine) {}, endpoint.RunUnknown},
		"invalid frame":                  {func(m *Machine) { m.Frame("a", tokensFrame("a", 3, 1)) }, endpoint.RunUnknown},
		"second attempt was never sent":  {func(m *Machine) { refused(endpoint.NotRun)(m); m.Granted("b", "B") }, endpoint.NotRun},
		"only the second is not run":     {func(m *Machine) { refused(endpoint.RunUnknown)(m); m.Granted("b", "B"); m.Lost("b", false, errLost) }, endpoint.RunUnknown},
		"handed over from another entry": {func(m *Machine) { *m = *New(Config{MaxTokens: 5}); m.Restore("0.", 1) }, endpoint.RunUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newSentMachine(Config{MaxTokens: 5})
			c.event(m)
			actions := m.Abandon(errLost)
			last := actions[len(actions)-1]
			NewWithT(t).Expect(last).To(And(HaveField("Kind", Fail), HaveField("Run", c.want)))
		})
	}
}

// newRegeneratingMachine returns a machine whose primary is lost while its
// successor "b" at endpoint "B" still regenerates delivered tokens.
func newRegeneratingMachine() *Machine {
	m := newSentMachine(Config{MaxTokens: 9})
	m.Frame("a", tokensFrame("a", 0, 2))
	m.Notice("A")
	m.Granted("b", "B")
	m.Sent("b")
	m.Frame("a", tokensFrame("a", 2, 3))
	m.Lost("a", true, errLost)
	return m
}

// Guards against a request that fails although an attempt could complete it: the
// only running attempt was cancelled because its endpoint leaves, before another
// attempt was granted.
func TestLastAttemptContinuesWhileItsReplacementIsUncertain(t *testing.T) {
	t.Run("denied", func(t *testing.T) {
		g := NewWithT(t)
		m := newRegeneratingMachine()
		g.Expect(m.Notice("B")).To(ConsistOf(And(HaveField("Kind", Ask), HaveField("Reason", Handover))))
		g.Expect(m.Denied(errLost)).To(BeEmpty())
		g.Expect(kinds(m.Frame("b", tokensFrame("b", 2, 7)))).To(Equal([]Kind{Deliver}))
		g.Expect(kinds(m.Frame("b", doneFrame("b", 9)))).To(Equal([]Kind{Finish}))
	})
	t.Run("granted", func(t *testing.T) {
		g := NewWithT(t)
		m := newRegeneratingMachine()
		m.Notice("B")
		actions := m.Granted("c", "C")
		g.Expect(kinds(actions)).To(Equal([]Kind{Cancel, Send}))
		g.Expect(actions[0]).To(HaveField("Attempt", "b"))
		emitted, offset, wanted := m.Sent("c")
		g.Expect(wanted).To(BeTrue())
		g.Expect(emitted).To(Equal("0.1.2.3.4."))
		g.Expect(offset).To(Equal(5))
		g.Expect(kinds(m.Frame("c", tokensFrame("c", 5, 4)))).To(Equal([]Kind{Deliver}))
	})
	t.Run("lost before the answer", func(t *testing.T) {
		g := NewWithT(t)
		m := newRegeneratingMachine()
		m.Notice("B")
		g.Expect(m.Lost("b", true, errLost)).To(BeEmpty())
		g.Expect(kinds(m.Granted("c", "C"))).To(Equal([]Kind{Send}))
	})
	t.Run("caught up before the answer", func(t *testing.T) {
		g := NewWithT(t)
		m := newRegeneratingMachine()
		m.Notice("B")
		m.Frame("b", tokensFrame("b", 2, 4))
		g.Expect(m.Granted("c", "C")).To(ConsistOf(And(HaveField("Kind", Send), HaveField("Source", "b"))))
		g.Expect(m.Running("b")).To(BeTrue())
	})
}

// Guards against a silent attempt that is ended before another one is granted, and
// against a needless attempt after the silent one has gone on.
func TestSilentAttemptContinues(t *testing.T) {
	newSilentMachine := func(g *WithT) *Machine {
		m := newSentMachine(Config{MaxTokens: 9})
		m.Frame("a", tokensFrame("a", 0, 2))
		g.Expect(m.Silent("a", errLost)).To(ConsistOf(And(HaveField("Kind", Ask), HaveField("Reason", Resume), HaveField("Cause", errLost))))
		g.Expect(m.Silent("a", errLost)).To(BeEmpty())
		return m
	}
	t.Run("denied", func(t *testing.T) {
		g := NewWithT(t)
		m := newSilentMachine(g)
		g.Expect(m.Denied(errLost)).To(BeEmpty())
		g.Expect(kinds(m.Frame("a", tokensFrame("a", 2, 7)))).To(Equal([]Kind{Deliver}))
	})
	t.Run("granted", func(t *testing.T) {
		g := NewWithT(t)
		m := newSilentMachine(g)
		g.Expect(m.Granted("b", "B")).To(ConsistOf(And(HaveField("Kind", Send), HaveField("Source", ""))))
		m.Sent("b")
		g.Expect(m.Running("a")).To(BeTrue())
		g.Expect(kinds(m.Frame("b", tokensFrame("b", 2, 1)))).To(Equal([]Kind{Cancel, Deliver}))
	})
	t.Run("gone on", func(t *testing.T) {
		g := NewWithT(t)
		m := newSilentMachine(g)
		m.Frame("a", tokensFrame("a", 2, 1))
		g.Expect(m.Granted("b", "B")).To(BeEmpty())
		g.Expect(m.Running("b")).To(BeFalse())
	})
	t.Run("gone on, then leaving", func(t *testing.T) {
		g := NewWithT(t)
		m := newSilentMachine(g)
		m.Frame("a", tokensFrame("a", 2, 1))
		m.Notice("A")
		g.Expect(kinds(m.Granted("b", "B"))).To(Equal([]Kind{Send}))
	})
	t.Run("silent replacement", func(t *testing.T) {
		g := NewWithT(t)
		m := newSilentMachine(g)
		m.Granted("b", "B")
		m.Sent("b")
		g.Expect(kinds(m.Silent("b", errLost))).To(Equal([]Kind{Ask}))
		actions := m.Granted("c", "C")
		g.Expect(kinds(actions)).To(Equal([]Kind{Cancel, Send}))
		g.Expect(actions[0]).To(HaveField("Attempt", "b"))
		g.Expect(m.Running("a")).To(BeTrue())
	})
}

// Guards against an unnecessary attempt after all tokens were delivered and only
// the done frame was lost.
func TestLostLastFrameNeedsNoAttempt(t *testing.T) {
	g := NewWithT(t)
	m := newSentMachine(Config{MaxTokens: 5})
	m.Frame("a", tokensFrame("a", 0, 5))
	g.Expect(m.Lost("a", true, errLost)).To(ConsistOf(And(HaveField("Kind", Finish), HaveField("FinishReason", "length"))))
}

// Guards against transfers that end too late or take longer than a prefill.
func TestChooseKV(t *testing.T) {
	g := NewWithT(t)
	cost := KVCost{
		Tokens: 8000, PrefillTokensPerSecond: 8000, Bytes: 800e6, TransferBytesPerSecond: 2e9, Remaining: 5 * time.Second,
	}
	g.Expect(ChooseKV(cost)).To(Equal(KVChoice{Transfer: true, TransferTime: 420 * time.Millisecond, Recompute: time.Second}))
	for name, change := range map[string]func(*KVCost){
		"too late":           func(c *KVCost) { c.Remaining = 500 * time.Millisecond },
		"source has stopped": func(c *KVCost) { c.Remaining = 0 },
		"prefix cached":      func(c *KVCost) { c.CachedTokens = 7000 },
		"slow network":       func(c *KVCost) { c.TransferBytesPerSecond = 5e8 },
		"unknown speed":      func(c *KVCost) { c.TransferBytesPerSecond = 0 },
		"short prompt":       func(c *KVCost) { c.Tokens, c.Bytes = 80, 8e6 },
	} {
		changed := cost
		change(&changed)
		g.Expect(ChooseKV(changed).Transfer).To(BeFalse(), name)
	}
}

func BenchmarkFrame(b *testing.B) {
	frame := &endpoint.Frame{AttemptID: "a", Type: endpoint.FrameTokens, Count: 1, Text: " w2x"}
	m := newSentMachine(Config{MaxTokens: 1 << 62})
	b.ReportAllocs()
	for b.Loop() {
		m.Frame("a", frame)
		frame.Offset++
	}
}

// Guards against attempts that are cancelled because of repeated frames or frames
// of other attempts, which can be dropped.
func TestRepeatedAndForeignFramesAreDropped(t *testing.T) {
	g := NewWithT(t)
	m := newSentMachine(Config{MaxTokens: 9})
	m.Frame("a", tokensFrame("a", 0, 4))
	for _, frame := range []*endpoint.Frame{tokensFrame("a", 0, 4), tokensFrame("a", 2, 2), tokensFrame("other", 4, 1), doneFrame("other", 4)} {
		g.Expect(m.Frame("a", frame)).To(BeEmpty())
	}
	g.Expect(m.Frame("other", tokensFrame("other", 4, 1))).To(BeEmpty())
	g.Expect(kinds(m.Frame("a", tokensFrame("a", 4, 5)))).To(Equal([]Kind{Deliver}))
	g.Expect(m.Stats().Dropped).To(Equal(5))
	g.Expect(kinds(m.Frame("a", doneFrame("a", 9)))).To(Equal([]Kind{Finish}))
}
