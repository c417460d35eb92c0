package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a burst of entries that were idle, against a rate far below one a
// second that admits nothing, and against one that all entries use at the same time.
// The bound is that of the users: in 4 s one and a half times the rate and 5 more.
func TestPermitsOfManyEntriesKeepTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		count := rapid.SampledFrom([]int{1, 9, 88, 370}).Draw(t, "entries")
		perS := rapid.SampledFrom([]float64{0.25, 1, 3.1, 12, 200}).Draw(t, "limit")
		entries, demand, total := make([]*Permits, count), make([]float64, count), 0.0
		for i := range demand {
			demand[i] = 0.2 + random.Float64()
			total += demand[i]
		}
		endpoint := rapid.StringN(1, 4, 8).Draw(t, "endpoint")
		share := func(i int) float64 {
			return RateShare(endpoint, perS, Sharer{Rank: i, Entries: count, DemandShare: demand[i] / total})
		}
		for i := range entries {
			entries[i] = NewPermits(share(i), random.Float64(), epoch)
		}
		var sent []time.Time
		const step, seconds = 20 * time.Millisecond, 24
		idleFrom := epoch.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "idle from")) * time.Second)
		idleUntil := idleFrom.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "idle for")) * time.Second)
		for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(step) {
			if now.After(idleFrom) && now.Before(idleUntil) {
				continue
			}
			for i, p := range entries {
				if random.IntN(20) == 0 {
					// Reports of the demand change the shares a little all the time.
					p.SetRate(share(i)*(0.98+0.04*random.Float64()), now)
				}
				for p.Available(now) {
					if !p.Take(now) {
						t.Fatalf("entry %d: permit available but not taken", i)
					}
					sent = append(sent, now)
				}
				if next := p.NextAt(now); !next.After(now) {
					t.Fatalf("entry %d: next permit at %s, now %s", i, next, now)
				}
			}
		}
		for i, from := range sent {
			end, _ := slices.BinarySearchFunc(sent, from.Add(4*time.Second), time.Time.Compare)
			if got, bound := end-i, 1.5*perS*4+5; float64(got) > bound {
				t.Fatalf("%d requests in 4 s, bound %.1f", got, bound)
			}
		}
		active := seconds - idleUntil.Sub(idleFrom).Seconds()
		if want := perS*active*0.8 - 3; float64(len(sent)) < want {
			t.Fatalf("%d requests in %.0f s, at least %.0f expected", len(sent), active, want)
		}
	})
}

// Guards against shares that do not add up to the limit, and against entries without
// a share of any endpoint.
func TestRateSharesAddUp(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{1, 9, 88, 370} {
		for _, perS := range []float64{0.25, 1, 3.1, 12, 200} {
			withShare := map[int]bool{}
			for endpoint := range 10 * count {
				sum := 0.0
				for rank := range count {
					share := RateShare(fmt.Sprint("e", endpoint), perS, Sharer{Rank: rank, Entries: count, DemandShare: 1 / float64(count)})
					sum += share
					withShare[rank] = withShare[rank] || share > 0
				}
				g.Expect(sum).To(BeNumerically("~", perS, 1e-9))
			}
			g.Expect(withShare).To(HaveLen(count))
		}
	}
	g.Expect(RateShare("e", 1, Sharer{Rank: -1, Entries: 16, DemandShare: 1.0 / 16})).To(BeZero())
	unused := NewPermits(0, 0.5, epoch)
	g.Expect(unused.Take(epoch.Add(time.Minute))).To(BeFalse())
	g.Expect(unused.NextAt(epoch)).To(BeTemporally(">", epoch.Add(time.Minute)))
	unused.SetRate(1, epoch)
	g.Expect(unused.Take(epoch.Add(time.Second))).To(BeTrue())
}

// Guards against a change of the rate that loses or adds permits.
func TestPermitsKeepTheirPhaseWhenTheRateChanges(t *testing.T) {
	g := NewWithT(t)
	p := NewPermits(1, 0.5, epoch)
	g.Expect(p.Available(epoch)).To(BeFalse())
	p.SetRate(2, epoch)
	g.Expect(p.NextAt(epoch)).To(Equal(epoch.Add(250 * time.Millisecond)))
	now := epoch.Add(250 * time.Millisecond)
	p.SetRate(1, now)
	g.Expect(p.Take(now)).To(BeTrue())
	g.Expect(p.Take(now)).To(BeFalse())
	g.Expect(p.Available(now.Add(time.Second))).To(BeTrue())
}

// Guards against requests without a permit that are not made up for, and against a debt
// that stops an entry for long, also after its share has fallen.
func TestPermitsTakenAheadAreMadeUpFor(t *testing.T) {
	g := NewWithT(t)
	p := NewPermits(2, 0, epoch)
	p.TakeAhead(epoch)
	g.Expect(p.Take(epoch)).To(BeFalse())
	g.Expect(p.Available(epoch.Add(500 * time.Millisecond))).To(BeFalse())
	g.Expect(p.NextAt(epoch)).To(Equal(epoch.Add(time.Second)))
	g.Expect(p.Available(epoch.Add(time.Second))).To(BeTrue())
	for range 100 {
		p.TakeAhead(epoch)
	}
	g.Expect(p.NextAt(epoch)).To(Equal(epoch.Add(maxDebtTime + time.Second/2)))
	p.SetRate(0.5, epoch)
	g.Expect(p.NextAt(epoch)).To(Equal(epoch.Add(maxDebtTime + 2*time.Second)))
	p.SetRate(0, epoch)
	p.TakeAhead(epoch)
	p.SetRate(1, epoch)
	g.Expect(p.NextAt(epoch)).To(Equal(epoch.Add(2 * time.Second)))
}
