package pick

// crossDomainSeconds is the cost of leaving the failure domain: the delay both
// ways and the price of the bytes.
const crossDomainSeconds = 0.03

// DomainScorer prefers endpoints of the own failure domain.
type DomainScorer struct{}

// Name implements Scorer.
func (DomainScorer) Name() string { return "domain" }

// Seconds implements Scorer.
func (DomainScorer) Seconds(r *Request, v *View) float64 {
	if v.endpoint.Domain == r.Domain {
		return 0
	}
	return crossDomainSeconds
}
