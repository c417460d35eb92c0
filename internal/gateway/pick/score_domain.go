package pick

// crossDomainSeconds is the cost of an endpoint in another failure domain: the
// round-trip delay and the price of the traffic.
const crossDomainSeconds = 0.03

// DomainScorer prefers endpoints in the failure domain of this entry.
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
