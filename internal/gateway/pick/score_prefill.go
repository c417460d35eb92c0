package pick

// PrefillScorer estimates the time to process the prompt after those that are
// pending at the endpoint.
type PrefillScorer struct{}

// Name implements Scorer.
func (PrefillScorer) Name() string { return "prefill" }

// Seconds implements Scorer.
func (PrefillScorer) Seconds(_ *Request, v *View) float64 {
	return float64(v.uncachedTokens+v.prefillTokens) * v.secondsPerToken * v.slownessNow
}
