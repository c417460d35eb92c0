package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// simEndpoint simulates an endpoint whose time between tokens grows linearly with
// the batch size.
type simEndpoint struct{ base, slope time.Duration }

func (e simEndpoint) interval(batch int) time.Duration {
	return e.base + e.slope*time.Duration(batch)
}

// runSaturated keeps as many requests in flight as the limit allows. It returns
// the batch sizes of the second half of the windows.
func runSaturated(l *Limiter, e simEndpoint, now time.Time, windows int, noise float64) []int {
	random := rand.New(rand.NewPCG(1, 2))
	var batches []int
	for i := range windows {
		batch := l.Limit()
		for range 10 {
			now = now.Add(60 * time.Millisecond)
			factor := 1 + noise*(2*random.Float64()-1)
			l.ObserveTokens(time.Duration(float64(e.interval(batch))*factor), 8, batch, now)
		}
		if i >= windows/2 {
			batches = append(batches, batch)
		}
	}
	return batches
}

var _ = Describe("Limiter", func() {
	target := Target{PerToken: 40 * time.Millisecond, FirstToken: time.Second}

	// Guards against limits that miss the target on a slow endpoint, leave a fast
	// endpoint underused, or oscillate with noise. A static limit equal to the
	// slots misses the target.
	It("meets the target on an endpoint where a static limit misses it", func() {
		slow := simEndpoint{base: 20 * time.Millisecond, slope: 2 * time.Millisecond}
		batches := runSaturated(NewLimiter(32, target), slow, epoch, 200, 0.1)
		late, sum := 0, 0
		for _, b := range batches {
			sum += b
			if slow.interval(b) > target.PerToken+target.PerToken/20 {
				late++
			}
		}
		GinkgoWriter.Printf("mean batch %.1f of 10 possible, %d of %d windows late; static limit 32: %s between tokens\n",
			float64(sum)/float64(len(batches)), late, len(batches), slow.interval(32))
		Expect(late).To(BeNumerically("<=", len(batches)/20))
		Expect(float64(sum) / float64(len(batches))).To(BeNumerically(">=", 8.5))
		fast := simEndpoint{base: 5 * time.Millisecond, slope: 100 * time.Microsecond}
		l := NewLimiter(32, target)
		runSaturated(l, fast, epoch, 100, 0.1)
		Expect(l.Limit()).To(Equal(40))
	})

	// Guards against a limit of 0 on an endpoint that misses the target, because an
	// endpoint without work cannot show that it has recovered.
	It("keeps a limit of 1 on an endpoint that always misses the target and raises it after a recovery", func() {
		l := NewLimiter(8, target)
		runSaturated(l, simEndpoint{base: time.Second}, epoch, 50, 0)
		Expect(l.Limit()).To(Equal(1))
		runSaturated(l, simEndpoint{base: 10 * time.Millisecond, slope: time.Millisecond}, epoch.Add(time.Hour), 50, 0)
		Expect(l.Limit()).To(BeNumerically(">=", 8))
	})

	// Guards against a limit that grows although the requests in flight do not reach
	// it, so that nothing shows that the endpoint can take more.
	It("keeps the limit while it does not bind, and lowers it when first tokens are late", func() {
		l := NewLimiter(8, target)
		for i := range 100 {
			l.ObserveTokens(10*time.Millisecond, 8, 2, epoch.Add(time.Duration(i)*100*time.Millisecond))
		}
		Expect(l.Limit()).To(Equal(8))
		for i := range 100 {
			l.ObserveFirst(2*time.Second, 8, epoch.Add(time.Minute+time.Duration(i)*100*time.Millisecond))
		}
		Expect(l.Limit()).To(Equal(1))
	})
})

// Guards against a limit of 0, which stops all work, and against a limit far above
// the slots.
func TestLimiterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, now := rapid.IntRange(0, 64).Draw(t, "slots"), epoch
		l := NewLimiter(slots, Target{PerToken: time.Duration(rapid.IntRange(0, 100).Draw(t, "target")) * time.Millisecond})
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			now = now.Add(200 * time.Millisecond)
			interval := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			l.ObserveTokens(interval, rapid.IntRange(0, 50).Draw(t, "count"), rapid.IntRange(0, 100).Draw(t, "inFlight"), now)
			if n := l.Limit(); n < 1 || float64(n) > maxLimitPerSlot*float64(max(slots, 1)) {
				t.Fatalf("limit %d is out of bounds for %d slots", n, slots)
			}
		}
	})
}

// Guards against parts that sum to more or less than the limit, entries without a
// floor, and entries that compute different divisions.
func TestDivideProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 60).Draw(t, "limit")
		demands := make([]Demand, rapid.IntRange(1, 32).Draw(t, "entries"))
		total := 0
		for i := range demands {
			demands[i] = Demand{Entry: fmt.Sprint("d", i), Wanted: rapid.IntRange(0, 20).Draw(t, "wanted")}
			total += demands[i].Wanted
		}
		parts := Divide("e", limit, demands)
		again := Divide("e", limit, rapid.Permutation(demands).Draw(t, "order"))
		sum, met, equalMet := 0, 0, 0
		for _, d := range demands {
			part := parts[d.Entry]
			sum += part
			met += min(part, d.Wanted)
			equalMet += min(limit/len(demands), d.Wanted)
			if part != again[d.Entry] {
				t.Fatalf("%s gets %d slots or, with the demands in another order, %d", d.Entry, part, again[d.Entry])
			}
			if limit >= len(demands) && part < 1 {
				t.Fatalf("%s has no slot although the limit covers all entries", d.Entry)
			}
		}
		if sum != limit || met < equalMet || (limit < len(demands) && met < min(limit, len(demands), total)-total) {
			t.Fatalf("parts sum to %d of %d, met demand %d, met by an equal division %d", sum, limit, met, equalMet)
		}
	})
}

var _ = Describe("Shares", func() {
	// Guards against a dead entry whose part no other entry may use, and against
	// parts that sum to more than the limit.
	It("divides by demand and reassigns the part of a peer whose reports stop", func() {
		a, b := NewShares("a", time.Second), NewShares("b", time.Second)
		a.SetOwn([]EndpointReport{{Endpoint: "e", Wanted: 4, Limit: 10, Samples: 5}})
		b.SetOwn([]EndpointReport{{Endpoint: "e", Wanted: 12}})
		Expect(a.Share("e", 8)).To(Equal(10))
		exchange := func(from, to *Shares, name string) {
			data, err := from.Payload()
			Expect(err).NotTo(HaveOccurred())
			Expect(to.Merge(name, data, epoch)).To(Succeed())
		}
		b.SetOwn([]EndpointReport{{Endpoint: "e", Wanted: 12}, {Endpoint: "idle"}})
		exchange(a, b, "a")
		exchange(b, a, "b")
		Expect(a.Share("e", 8) + b.Share("e", 8)).To(Equal(10))
		Expect(b.Share("e", 8)).To(BeNumerically(">", a.Share("e", 8)))
		Expect(a.Share("e", 8)).To(BeNumerically(">=", 1))
		a.Expire(epoch.Add(999 * time.Millisecond))
		Expect(a.Share("e", 8)).To(BeNumerically("<", 10))
		a.Expire(epoch.Add(1001 * time.Millisecond))
		Expect(a.Share("e", 8)).To(Equal(10))
		Expect(a.Merge("b", []byte{0xc1}, epoch)).NotTo(Succeed())
		var active []EndpointReport
		for i := range 192 {
			report := EndpointReport{Endpoint: fmt.Sprintf("e%04d", i)}
			if i < 30 {
				report.Wanted, report.Limit, report.Samples = 1, 32, 100
			}
			active = append(active, report)
		}
		a.SetOwn(active)
		data, err := a.Payload()
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Printf("report of 30 active endpoints of 192: %d bytes\n", len(data))
		Expect(len(data)).To(BeNumerically("<", 30*20))
	})
})
