package pick

// prefillTokensPerS is how fast an engine of usual speed reads prompts. The
// learned slowness of each endpoint corrects it.
const prefillTokensPerS = 100_000

// PrefillScorer estimates the time to read the prompt behind those that are
// being read.
type PrefillScorer struct{}

// Name implements Scorer.
func (PrefillScorer) Name() string { return "prefill" }

// Seconds implements Scorer.
func (PrefillScorer) Seconds(_ *Request, v *View) float64 {
	return float64(v.uncached+v.prefill) / prefillTokensPerS * v.slowness
}
