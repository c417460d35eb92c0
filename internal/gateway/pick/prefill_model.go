package pick

import "math"

const (
	// modelForgetting is the factor by which each observation reduces the weight of the
	// earlier ones.
	modelForgetting = 0.99
	// minModelWeight is the weight of observations below which a model is not used.
	minModelWeight = 20
	// minTokenSpread is the least standard deviation of the observed prompt lengths, in
	// tokens, from which a time per token can be told.
	minTokenSpread = 100
	// maxModelExcess limits an observation to this multiple of the expected time, because
	// a request may also have waited behind those of other entries.
	maxModelExcess = 3
	// initialSecondsPerToken is used until a model is known.
	initialSecondsPerToken = 1e-5
)

// prefillModel learns how long endpoints of one service take until the first byte of an
// answer, as a linear function of the prompt tokens that they process before it, by least
// squares. It is not safe for concurrent use.
type prefillModel struct {
	// The sums are weighted by the age of the observations: of 1, tokens, tokens²,
	// seconds, and tokens × seconds.
	n, sumT, sumTT, sumS, sumTS float64
}

// observe adds an observation.
func (m *prefillModel) observe(tokens int, seconds float64) {
	if expected, known := m.seconds(tokens); known {
		seconds = min(seconds, maxModelExcess*expected)
	}
	t := float64(tokens)
	m.n = m.n*modelForgetting + 1
	m.sumT = m.sumT*modelForgetting + t
	m.sumTT = m.sumTT*modelForgetting + t*t
	m.sumS = m.sumS*modelForgetting + seconds
	m.sumTS = m.sumTS*modelForgetting + t*seconds
}

// secondsPerToken returns the time per prompt token, and false while it is not known.
func (m *prefillModel) secondsPerToken() (seconds float64, known bool) {
	if m.n < minModelWeight {
		return 0, false
	}
	variance := m.sumTT/m.n - m.sumT/m.n*m.sumT/m.n
	if math.Sqrt(max(variance, 0)) < minTokenSpread {
		return 0, false
	}
	covariance := m.sumTS/m.n - m.sumT/m.n*m.sumS/m.n
	return max(covariance/variance, 0), true
}

// secondsPerTokenOrInitial returns the time per prompt token, or an assumed one while it is
// not known.
func (m *prefillModel) secondsPerTokenOrInitial() float64 {
	if seconds, known := m.secondsPerToken(); known {
		return seconds
	}
	return initialSecondsPerToken
}

// seconds returns the expected time to the first byte after a number of prompt tokens, and
// false while it is not known.
func (m *prefillModel) seconds(tokens int) (seconds float64, known bool) {
	if m.n < minModelWeight {
		return 0, false
	}
	perToken, _ := m.secondsPerToken()
	base := m.sumS/m.n - perToken*m.sumT/m.n
	return max(base+perToken*float64(tokens), minMeanSeconds), true
}
