package route

// DomainScorer adds the penalty for leaving the failure domain of the entry.
type DomainScorer struct{}

// Name implements Scorer.
func (DomainScorer) Name() string { return "domain" }

// Seconds implements Scorer.
func (DomainScorer) Seconds(ctx *Input, v *View) float64 {
	if v.Remote {
		return ctx.CrossDomain
	}
	return 0
}
