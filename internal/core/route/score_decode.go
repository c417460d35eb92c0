package route

// DecodeScorer estimates the time to generate the expected output at the batch
// size that the endpoint would have with the request.
type DecodeScorer struct{}

// Name implements Scorer.
func (DecodeScorer) Name() string { return "decode" }

// Seconds implements Scorer.
func (DecodeScorer) Seconds(in *Input, v *View) float64 {
	batch := v.Queue + 1
	if v.Slots > 0 && batch > v.Slots {
		batch = v.Slots
	}
	return float64(in.Request.OutputTokens) * v.Speed.TokenInterval(batch)
}
