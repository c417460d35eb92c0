package guard

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a loop that ends for good, or ends the process, because one of its runs
// panics.
func TestLoopGoesOnAfterAPanic(t *testing.T) {
	g := NewWithT(t)
	runs := 0
	var reported []error
	Loop(t.Context(), func() {
		runs++
		if runs < 3 {
			panic("odd message")
		}
	}, func(err error) { reported = append(reported, err) })
	g.Expect(runs).To(Equal(3))
	g.Expect(reported).To(HaveLen(2))
	var expected *PanicError
	g.Expect(reported[0]).To(BeAssignableToTypeOf(expected))
	g.Expect(reported[0].Error()).To(ContainSubstring("odd message"))
}

// Guards against a loop that is started again after its context has ended.
func TestLoopEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	Loop(ctx, func() {
		cancel()
		panic("late")
	}, func(error) {})
}
