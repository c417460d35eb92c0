package route

// DecodeScorer estimates the time to generate the expected output in the
// batch that the request would join.
type DecodeScorer struct{}

// Name implements Scorer.
func (DecodeScorer) Name() string { return "decode" }

// Seconds implements Scorer.
func (DecodeScorer) Seconds(ctx *Input, v *View) float64 {
	batch := v.Queue + 1
	if v.Slots > 0 && batch > v.Slots {
		batch = v.Slots
	}
	return float64(ctx.Request.OutputTokens) * v.Speed.Between(batch)
}
