package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/core/retry"
)

// Figures of the deployment that is played.
const (
	budgetEntries   = 9
	budgetRatio     = 0.2
	budgetAllowance = 54.0
	budgetWindow    = 10 * time.Second
	// usedShare is the part of ratio and allowance that entries use.
	usedShare = 0.7
	// requestInterval is the time between two requests, each of which is repeated if it may.
	requestInterval = 75 * time.Millisecond
)

// repeatRun plays entries that repeat as many requests as their budgets allow.
type repeatRun struct {
	start             time.Time
	budgets           []*retry.WindowBudget
	requests, repeats []time.Duration
}

func newBudgets(count int, now time.Time) []*retry.WindowBudget {
	list := make([]*retry.WindowBudget, count)
	for i := range list {
		list[i] = retry.NewWindowBudget(retry.WindowLimits{Window: budgetWindow, Share: budgetRatio * usedShare}, now)
		list[i].SetAllowance(budgetAllowance*usedShare/float64(count), now)
	}
	return list
}

// play sends requests from one time to another and tells the entries their number often.
func (r *repeatRun) play(from, to time.Duration) {
	for at := from; at < to; at += requestInterval {
		now := r.start.Add(at)
		for _, b := range r.budgets {
			b.SetAllowance(budgetAllowance*usedShare/float64(len(r.budgets)), now)
		}
		b := r.budgets[int(at/requestInterval)%len(r.budgets)]
		b.First("s", now)
		r.requests = append(r.requests, at)
		if b.AllowRepeat("s", now) {
			r.repeats = append(r.repeats, at)
		}
	}
}

// mostAbove returns by how many the repeats in any window exceed what the deployment allows.
func (r *repeatRun) mostAbove() float64 {
	most := 0.0
	for _, end := range r.repeats {
		allowed := budgetRatio*float64(countWithin(r.requests, end)) + budgetAllowance
		most = max(most, float64(countWithin(r.repeats, end))-allowed)
	}
	return most
}

// countWithin counts the times in the window that ends at one.
func countWithin(list []time.Duration, end time.Duration) int {
	n := 0
	for _, at := range list {
		if at > end-budgetWindow && at <= end {
			n++
		}
	}
	return n
}

// Guards against repeats beyond the budget of the deployment, because processes that start
// again may use a whole allowance once more within the window.
func TestRestartedEntriesKeepTheBudget(t *testing.T) {
	g := NewWithT(t)
	r := &repeatRun{start: time.Now()}
	r.budgets = newBudgets(budgetEntries, r.start.Add(-time.Minute))
	r.play(0, 4*time.Second)
	for _, at := range []time.Duration{4 * time.Second, 6 * time.Second, 8 * time.Second} {
		r.budgets = newBudgets(budgetEntries, r.start.Add(at))
		r.play(at, at+2*time.Second)
	}
	g.Expect(r.mostAbove()).To(BeZero())
}

// Guards against the same, because the entries that are left take over the allowance of those
// that were lost, who may have used it just before.
func TestLostEntriesLeaveTheirAllowanceLater(t *testing.T) {
	g := NewWithT(t)
	r := &repeatRun{start: time.Now()}
	r.budgets = newBudgets(budgetEntries, r.start.Add(-time.Minute))
	r.play(0, 5*time.Second)
	r.budgets = r.budgets[:2]
	r.play(5*time.Second, 9*time.Second)
	g.Expect(r.mostAbove()).To(BeZero())
	r.play(9*time.Second, 40*time.Second)
	g.Expect(countWithin(r.repeats, 39*time.Second)).To(BeNumerically(">", 50), "the allowance is used by those that are left")
}

// Guards against repeats that the budget loses because the attempt they were taken for was not
// made.
func TestReturnedRepeatIsAllowedAgain(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := retry.NewWindowBudget(retry.WindowLimits{Window: budgetWindow, Allowance: 1}, now)
	g.Expect(b.AllowRepeat("s", now)).To(BeTrue())
	later := now.Add(budgetWindow / 2)
	g.Expect(b.AllowRepeat("s", later)).To(BeFalse())
	b.ReturnRepeat("s", later)
	g.Expect(b.AllowRepeat("s", later)).To(BeTrue())
	b.ReturnRepeat("other", later)
}
