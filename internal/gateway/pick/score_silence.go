package pick

import "time"

// silenceGrace is the time without received bytes that is normal while an endpoint
// processes prompts.
const silenceGrace = 150 * time.Millisecond

// SilenceScorer avoids endpoints that have sent no byte since a request was sent to
// them: behind a network partition, connections stay open but deliver nothing. The
// cost is the length of the silence, so that it does not affect the choice if all
// endpoints are slow.
type SilenceScorer struct{}

// Name implements Scorer.
func (SilenceScorer) Name() string { return "silence" }

// Seconds implements Scorer.
func (SilenceScorer) Seconds(r *Request, v *View) float64 {
	if v.silentSince.IsZero() {
		return 0
	}
	return max((r.Now.Sub(v.silentSince) - silenceGrace).Seconds(), 0)
}
