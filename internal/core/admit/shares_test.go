package admit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var _ = Describe("Admitter in a queueing model", func() {
	const slots = 20 // 20 slots serve 20,000 tokens/s in the model
	steady := func() []source {
		return []source{
			{workspace: "w1", caller: "u", rank: 0, perSecond: 8, tokens: 500},
			{workspace: "w1", caller: "i", rank: 1, perSecond: 12, tokens: 500},
			{workspace: "w3", caller: "b", rank: 2, perSecond: 3, tokens: 1000},
		}
	}

	// Guards against floods of a less urgent rank that delay urgent requests, and against
	// longer urgent queue times than with a single FIFO queue.
	It("keeps urgent queue times short and all floors in a flood of the lowest rank", func() {
		sources := append(steady(), source{workspace: "w0", caller: "flood", rank: 2, perSecond: 100, tokens: 1000})
		admitted := newModel(1, slots, sources...).run(2 * time.Minute)
		baseline := newModel(1, slots, sources...)
		baseline.fifo = true
		baseline.run(2 * time.Minute)
		GinkgoWriter.Printf("urgent wait p99 %.2f s, one FIFO %.2f s\n", quantile(admitted.waits[0], 0.99), quantile(baseline.waits[0], 0.99))
		Expect(quantile(admitted.waits[0], 0.99)).To(BeNumerically("<", 0.9))
		Expect(quantile(admitted.waits[0], 0.99)).To(BeNumerically("<=", quantile(baseline.waits[0], 0.99)))
		Expect(admitted.shareOf(0)).To(BeNumerically(">=", 0.95*8*500/(slots*1000.0)))
		Expect(admitted.shareOf(1)).To(BeNumerically(">=", 0.95*12*500/(slots*1000.0)))
		Expect(admitted.shareOf(2, 3)).To(BeNumerically(">=", 0.95*0.1))
		Expect(admitted.served[2]).To(BeNumerically(">=", 0.95*3*1000*115))
	})

	// Guards against floods of the most urgent rank that starve the other ranks.
	It("keeps the floors of the other ranks in a flood of the most urgent rank", func() {
		sources := append(steady(), source{workspace: "w0", caller: "flood", rank: 0, perSecond: 200, tokens: 500})
		admitted := newModel(1, slots, sources...).run(2 * time.Minute)
		GinkgoWriter.Printf("shares: urgent %.2f, interactive %.2f, batch %.2f\n", admitted.shareOf(0, 3), admitted.shareOf(1), admitted.shareOf(2))
		Expect(admitted.shareOf(1)).To(BeNumerically(">=", 0.95*0.2))
		Expect(admitted.shareOf(2)).To(BeNumerically(">=", 0.95*0.1))
		Expect(admitted.shareOf(0, 3)).To(BeNumerically(">=", 0.6))
	})

	// Guards against ranks that get more or less than their floor where the floor is a fraction of a slot.
	It("keeps floors on two slots", func() {
		admitted := newModel(1, 2,
			source{workspace: "w1", caller: "u", rank: 0, perSecond: 20, tokens: 300},
			source{workspace: "w1", caller: "i", rank: 1, perSecond: 20, tokens: 300},
			source{workspace: "w1", caller: "b", rank: 2, perSecond: 20, tokens: 300},
		).run(2 * time.Minute)
		GinkgoWriter.Printf("shares on two slots: %.2f %.2f %.2f\n", admitted.shareOf(0), admitted.shareOf(1), admitted.shareOf(2))
		Expect(admitted.shareOf(1)).To(BeNumerically(">=", 0.95*0.2))
		Expect(admitted.shareOf(2)).To(BeNumerically(">=", 0.95*0.1))
		Expect(admitted.shareOf(0)).To(BeNumerically(">", 0.5))
	})

	// Guards against slots that stay free because they are reserved for an unused floor.
	It("gives unused floors to other ranks", func() {
		admitted := newModel(1, slots, source{workspace: "w1", caller: "b", rank: 2, perSecond: 40, tokens: 1000}).run(time.Minute)
		Expect(admitted.served[0]).To(BeNumerically(">=", 0.95*slots*1000*59))
	})

	// Guards against workspaces that get a larger share because their estimates are below the actual cost.
	It("divides by weight in tokens actually generated", func() {
		admitted := newModel(1, slots,
			source{workspace: "w0", caller: "a", rank: 1, perSecond: 40, tokens: 800, estimate: 100},
			source{workspace: "w1", caller: "a", rank: 1, perSecond: 40, tokens: 800},
		).run(2 * time.Minute)
		GinkgoWriter.Printf("share of the workspace of weight 1 of 3: %.3f\n", admitted.shareOf(0))
		Expect(admitted.shareOf(0)).To(BeNumerically("~", 1.0/3, 0.04))
	})

	// Guards against a large caller that delays the small ones of its workspace.
	It("serves small callers about as fast with a large caller as without it", func() {
		small := []source{
			{workspace: "w0", caller: "s1", rank: 1, perSecond: 5, tokens: 400},
			{workspace: "w0", caller: "s2", rank: 1, perSecond: 5, tokens: 400},
			{workspace: "w1", caller: "s3", rank: 1, perSecond: 5, tokens: 400},
		}
		sources := append(small, source{workspace: "w0", caller: "large", rank: 1, perSecond: 100, tokens: 400})
		alone := newModel(1, slots, small...).run(2 * time.Minute)
		admitted := newModel(1, slots, sources...).run(2 * time.Minute)
		baseline := newModel(1, slots, sources...)
		baseline.fifo = true
		baseline.run(2 * time.Minute)
		answer := func(m *model) float64 { return quantile(m.responseTimes[0], 0.95) }
		GinkgoWriter.Printf("small caller's p95: %.3f s, without the large one %.3f s, one FIFO %.3f s\n", answer(admitted), answer(alone), answer(baseline))
		Expect(answer(admitted)).To(BeNumerically("<=", 1.2*answer(alone)))
		Expect(answer(admitted)).To(BeNumerically("<=", answer(baseline)))
	})

	// Guards against workspace shares that are right at each entry but wrong over the failure domain.
	It("keeps workspace shares over two entries", func() {
		sources := []source{
			{workspace: "w0", caller: "a", rank: 1, perSecond: 60, tokens: 800, entry: 0},
			{workspace: "w2", caller: "a", rank: 1, perSecond: 60, tokens: 800, entry: 0},
			{workspace: "w0", caller: "a", rank: 1, perSecond: 10, tokens: 800, entry: 1},
			{workspace: "w4", caller: "a", rank: 1, perSecond: 60, tokens: 800, entry: 1},
		}
		separate := newModel(2, slots, sources...).run(2 * time.Minute)
		exchanging := newModel(2, slots, sources...)
		exchanging.exchangeInterval = 250 * time.Millisecond
		exchanging.run(2 * time.Minute)
		GinkgoWriter.Printf("share of w0 of 1/3 due: %.3f, without exchangeInterval %.3f\n", exchanging.shareOf(0, 2), separate.shareOf(0, 2))
		Expect(exchanging.shareOf(0, 2)).To(BeNumerically("~", 1.0/3, 0.05))
	})
})

// Guards against floors that are not kept for some capacity, combination of
// floors or flooding rank. Each rank must get 95% of its floor, or of its demand
// if that is less.
func TestFloorsInFloods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(2, 24).Draw(t, "slots")
		flood := rapid.SampledFrom([]int{0, 2}).Draw(t, "flooding rank")
		doc := testDocument()
		var sources []source
		for i := range doc.Ranks {
			doc.Ranks[i].Floor = float64(rapid.IntRange(5, 30).Draw(t, "floor")) / 100
			tokens := rapid.IntRange(200, 500).Draw(t, "tokens")
			load := float64(rapid.IntRange(10, 150).Draw(t, "load")) / 100 * doc.Ranks[i].Floor
			if i == flood {
				load = 2
			}
			perSecond := load * float64(slots) / (float64(tokens) * modelTokenTime.Seconds())
			sources = append(sources, source{workspace: "w1", caller: "c", rank: i, tokens: tokens, perSecond: perSecond})
		}
		m := newModel(1, slots, sources...)
		m.entries[0].Configure(doc)
		m.run(5 * time.Second)
		before := append([]float64(nil), m.served...)
		offered := append([]float64(nil), m.offered...)
		m.run(30 * time.Second)
		total := 0.0 // less than the capacity, since the time steps of the model leave slots partly unused
		for i := range m.served {
			total += m.served[i] - before[i]
		}
		for i, r := range doc.Ranks {
			due := min(r.Floor*total, m.offered[i]-offered[i])
			if got := m.served[i] - before[i]; got < 0.95*due-float64(slots*sources[i].tokens) {
				t.Fatalf("rank %d got %.0f tokens of %.0f due (floor %.2f, %d slots)", i, got, due, r.Floor, slots)
			}
		}
	})
}

// Guards against shares that differ from the weights for some combination of
// weights, costs and wrong estimates.
func TestWeightsUnderBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := testDocument()
		var sources []source
		weights := 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "workspaces") {
			doc.Workspaces[i].Weight = float64(rapid.IntRange(1, 5).Draw(t, "weight"))
			weights += doc.Workspaces[i].Weight
			tokens := rapid.IntRange(200, 500).Draw(t, "tokens")
			sources = append(sources, source{
				workspace: fmt.Sprint("w", i), caller: "c", rank: 1, tokens: tokens, perSecond: 2 * 8 * 1000 / float64(tokens),
				estimate: tokens * rapid.IntRange(25, 200).Draw(t, "estimate") / 100,
			})
		}
		m := newModel(1, 8, sources...)
		m.entries[0].Configure(doc)
		m.run(30 * time.Second)
		for i := range sources {
			if due, got := doc.Workspaces[i].Weight/weights, m.shareOf(i); got < 0.9*due || got > 1.1*due {
				t.Fatalf("workspace %d got %.3f, due %.3f", i, got, due)
			}
		}
	})
}
