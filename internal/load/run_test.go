package load

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// slowTarget answers with two tokens. It reports their times as first and first+gap
// after the call, without waiting.
type slowTarget struct{ first, gap time.Duration }

func (t *slowTarget) Do(_ context.Context, call Call, observer Observer) error {
	if call.Prompt == "refuse" {
		return &RefusedError{Status: 429}
	}
	now := time.Now()
	observer.Tokens(now.Add(t.first), 1, " a")
	observer.Tokens(now.Add(t.first+t.gap), 1, " b")
	return nil
}

// TestWithinTarget checks that late and refused answers do not count as within target.
func TestWithinTarget(t *testing.T) {
	g := NewWithT(t)
	run := func(first, gap time.Duration, prompt string) Report {
		stream := Stream{
			Rate: 500, Call: Call{Prompt: prompt},
			FirstTarget: time.Second, GapTarget: time.Second,
		}
		config := Config{Streams: []Stream{stream}, Duration: 50 * time.Millisecond, Grace: time.Second, Seed: 1}
		return Run(context.Background(), &slowTarget{first, gap}, config)[0]
	}
	good := run(10*time.Millisecond, 10*time.Millisecond, "")
	g.Expect(good.Calls).To(BeNumerically(">", 0))
	g.Expect([]int{good.WithinFirst, good.WithinGap, good.Within}).To(HaveEach(good.Calls))
	g.Expect(good.WithinTokens).To(BeEquivalentTo(2 * good.Calls))
	late := run(2*time.Second, 10*time.Millisecond, "")
	g.Expect([]int{late.WithinFirst, late.WithinGap, late.Within}).To(Equal([]int{0, late.Calls, 0}))
	slow := run(10*time.Millisecond, 2*time.Second, "")
	g.Expect([]int{slow.WithinFirst, slow.WithinGap, slow.Within}).To(Equal([]int{slow.Calls, 0, 0}))
	refused := run(0, 0, "refuse")
	g.Expect(refused.Complete + refused.WithinFirst + refused.WithinGap + refused.Within).To(BeZero())
}
