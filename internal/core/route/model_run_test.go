package route

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mixedFleet has two machine classes, as bought over years, and one straggler.
func mixedFleet() ([]*Candidate, []Speed) {
	list := testCandidates(12, 1)
	var speeds []Speed
	for _, c := range list {
		s := classSpeed(12000, 2400, 32)
		if c.Class == "slow" {
			s = classSpeed(4000, 700, 12)
		}
		speeds = append(speeds, s)
	}
	speeds[1] = Speed{PrefillS: speeds[1].PrefillS * 6, BaseS: speeds[1].BaseS * 6, SlopeS: speeds[1].SlopeS * 6}
	return list, speeds
}

func runFleet(seed uint64, entries int, rate float64, naive bool, options ...Option) *model {
	list, speeds := mixedFleet()
	m := newModel(seed, entries, list, speeds, options...)
	m.naive = naive
	m.run(30*time.Second, rate)
	return m
}

var _ = Describe("Router in a queueing model", func() {
	// Guards against decisions that are worse than round robin on a mixed
	// fleet, and against requests that are lost or sent twice.
	It("answers sooner than round robin and loses nothing", func() {
		for seed := uint64(1); seed <= 2; seed++ {
			ours := runFleet(seed, 4, 60, false)
			naive := runFleet(seed, 4, 60, true)
			GinkgoWriter.Printf("seed %d: total mean %.2f s, p95 %.2f s; round robin %.2f s, %.2f s\n", seed,
				average(ours.totals), quantile(ours.totals, 0.95), average(naive.totals), quantile(naive.totals, 0.95))
			Expect(average(ours.totals)).To(BeNumerically("<=", average(naive.totals)))
			Expect(quantile(ours.firsts, 0.95)).To(BeNumerically("<=", quantile(naive.firsts, 0.95)))
			sent := 0
			for _, n := range ours.sent {
				sent += n
			}
			Expect(len(ours.totals) + ours.left()).To(Equal(sent))
		}
	})

	// Guards against a rush of all entries at the endpoint that the last
	// report showed idle.
	It("spreads the work of many entries between reports", func() {
		p95 := func(picker Picker) float64 {
			var means, tails, totals []float64
			for seed := uint64(1); seed <= 2; seed++ {
				m := runFleet(seed, 8, 108, false, WithPicker(picker))
				means = append(means, average(m.firsts))
				tails = append(tails, quantile(m.firsts, 0.95))
				totals = append(totals, average(m.totals))
			}
			GinkgoWriter.Printf("%T first token mean %.3f s p95 %.3f s, total mean %.2f s\n", picker, average(means), average(tails), average(totals))
			return average(tails)
		}
		near := p95(NearEqualPicker{})
		Expect(near).To(BeNumerically("<", p95(LeastPicker{})))
		Expect(near).To(BeNumerically("<", p95(TwoChoicesPicker{})))
	})

	// Guards against spreading that gives up the prefix cache: many endpoints
	// without the prefix outweighed the few with it.
	It("keeps prompts with a shared prefix together", func() {
		run := func(naive bool, picker Picker) *model {
			list, speeds := mixedFleet()
			m := newModel(1, 8, list, speeds, WithPicker(picker))
			m.naive, m.groups, m.request.PromptTokens = naive, 50, modelPrefix*tokensPerBlock+200
			m.run(20*time.Second, 36)
			GinkgoWriter.Printf("%T naive=%t: recomputed %.0f tokens per request, first token p95 %.2f s\n",
				picker, naive, m.recomputed/float64(len(m.totals)), quantile(m.firsts, 0.95))
			return m
		}
		near, naive := run(false, NearEqualPicker{}), run(true, nil)
		Expect(near.recomputed).To(BeNumerically("<", 0.5*naive.recomputed))
		Expect(near.recomputed).To(BeNumerically("<=", run(false, LeastPicker{}).recomputed))
	})

	// Guards against an endpoint that stays unused after it recovered.
	It("avoids a straggler and returns to it once it recovered", func() {
		list, speeds := mixedFleet()
		m := newModel(1, 2, list, speeds)
		m.run(40*time.Second, 60)
		slow := m.sent[list[1].ID]
		peer := m.sent[list[2].ID]
		Expect(slow).To(BeNumerically("<", peer/2))
		Expect(slow).To(BeNumerically(">", 0))
		m.endpoints[1].speed = m.endpoints[2].speed
		m.run(40*time.Second, 60)
		clear(m.sent)
		m.run(40*time.Second, 60)
		GinkgoWriter.Printf("straggler got %d while slow (peer %d), %d after recovery (peer %d)\n",
			slow, peer, m.sent[list[1].ID], m.sent[list[2].ID])
		Expect(m.sent[list[1].ID]).To(BeNumerically(">", m.sent[list[2].ID]/2))
	})
})
