package pick

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// replacementBoard returns a board with a silent endpoint, one that answers and is busy, and an
// idle one of which nothing was heard, and the time of a choice.
func replacementBoard(g *WithT) (b *Board, now time.Time) {
	b = newBoard(newEngine("silent", "a"), newEngine("heard", "a"), newEngine("idle", "a"))
	now = start.Add(2 * time.Second)
	at := func(id string) *Choice {
		r := newRequest(start)
		for _, other := range []string{"silent", "heard", "idle"} {
			if other != id {
				r.Avoid = append(r.Avoid, other)
			}
		}
		return choose(g, b, r)
	}
	at("silent").RecordAnswer(nil, start)
	for range 4 {
		at("heard").RecordAnswer(nil, now)
	}
	return b, now
}

// Guards against an attempt that leaves a silent endpoint for another silent one.
func TestReplacementAvoidsSilentEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *Request)
		want   string
	}{
		"straggler":       {func(*Request) {}, "idle"},
		"several silent":  {func(r *Request) { r.PreferHeard = true }, "heard"},
		"most silent":     {func(r *Request) { r.OnlyHeard = true }, "heard"},
		"none heard":      {func(r *Request) { r.OnlyHeard, r.Avoid = true, []string{"heard"} }, ""},
		"only silent one": {func(r *Request) { r.Avoid = []string{"heard", "idle"} }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, now := replacementBoard(g)
			r := newRequest(now)
			r.MaxSilence = time.Second
			c.change(r)
			choice, err := b.Choose(r)
			if c.want == "" {
				g.Expect(err).To(BeAssignableToTypeOf(&NoEndpointError{}))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(choice.Endpoint.ID).To(Equal(c.want))
		})
	}
}
