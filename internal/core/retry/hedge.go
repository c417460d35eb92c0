package retry

import "time"

// HedgeInput is what the decision on a hedged request rests on.
type HedgeInput struct {
	// Idempotent is set where running the request twice does no harm.
	Idempotent bool
	// Started is set once the first token arrived; then a hedge gains nothing.
	Started bool
	// Waited is the time since the attempt was sent, Expected the time to the
	// first token estimated when it was sent.
	Waited, Expected time.Duration
	// Alternative is the time to the first token estimated for the best other endpoint.
	Alternative time.Duration
	// Target is the target of the rank for the first token.
	Target time.Duration
	// FreeSlots is set where the other endpoint has a free slot.
	FreeSlots bool
	// Hedges is the number of hedges already sent for the request.
	Hedges int
}

// hedgeFactor is how far an attempt must be behind its estimate. Below it the
// attempt is more likely to answer soon than a second one.
const hedgeFactor = 3

// Hedge reports whether a second attempt should race the first. It is true
// only for an idempotent request without a first token, far behind its
// estimate, where another endpoint with a free slot can still meet the target
// that the first is about to miss. The caller takes it from the retry budget.
func Hedge(in HedgeInput) bool {
	if !in.Idempotent || in.Started || in.Hedges > 0 || !in.FreeSlots {
		return false
	}
	if in.Expected <= 0 || in.Waited < hedgeFactor*in.Expected {
		return false
	}
	return in.Waited+in.Alternative <= in.Target
}
