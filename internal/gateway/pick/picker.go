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
	near := 0
	for _, score := range scores {
		if score <= best+nearSeconds {
			near++
		}
	}
	left := int(p.Random()*float64(near)) % near
	for i, score := range scores {
		if score > best+nearSeconds {
			continue
		}
		if left == 0 {
			return i
		}
		left--
	}
	return len(scores) - 1
}
