package entry

import "github.com/boragelead/boragelead/internal/port"

// runOrders is what the orders to stop and move one run did. The zero value stands for no order.
type runOrders struct {
	// effects holds what each order did as far as its own answer shows.
	effects []port.MoveEffect
	// effect is what all of them did together.
	effect port.MoveEffect
	// unanswered is set if an order without an answer may still be carried out.
	unanswered bool
}

// add records a further order.
func (o *runOrders) add(effect port.MoveEffect, answered bool) {
	o.effects = append(o.effects, effect)
	o.effect = joinEffects(o.effect, effect)
	if effect == port.MoveUncertain && !answered {
		o.unanswered = true
	}
}

// joinEffects returns what orders with the first effect and a further one did together. Once an
// order may have stopped the run, one that was not sent, or that found no run, does not show the
// opposite. It never returns port.MoveBusy: the earlier order that it refers to may stop the run.
func joinEffects(earlier, further port.MoveEffect) port.MoveEffect {
	if further == port.MoveBusy {
		further = port.MoveUncertain
	}
	switch earlier {
	case port.MoveNone:
		return further
	case port.MoveNoRun, port.MoveDone, port.MoveKept:
		return earlier
	}
	if further == port.MoveDone || further == port.MoveKept {
		return further
	}
	return port.MoveUncertain
}
