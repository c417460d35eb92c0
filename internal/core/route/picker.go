package route

import "math/rand/v2"

// The band of near-equal scores extends above the best score by a share of it:
// minBand on an idle fleet, plus bandPerUtilization times the utilization of the
// best endpoint, and at most maxBand. Near saturation, a band of 0.15 makes entries
// whose load reports are one second old all choose the same endpoints. On an idle
// fleet, a band of 0.5 sends work to slower classes. docs/decisions.md gives the
// measurement.
const (
	minBand            = 0.15
	bandPerUtilization = 0.8
	maxBand            = 0.6
)

// LeastPicker chooses the candidate with the lowest score.
type LeastPicker struct{}

// Pick implements Picker.
func (LeastPicker) Pick(list []Scored, _ *rand.Rand) int { return lowestScore(list) }

// NearEqualPicker chooses at random among the scores close to the best,
// weighted by closeness, so that entries with the same outdated load reports do
// not all choose the same endpoint. It chooses a remote endpoint only if the best
// one is remote. It also skips endpoints with less than half of the best
// endpoint's cached prefix: otherwise the many near-equal endpoints without the
// prefix would outweigh the few that hold it.
type NearEqualPicker struct{}

// Pick implements Picker.
func (NearEqualPicker) Pick(list []Scored, random *rand.Rand) int {
	best := lowestScore(list)
	bound := list[best].Score * (1 + min(minBand+bandPerUtilization*float64(list[best].Utilization), maxBand))
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

// closeness returns the weight of a candidate in the random choice, 0 if it must
// not be chosen.
func closeness(s, best *Scored, bound float64) float64 {
	if s.Score >= bound || (s.Remote && !best.Remote) || s.Cached < best.Cached/2 {
		return 0
	}
	return bound - s.Score
}

// TwoChoicesPicker chooses the better of two candidates drawn at random.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(list []Scored, random *rand.Rand) int {
	a, b := random.IntN(len(list)), random.IntN(len(list))
	if list[b].Score < list[a].Score {
		return b
	}
	return a
}

func lowestScore(list []Scored) int {
	best := 0
	for i := range list {
		if list[i].Score < list[best].Score {
			best = i
		}
	}
	return best
}
