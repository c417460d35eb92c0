package pick

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/registry"
)

// Guards against an entry that counts as cut off while only its failure domain is cut off from
// the others: the endpoints of its own domain, and the one that answered last, tell.
func TestSampleHoldsTheEndpointsMostLikelyReached(t *testing.T) {
	g := NewWithT(t)
	var list []registry.Endpoint
	for i := range 24 {
		list = append(list, newEngine(fmt.Sprint("e-", i), string(rune('a'+i/4))))
	}
	b := newBoard(list...)
	request := newRequest(start)
	for range 40 {
		c := choose(g, b, request)
		c.RecordAnswer(nil, start)
		c.End()
	}
	last := choose(g, b, request)
	last.RecordProgress(start.Add(time.Millisecond))
	for range 20 {
		sample := b.Sample("pool", "f", 3)
		g.Expect(sample).To(HaveLen(3))
		g.Expect(sample[0].Domain).To(Equal("f"))
		g.Expect(sample[1].ID).To(Equal(last.Endpoint.ID))
		g.Expect(sample[2].Domain).NotTo(BeElementOf("f", last.Endpoint.Domain))
	}
	g.Expect(b.Sample("pool", "f", 30)).To(HaveLen(24))
	g.Expect(b.Sample("other", "f", 3)).To(BeEmpty())
	g.Expect(b.Sample("", "none", 2)).To(HaveLen(2))
}

// Guards against doubts about the links while one endpoint of several answers, and against
// none while all are silent.
func TestQuietService(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"), newEngine("two", "a"), newEngine("three", "a"))
	var choices []*Choice
	for _, avoid := range [][]string{{"two", "three"}, {"one", "three"}, {"one", "two"}} {
		r := newRequest(start)
		r.Avoid = avoid
		choices = append(choices, choose(g, b, r))
	}
	g.Expect(b.IsQuiet("pool", start.Add(quietTime/2))).To(BeFalse())
	now := start.Add(quietTime)
	g.Expect(b.IsQuiet("pool", now)).To(BeTrue())
	choices[1].RecordProgress(now)
	g.Expect(b.IsQuiet("pool", now.Add(quietTime/2))).To(BeFalse())
	g.Expect(b.IsQuiet("pool", now.Add(quietTime))).To(BeTrue())
	choices[0].End()
	g.Expect(b.IsQuiet("pool", now.Add(quietTime))).To(BeFalse(), "two of three endpoints do not tell")
}

// Guards against an endpoint that counts as silent right after a byte, because only requests
// without an answer are left there.
func TestEndpointIsNotSilentAfterAByte(t *testing.T) {
	g := NewWithT(t)
	b := newBoard(newEngine("one", "a"))
	stream, pending := choose(g, b, newRequest(start)), choose(g, b, newRequest(start))
	now := start.Add(time.Second)
	stream.RecordAnswer(nil, now)
	stream.End()
	silent, busy := b.CountSilent("pool", time.Second/2, now.Add(time.Millisecond))
	g.Expect([]int{silent, busy}).To(Equal([]int{0, 1}))
	silent, busy = b.CountSilent("pool", time.Second/2, now.Add(time.Second))
	g.Expect([]int{silent, busy}).To(Equal([]int{1, 1}))
	pending.End()
}
