package pick

// nearSeconds is the span of scores that count as equal. Entries with the same
// old reports would otherwise all choose the same endpoint.
const nearSeconds = 0.010

// NearestPicker chooses at random among the scores near the best.
type NearestPicker struct {
	// Random returns a number in [0, 1).
	Random func() float64
}

// Pick implements Picker.
func (p NearestPicker) Pick(scores []float64) int {
	best := scores[0]
	for _, score := range scores[1:] {
		best = min(best, score)
	}
	near := make([]int, 0, len(scores))
	for i, score := range scores {
		if score <= best+nearSeconds {
			near = append(near, i)
		}
	}
	return near[int(p.Random()*float64(len(near)))%len(near)]
}
