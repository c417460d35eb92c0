package retry

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/boragelead/boragelead/internal/core/conf"
)

var config = conf.Retry{BudgetShare: 0.2, MaxAttempts: 5, BackoffBaseMS: 25, BackoffMaxMS: 1000}

func scopeOf(err error) Scope {
	var budgetErr *BudgetError
	if errors.As(err, &budgetErr) {
		return budgetErr.Scope
	}
	return ""
}

var _ = Describe("Budget", func() {
	// Guards against retries that multiply the load when all attempts fail, and
	// against a workspace that uses up the budget of the others.
	It("bounds retries to a share of first attempts", func() {
		b := NewBudget(config)
		sent := map[string]int{}
		for i := range 1000 {
			for _, w := range []string{"bad", "good"} {
				b.First(w, epoch)
				if w == "bad" || i%100 == 99 {
					for attempts := 1; b.Retry(w, AfterFailure, attempts, epoch) == nil; attempts++ {
						sent[w]++
					}
				}
			}
		}
		GinkgoWriter.Printf("1000 first attempts that all fail: %d retries; unbounded %d\n", sent["bad"], 1000*(config.MaxAttempts-1))
		Expect(sent["bad"]).To(BeNumerically("<=", 200+minWorkspaceRetries))
		Expect(sent["good"]).To(BeNumerically(">=", 10))
	})

	// Guards against a system with little traffic that cannot retry, and against
	// reclaims that use up the budget.
	It("allows a few retries without traffic and every resume after a reclaim", func() {
		b := NewBudget(config)
		for range 1000 {
			Expect(b.Retry("w", AfterReclaim, 9, epoch)).To(Succeed())
		}
		for range minWorkspaceRetries {
			Expect(b.Retry("w", AfterFailure, 1, epoch)).To(Succeed())
		}
		Expect(scopeOf(b.Retry("w", AfterFailure, 1, epoch))).To(Equal(ScopeWorkspace))
		Expect(scopeOf(b.Retry("v", AfterFailure, 5, epoch))).To(Equal(ScopeRequest))
		for i := range minTotalRetries - minWorkspaceRetries {
			Expect(b.Retry(string(rune('a'+i)), AfterFailure, 1, epoch)).To(Succeed())
		}
		Expect(scopeOf(b.Retry("v", AfterFailure, 1, epoch))).To(Equal(ScopeTotal))
		Expect(b.Retry("v", AfterFailure, 1, epoch.Add(time.Minute))).To(Succeed())
	})
})

// Guards against pauses above the bound, and against synchronized retries.
func TestBackoffProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		retry := rapid.IntRange(0, 1000).Draw(t, "retry")
		bound := min(time.Duration(25<<min(retry, 10)), 1000) * time.Millisecond
		low, high := bound, time.Duration(0)
		for range 200 {
			pause := Backoff(config, retry, random)
			low, high = min(low, pause), max(high, pause)
		}
		if low < 0 || high > bound || high-low < bound/2 {
			t.Fatalf("retry %d: pauses from %s to %s, bound %s", retry, low, high, bound)
		}
	})
}

var _ = Describe("Breaker", func() {
	// Guards against attempts sent to a dead endpoint, too many attempts sent to a
	// recovering one, and a lost probe that keeps the breaker open forever.
	It("opens, probes one at a time and closes", func() {
		b := &Breaker{}
		for range failureThreshold {
			Expect(b.Allow(epoch)).To(BeTrue())
			b.Failure(epoch)
		}
		Expect(b.Allow(epoch.Add(initialPause / 2))).To(BeFalse())
		probe := epoch.Add(initialPause)
		Expect(b.State(probe)).To(Equal(HalfOpen))
		Expect(b.Allow(probe)).To(BeTrue())
		Expect(b.Allow(probe)).To(BeFalse())
		b.Failure(probe)
		Expect(b.Allow(probe.Add(initialPause))).To(BeFalse())
		probe = probe.Add(2 * initialPause)
		Expect(b.Allow(probe)).To(BeTrue())
		Expect(b.Allow(probe.Add(probeTimeout))).To(BeTrue())
		b.Success()
		Expect(b.Allow(probe.Add(probeTimeout))).To(BeTrue())
		b.Success()
		Expect(b.State(probe)).To(Equal(Closed))
	})

	// Guards against a breaker that opens although the failures are not consecutive.
	It("stays closed while successes occur between failures", func() {
		b := &Breaker{}
		for range 100 {
			b.Failure(epoch)
			b.Failure(epoch)
			b.Success()
		}
		Expect(b.State(epoch)).To(Equal(Closed))
	})
})

var _ = Describe("Hedge", func() {
	// Guards against a non-idempotent call that runs twice, and against hedges
	// without benefit.
	It("is sent only if every condition is met", func() {
		good := HedgeInput{
			Idempotent: true, FreeSlots: true, Waited: 600 * time.Millisecond, Expected: 150 * time.Millisecond,
			Alternative: 200 * time.Millisecond, Target: 900 * time.Millisecond,
		}
		Expect(ShouldHedge(good)).To(BeTrue())
		for _, spoil := range []func(*HedgeInput){
			func(in *HedgeInput) { in.Idempotent = false },
			func(in *HedgeInput) { in.Started = true },
			func(in *HedgeInput) { in.Hedges = 1 },
			func(in *HedgeInput) { in.FreeSlots = false },
			func(in *HedgeInput) { in.Waited = 300 * time.Millisecond },
			func(in *HedgeInput) { in.Alternative = time.Second },
			func(in *HedgeInput) { in.Expected = 0 },
		} {
			in := good
			spoil(&in)
			Expect(ShouldHedge(in)).To(BeFalse())
		}
	})
})
