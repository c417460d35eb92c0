package pick

// tieSeconds is the difference up to which scores count as equal. Without it all
// entries with the same outdated load reports would choose the same endpoint.
const tieSeconds = 0.010

// LowestScorePicker chooses at random among the scores that differ from the lowest
// by at most tieSeconds.
type LowestScorePicker struct {
	// Random returns a number in [0, 1).
	Random func() float64
}

// Pick implements Picker.
func (p LowestScorePicker) Pick(scores []float64) int {
	best := scores[0]
	for _, score := range scores[1:] {
		best = min(best, score)
	}
	tied := 0
	for _, score := range scores {
		if score <= best+tieSeconds {
			tied++
		}
	}
	skip := int(p.Random()*float64(tied)) % tied
	for i, score := range scores {
		if score > best+tieSeconds {
			continue
		}
		if skip == 0 {
			return i
		}
		skip--
	}
	return len(scores) - 1
}
