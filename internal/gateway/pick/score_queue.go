package pick

const (
	// slotSeconds is the cost of one more running request: it slows the steps of all.
	slotSeconds = 0.002
	// waitSeconds is the cost of one more waiting request.
	waitSeconds = 0.05
	// fullSeconds is the cost of a fully used endpoint against an idle one.
	fullSeconds = 0.2
)

// QueueScorer estimates the wait behind the requests that are there already.
type QueueScorer struct{}

// Name implements Scorer.
func (QueueScorer) Name() string { return "queue" }

// Seconds implements Scorer.
func (QueueScorer) Seconds(r *Request, v *View) float64 {
	busy := v.busy(r.Now)
	slots := max(v.endpoint.Slots, 1)
	waiting := max(busy+1-slots, 0)
	used := float64(min(busy, slots)) / float64(slots)
	cost := slotSeconds*float64(busy) + fullSeconds*used + waitSeconds*float64(waiting)
	return cost * v.slowness
}
