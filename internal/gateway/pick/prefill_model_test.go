package pick

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against deciding with the speed of one fleet. The model has to find the time per
// prompt token of engines that differ by a factor of four, beside requests that waited
// behind those of other entries.
func TestPrefillModelLearnsTheSpeed(t *testing.T) {
	for _, tokensPerS := range []float64{38_700, 140_000} {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(1, uint64(tokensPerS)))
		m := &prefillModel{}
		for range 500 {
			tokens := []int{700, 2400, 9200}[random.IntN(3)]
			seconds := 0.02 + float64(tokens)/tokensPerS*(0.8+0.4*random.Float64())
			if random.IntN(20) == 0 {
				seconds += 2 * random.Float64()
			}
			m.observe(tokens, seconds)
		}
		perToken, known := m.secondsPerToken()
		g.Expect(known).To(BeTrue())
		g.Expect(1 / perToken).To(BeNumerically("~", tokensPerS, 0.3*tokensPerS))
	}
}

// Guards against a time per token that is told from prompts of the same length, or from a few
// answers.
func TestPrefillModelNeedsDifferentPrompts(t *testing.T) {
	g := NewWithT(t)
	m := &prefillModel{}
	m.observe(1000, 0.1)
	m.observe(9000, 0.5)
	_, known := m.secondsPerToken()
	g.Expect(known).To(BeFalse())
	same := &prefillModel{}
	for range 100 {
		same.observe(0, 0.015)
	}
	_, known = same.secondsPerToken()
	g.Expect(known).To(BeFalse())
	seconds, known := same.seconds(0)
	g.Expect(known).To(BeTrue())
	g.Expect(seconds).To(BeNumerically("~", 0.015, 1e-6))
}
