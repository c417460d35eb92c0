package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/conf"
)

// completeSilent answers a request with at most the given number of attempts. A
// stream with the gate goes on after several times the time-out.
func completeSilent(t *testing.T, engine *fakeEngine, gate chan int, attempts int) (string, Result, error) {
	s := newTestService(t, engine, func(o *Options) {
		doc := *o.Config.Current().Document
		doc.Limits.SilentStreamMS = 50
		doc.Retry.MaxAttempts = attempts
		o.Config = conf.NewStore()
		o.Config.Install(1, &doc, "digest", time.Now())
	})
	sink := &fakeSink{}
	time.AfterFunc(400*time.Millisecond, func() {
		select {
		case gate <- answerTokens:
		case <-t.Context().Done():
		}
	})
	result, err := s.Complete(t.Context(), testRequest(), sink)
	return sink.text, result, err
}

// Guards against a late answer that becomes none: a silent attempt is ended
// although no other attempt is allowed, or although the next one is silent too.
func TestSilentAttemptIsKeptWithoutAReplacement(t *testing.T) {
	for name, attempts := range map[string]int{"last allowed attempt": 1, "replacement is silent too": 2} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gate := make(chan int)
			engine := &fakeEngine{scripts: []script{{tokens: 2, gate: gate}, {tokens: 0, silent: true}}}
			text, result, err := completeSilent(t, engine, gate, attempts)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal("abcdef"))
			g.Expect(result.Attempts).To(Equal(attempts))
		})
	}
}

// Guards against streams that stay at a silent endpoint although another attempt
// is allowed.
func TestSilentAttemptIsReplaced(t *testing.T) {
	g := NewWithT(t)
	engine := &fakeEngine{scripts: []script{{tokens: 2, silent: true}, {tokens: answerTokens}}}
	started := time.Now()
	text, result, err := completeSilent(t, engine, make(chan int), 4)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text).To(Equal("abcdef"))
	g.Expect(result.Attempts).To(Equal(2))
	g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
	g.Expect(engine.receivedRequests()[1].Emitted).To(Equal("ab"))
}

// Guards against an attempt that is ended although its endpoint accepts it late,
// and against a request that waits for it although another endpoint answers.
func TestSilenceBeforeTheHeadOfTheAnswer(t *testing.T) {
	for name, c := range map[string]struct{ attempts, requests int }{"last allowed attempt": {1, 1}, "replaced": {2, 2}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			engine := &fakeEngine{scripts: []script{{tokens: answerTokens, headDelay: headerTimeout + 500*time.Millisecond}, {tokens: answerTokens}}}
			text, result, err := completeSilent(t, engine, nil, c.attempts)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal("abcdef"))
			g.Expect(result.Attempts).To(Equal(c.requests))
		})
	}
}
