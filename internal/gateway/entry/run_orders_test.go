package entry

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/port"
)

// expectedEffect returns what a sequence of orders did, from the definition of each effect.
func expectedEffect(effects []port.MoveEffect) port.MoveEffect {
	sent := slices.DeleteFunc(slices.Clone(effects), func(e port.MoveEffect) bool { return e == port.MoveNone })
	if len(sent) == 0 {
		return port.MoveNone
	}
	for i, effect := range sent {
		switch {
		case effect == port.MoveDone, effect == port.MoveKept, effect == port.MoveNoRun && i == 0:
			return effect
		}
	}
	return port.MoveUncertain
}

// Guards against an order whose effect hides that an earlier one may have stopped the run.
func TestEffectsOfOrdersInAnySequence(t *testing.T) {
	g := NewWithT(t)
	effects := []port.MoveEffect{port.MoveNone, port.MoveNoRun, port.MoveDone, port.MoveKept, port.MoveBusy, port.MoveUncertain}
	var check func(sequence []port.MoveEffect)
	check = func(sequence []port.MoveEffect) {
		var orders runOrders
		for _, effect := range sequence {
			orders.add(effect, effect != port.MoveUncertain)
		}
		g.Expect(orders.effect).To(Equal(expectedEffect(sequence)), "%v", sequence)
		if len(sequence) == 3 {
			return
		}
		for _, effect := range effects {
			check(append(slices.Clone(sequence), effect))
		}
	}
	check(nil)
}

// Guards against a returned run that counts as complete although an unanswered order may have stopped it.
func TestOrderWithoutAnAnswerStaysPending(t *testing.T) {
	g := NewWithT(t)
	var orders runOrders
	orders.add(port.MoveUncertain, true)
	g.Expect(orders.unanswered).To(BeFalse())
	orders.add(port.MoveUncertain, false)
	orders.add(port.MoveKept, true)
	g.Expect(orders.unanswered).To(BeTrue())
}

// Guards against a run that returns to its endpoint a second time and counts as complete although the first order may still stop it.
func TestUnansweredOrderHoldsForFurtherReturns(t *testing.T) {
	g := NewWithT(t)
	for _, mayBeStopped := range []bool{false, true} {
		mv := newMove(&streamRun{mayBeStopped: mayBeStopped}, time.Now())
		mv.choice = &pick.Choice{}
		mv.orders.add(port.MoveKept, true)
		g.Expect(mv.hop().mayBeStopped).To(Equal(mayBeStopped))
	}
}
