package route

import "math/rand/v2"

// The band of near-equal scores reaches above the best score by a share of it:
// narrowBand on an idle fleet, more by bandPerBusy times the use of the best
// endpoint, at most widestBand. Near saturation a band of 0.15 lets entries with
// reports one second old rush at the same endpoints; on an idle fleet one of
// 0.5 sends work to slower classes. docs/decisions.md gives the measurement.
const (
	narrowBand  = 0.15
	bandPerBusy = 0.8
	widestBand  = 0.6
)

// LeastPicker takes the lowest score.
type LeastPicker struct{}

// Pick implements Picker.
func (LeastPicker) Pick(list []Scored, _ *rand.Rand) int { return least(list) }

// NearEqualPicker chooses at random among the scores close to the best,
// weighted by closeness. Entries with the same lagged view therefore do not
// all choose the same endpoint. It leaves the failure domain only when the
// best endpoint lies outside, and gives up a cached prefix only when the best
// endpoint has none: many near-equal endpoints without it would else outweigh
// the few that hold it.
type NearEqualPicker struct{}

// Pick implements Picker.
func (NearEqualPicker) Pick(list []Scored, random *rand.Rand) int {
	best := least(list)
	bound := list[best].Score * (1 + min(narrowBand+bandPerBusy*float64(list[best].Busy), widestBand))
	total := 0.0
	for i := range list {
		total += closeness(&list[i], &list[best], bound)
	}
	if total <= 0 {
		return best
	}
	draw := random.Float64() * total
	for i := range list {
		draw -= closeness(&list[i], &list[best], bound)
		if draw < 0 {
			return i
		}
	}
	return best
}

func closeness(s, best *Scored, bound float64) float64 {
	if s.Score >= bound || (s.Remote && !best.Remote) || s.Cached < best.Cached/2 {
		return 0
	}
	return bound - s.Score
}

// TwoChoicesPicker takes the better of two candidates drawn at random.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(list []Scored, random *rand.Rand) int {
	a, b := random.IntN(len(list)), random.IntN(len(list))
	if list[b].Score < list[a].Score {
		return b
	}
	return a
}

func least(list []Scored) int {
	best := 0
	for i := range list {
		if list[i].Score < list[best].Score {
			best = i
		}
	}
	return best
}
