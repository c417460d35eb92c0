package route

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mixedFleet returns a fleet with one straggler and two machine classes, as fleets
// have that were bought over several years.
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

func simulateFleet(seed uint64, entries int, rate float64, roundRobin bool, options ...Option) *simulation {
	list, speeds := mixedFleet()
	sim := newSimulation(seed, entries, list, speeds, options...)
	sim.roundRobin = roundRobin
	sim.run(30*time.Second, rate)
	return sim
}

var _ = Describe("Router in a queueing simulation", func() {
	// Guards against higher latency than with round robin on a mixed fleet, and
	// against requests that are lost or sent twice.
	It("has a lower latency than round robin and loses no request", func() {
		for seed := uint64(1); seed <= 2; seed++ {
			routed := simulateFleet(seed, 4, 60, false)
			roundRobin := simulateFleet(seed, 4, 60, true)
			GinkgoWriter.Printf("seed %d: total mean %.2f s, p95 %.2f s; round robin %.2f s, %.2f s\n", seed,
				average(routed.totals), quantile(routed.totals, 0.95), average(roundRobin.totals), quantile(roundRobin.totals, 0.95))
			Expect(average(routed.totals)).To(BeNumerically("<=", average(roundRobin.totals)))
			Expect(quantile(routed.firsts, 0.95)).To(BeNumerically("<=", quantile(roundRobin.firsts, 0.95)))
			sent := 0
			for _, n := range routed.sent {
				sent += n
			}
			Expect(len(routed.totals) + routed.unfinished()).To(Equal(sent))
		}
	})

	// Guards against all entries choosing the endpoint that was idle at the time of
	// the last load report.
	It("spreads the requests of many entries between load reports", func() {
		p95 := func(picker Picker) float64 {
			var means, tails, totals []float64
			for seed := uint64(1); seed <= 2; seed++ {
				sim := simulateFleet(seed, 8, 108, false, WithPicker(picker))
				means = append(means, average(sim.firsts))
				tails = append(tails, quantile(sim.firsts, 0.95))
				totals = append(totals, average(sim.totals))
			}
			GinkgoWriter.Printf("%T first token mean %.3f s p95 %.3f s, total mean %.2f s\n", picker, average(means), average(tails), average(totals))
			return average(tails)
		}
		near := p95(NearEqualPicker{})
		Expect(near).To(BeNumerically("<", p95(LeastPicker{})))
		Expect(near).To(BeNumerically("<", p95(TwoChoicesPicker{})))
	})

	// Guards against a loss of prefix cache hits: in a random choice, many endpoints
	// without the prefix outweighed the few that hold it.
	It("sends prompts with a shared prefix to the same endpoints", func() {
		run := func(roundRobin bool, picker Picker) *simulation {
			list, speeds := mixedFleet()
			sim := newSimulation(1, 8, list, speeds, WithPicker(picker))
			sim.roundRobin, sim.groups, sim.request.PromptTokens = roundRobin, 50, groupPrefixBlocks*tokensPerBlock+200
			sim.run(20*time.Second, 36)
			GinkgoWriter.Printf("%T round robin=%t: recomputed %.0f tokens per request, first token p95 %.2f s\n",
				picker, roundRobin, sim.recomputed/float64(len(sim.totals)), quantile(sim.firsts, 0.95))
			return sim
		}
		near, roundRobin := run(false, NearEqualPicker{}), run(true, nil)
		Expect(near.recomputed).To(BeNumerically("<", 0.5*roundRobin.recomputed))
		Expect(near.recomputed).To(BeNumerically("<=", run(false, LeastPicker{}).recomputed))
	})

	// Guards against an endpoint that receives no requests after it has recovered.
	It("avoids a straggler and uses it again after it has recovered", func() {
		list, speeds := mixedFleet()
		sim := newSimulation(1, 2, list, speeds)
		sim.run(40*time.Second, 60)
		slow := sim.sent[list[1].ID]
		peer := sim.sent[list[2].ID]
		Expect(slow).To(BeNumerically("<", peer/2))
		Expect(slow).To(BeNumerically(">", 0))
		sim.endpoints[1].speed = sim.endpoints[2].speed
		sim.run(40*time.Second, 60)
		clear(sim.sent)
		sim.run(40*time.Second, 60)
		GinkgoWriter.Printf("straggler got %d while slow (peer %d), %d after recovery (peer %d)\n",
			slow, peer, sim.sent[list[1].ID], sim.sent[list[2].ID])
		Expect(sim.sent[list[1].ID]).To(BeNumerically(">", sim.sent[list[2].ID]/2))
	})
})
