package attempt

import "time"

const (
	// transferMargin is the share of the remaining notice that a transfer may
	// take: the source stops at the deadline, and estimates are uncertain.
	transferMargin = 0.7
	// transferSetup is the time for the export and import calls around a transfer.
	transferSetup = 20 * time.Millisecond
)

// KVCost describes the two ways in which a new attempt gets its KV cache.
type KVCost struct {
	// Tokens is the number of prompt and emitted tokens.
	Tokens int
	// CachedTokens are in the prefix cache of the new endpoint.
	CachedTokens int
	// PrefillTokensPerSecond is the speed at the new endpoint.
	PrefillTokensPerSecond float64
	// Queue is the prefill work ahead at the new endpoint; both ways wait for a slot.
	Queue time.Duration
	// Bytes is the size of the KV cache.
	Bytes int64
	// TransferBytesPerSecond is the speed between the two endpoints.
	TransferBytesPerSecond float64
	// Remaining is the time until the old endpoint stops; 0 means that it is gone.
	Remaining time.Duration
}

// KVChoice is the cheaper way, with the estimates that led to it.
type KVChoice struct {
	// Transfer is set where export and import are cheaper and in time.
	Transfer                bool
	TransferTime, Recompute time.Duration
}

// ChooseKV decides between a transfer of the KV cache and a new prefill. The
// queue counts only for the prefill: a transfer runs while the attempt waits.
func ChooseKV(cost KVCost) KVChoice {
	choice := KVChoice{
		TransferTime: transferSetup + seconds(float64(cost.Bytes), cost.TransferBytesPerSecond),
		Recompute:    cost.Queue + seconds(float64(max(cost.Tokens-cost.CachedTokens, 0)), cost.PrefillTokensPerSecond),
	}
	inTime := float64(choice.TransferTime) <= transferMargin*float64(cost.Remaining)
	choice.Transfer = inTime && choice.TransferTime < choice.Recompute
	return choice
}

// maxEstimate stands for a way that does not exist.
const maxEstimate = time.Hour

// seconds returns the time of an amount at a rate per second.
func seconds(amount, rate float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 || amount/rate > maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(amount / rate * float64(time.Second))
}
