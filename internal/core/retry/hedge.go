package retry

import "time"

// HedgeInput holds the inputs of the decision whether to hedge a request.
type HedgeInput struct {
	// Idempotent is set if the request may safely run twice.
	Idempotent bool
	// Started is set once the first token has arrived. A hedge then has no benefit.
	Started bool
	// Waited is the time since the attempt was sent. Expected is the time to the
	// first token that was estimated when it was sent.
	Waited, Expected time.Duration
	// Alternative is the time to the first token estimated for the best other endpoint.
	Alternative time.Duration
	// Target is the target of the rank for the time to the first token.
	Target time.Duration
	// FreeSlots is set if the other endpoint has a free slot.
	FreeSlots bool
	// Hedges is the number of hedges already sent for the request.
	Hedges int
}

// hedgeFactor is the ratio of waiting time to estimate from which on a hedge is
// sent. Below it the first attempt is likely to answer sooner than a second one.
const hedgeFactor = 3

// ShouldHedge reports whether to send a second attempt in parallel to the first. It
// is true only for an idempotent request that has waited much longer than estimated
// for its first token, if another endpoint with a free slot can still meet the
// target. The caller must count the hedge against the retry budget.
func ShouldHedge(in HedgeInput) bool {
	if !in.Idempotent || in.Started || in.Hedges > 0 || !in.FreeSlots {
		return false
	}
	if in.Expected <= 0 || in.Waited < hedgeFactor*in.Expected {
		return false
	}
	return in.Waited+in.Alternative <= in.Target
}
