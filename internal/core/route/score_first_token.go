package route

// FirstTokenScorer estimates the time to the first token, multiplied by the
// weight of the rank. Time above the target of the rank is added unweighted.
type FirstTokenScorer struct{}

// Name implements Scorer.
func (FirstTokenScorer) Name() string { return "first_token" }

// Seconds implements Scorer.
func (FirstTokenScorer) Seconds(in *Input, v *View) float64 {
	wait := firstToken(in.Request, v)
	score := wait * in.Rank.FirstTokenWeight
	if wait > in.Rank.FirstToken {
		score += wait - in.Rank.FirstToken
	}
	return score
}

func firstToken(req *Request, v *View) float64 {
	uncached := max(req.PromptTokens-v.CachedTokens, 0)
	wait := float64(v.WaitTokens+uncached) * v.Speed.PrefillS
	if v.Slots > 0 && v.Queue >= v.Slots {
		// Assume that slots become free at even intervals, as generations of about
		// the same length end.
		service := float64(req.OutputTokens) * v.Speed.TokenInterval(v.Slots) / float64(v.Slots)
		wait += float64(v.Queue-v.Slots+1) * service
	}
	return wait
}
