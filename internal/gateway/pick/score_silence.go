package pick

import "time"

// silenceGrace is the time without a sign of life that is ordinary while
// prompts are read.
const silenceGrace = 150 * time.Millisecond

// SilenceScorer avoids endpoints from which nothing was heard since a request
// was sent: behind a partition, connections stay open and just go silent. The
// cost is the length of the silence, so that it decides nothing where all
// endpoints are slow.
type SilenceScorer struct{}

// Name implements Scorer.
func (SilenceScorer) Name() string { return "silence" }

// Seconds implements Scorer.
func (SilenceScorer) Seconds(r *Request, v *View) float64 {
	if v.sentUnheard.IsZero() {
		return 0
	}
	return max((r.Now.Sub(v.sentUnheard) - silenceGrace).Seconds(), 0)
}
