package route

// FirstTokenScorer estimates the time to the first token, weighed by the
// target of the rank. Time beyond the target counts once more in full.
type FirstTokenScorer struct{}

// Name implements Scorer.
func (FirstTokenScorer) Name() string { return "first_token" }

// Seconds implements Scorer.
func (FirstTokenScorer) Seconds(ctx *Input, v *View) float64 {
	wait := firstToken(ctx.Request, v)
	score := wait * ctx.Rank.FirstTokenWeight
	if wait > ctx.Rank.FirstToken {
		score += wait - ctx.Rank.FirstToken
	}
	return score
}

func firstToken(req *Request, v *View) float64 {
	uncached := max(req.PromptTokens-v.CachedTokens, 0)
	wait := float64(v.WaitTokens+uncached) * v.Speed.PrefillS
	if v.Slots > 0 && v.Queue >= v.Slots {
		// Slots free up one by one as generations of about the same length end.
		service := float64(req.OutputTokens) * v.Speed.Between(v.Slots) / float64(v.Slots)
		wait += float64(v.Queue-v.Slots+1) * service
	}
	return wait
}
