package pick

const (
	// runningSeconds is the cost of each running request, which slows the steps of
	// all others.
	runningSeconds = 0.002
	// waitingSeconds is the cost of each waiting request.
	waitingSeconds = 0.05
	// utilizationSeconds is the additional cost of a fully used endpoint over an idle
	// one.
	utilizationSeconds = 0.2
)

// QueueScorer estimates the delay by the requests that are already at the endpoint.
type QueueScorer struct{}

// Name implements Scorer.
func (QueueScorer) Name() string { return "queue" }

// Seconds implements Scorer.
func (QueueScorer) Seconds(r *Request, v *View) float64 {
	requests := v.requests(r.Now)
	slots := max(v.endpoint.Slots, 1)
	waiting := max(requests+1-slots, 0)
	utilization := float64(min(requests, slots)) / float64(slots)
	cost := runningSeconds*float64(requests) + utilizationSeconds*utilization + waitingSeconds*float64(waiting)
	return cost * v.slownessNow
}
