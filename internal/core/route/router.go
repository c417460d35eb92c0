package route

import "github.com/boragelead/boragelead/api/endpoint"

// Router chooses endpoints.
type Router struct{}

// New returns a router.
func New() *Router { return &Router{} }

// Route picks the least loaded endpoint that holds the model.
func (r *Router) Route(req *Request, candidates []*Candidate) (Decision, error) {
	var best *Candidate
	bestScore := 0.0
	for _, c := range candidates {
		if !eligible(req, c) {
			continue
		}
		score := float64(c.InFlight+c.PeerInFlight+1) / float64(max(c.Slots, 1))
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	if best == nil {
		return Decision{}, &NoEndpointError{Model: req.Model, Known: len(candidates)}
	}
	return Decision{Endpoint: best, Score: bestScore}, nil
}

func eligible(req *Request, c *Candidate) bool {
	if c.State != endpoint.StateReady || containsString(req.Avoid, c.ID) {
		return false
	}
	return c.Holds(req.Model, req.Version, req.Adapter)
}
