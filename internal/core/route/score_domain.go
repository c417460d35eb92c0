package route

// DomainScorer adds the penalty for leaving the failure domain of the entry.
type DomainScorer struct{}

// Name implements Scorer.
func (DomainScorer) Name() string { return "domain" }

// Seconds implements Scorer.
func (DomainScorer) Seconds(in *Input, v *View) float64 {
	if v.Remote {
		return in.CrossDomain
	}
	return 0
}
