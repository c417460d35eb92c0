package attempt

import "time"

const (
	// transferMargin is the largest share of the remaining notice that a transfer
	// may take. It leaves a reserve because estimates are uncertain and the source
	// stops at the deadline.
	transferMargin = 0.7
	// transferSetup is the time for the export and import calls of a transfer.
	transferSetup = 20 * time.Millisecond
)

// KVCost holds the costs of the two ways to provide a new attempt with its KV
// cache: transfer and recomputation.
type KVCost struct {
	// Tokens is the number of prompt and emitted tokens.
	Tokens int
	// CachedTokens is the number of these tokens in the prefix cache of the new
	// endpoint.
	CachedTokens int
	// PrefillTokensPerSecond is the prefill speed of the new endpoint.
	PrefillTokensPerSecond float64
	// Queue is the time that the new endpoint needs for the prefills queued before
	// this one. With either way the attempt also waits for a slot.
	Queue time.Duration
	// Bytes is the size of the KV cache.
	Bytes int64
	// TransferBytesPerSecond is the transfer speed between the two endpoints.
	TransferBytesPerSecond float64
	// Remaining is the time until the old endpoint stops; 0 means that it has stopped.
	Remaining time.Duration
}

// KVChoice is the chosen way, with the estimates for both ways.
type KVChoice struct {
	// Transfer is set if a transfer is faster than a prefill and ends before the
	// old endpoint stops.
	Transfer                bool
	TransferTime, Recompute time.Duration
}

// ChooseKV chooses between a transfer of the KV cache and a new prefill. The
// queue is added to the prefill only, since a transfer runs while the attempt is
// queued.
func ChooseKV(cost KVCost) KVChoice {
	choice := KVChoice{
		TransferTime: transferSetup + durationAtRate(float64(cost.Bytes), cost.TransferBytesPerSecond),
		Recompute:    cost.Queue + durationAtRate(float64(max(cost.Tokens-cost.CachedTokens, 0)), cost.PrefillTokensPerSecond),
	}
	inTime := float64(choice.TransferTime) <= transferMargin*float64(cost.Remaining)
	choice.Transfer = inTime && choice.TransferTime < choice.Recompute
	return choice
}

// maxEstimatedDuration is the upper limit of an estimate, also used where the
// rate is unknown.
const maxEstimatedDuration = time.Hour

// durationAtRate returns the time for an amount at a rate per second.
func durationAtRate(amount, rate float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 || amount/rate > maxEstimatedDuration.Seconds() {
		return maxEstimatedDuration
	}
	return time.Duration(amount / rate * float64(time.Second))
}
