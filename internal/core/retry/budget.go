package retry

import (
	"math"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	// budgetHalfLife is the half-life of the counts of first attempts and retries.
	budgetHalfLife = 10 * time.Second
	// minWorkspaceRetries and minTotalRetries are the decayed counts of retries
	// that are allowed even if there are few or no first attempts, so that
	// retries are possible at low traffic.
	minWorkspaceRetries = 3
	minTotalRetries     = 10
	// minRetainedCount is the decayed count below which a workspace is dropped.
	minRetainedCount = 0.01
	// maxWorkspaces is the number of workspaces from which on idle ones are
	// dropped before another one is added.
	maxWorkspaces = 4096
)

// Kind is the reason for a further attempt.
type Kind int

// Kinds of further attempt.
const (
	// AfterFailure is a retry after a failed attempt. It counts against the
	// budget.
	AfterFailure Kind = iota
	// AfterReclaim resumes a request from an endpoint that gave notice of its
	// reclaim. It does not count against the budget, because the number of such
	// attempts is bounded by the number of requests that were running.
	AfterReclaim
	// AfterLoss resumes a request from an endpoint that crashed or whose
	// connections stopped responding. It does not count against the budget, for
	// the same reason, but it counts as an attempt: there was no notice, and the
	// next endpoint may be lost as well.
	AfterLoss
)

// Budget bounds retries to a share of first attempts, per workspace and in
// total. It is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex
	share       float64
	maxAttempts int
	total       counter
	workspaces  map[string]*counter
}

// counter holds decayed counts of first attempts and retries.
type counter struct {
	first, retries float64
	updated        time.Time
}

func (c *counter) decay(now time.Time) {
	if elapsed := now.Sub(c.updated); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(budgetHalfLife))
		c.first *= factor
		c.retries *= factor
		c.updated = now
	}
}

func (c *counter) allows(share, minimum float64) bool {
	return c.retries+1 <= max(share*c.first, minimum)
}

// NewBudget returns a budget with the limits of the document.
func NewBudget(config conf.Retry) *Budget {
	b := &Budget{workspaces: make(map[string]*counter)}
	b.Configure(config)
	return b
}

// Configure applies a new generation of the document.
func (b *Budget) Configure(config conf.Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.maxAttempts = config.BudgetShare, max(config.MaxAttempts, 1)
}

// First counts a first attempt.
func (b *Budget) First(workspace string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.workspace(workspace, now)
	w.first++
	b.total.decay(now)
	b.total.first++
}

// Retry requests a further attempt for a request that has made the given number of
// attempts. It returns nil and counts the retry, or returns a *BudgetError. A
// resume after notice of a reclaim is always allowed and not counted. The caller
// must not include such resumes in attempts.
func (b *Budget) Retry(workspace string, kind Kind, attempts int, now time.Time) error {
	if kind == AfterReclaim {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempts >= b.maxAttempts {
		return &BudgetError{Scope: ScopeRequest, Workspace: workspace}
	}
	if kind == AfterLoss {
		return nil
	}
	w := b.workspace(workspace, now)
	b.total.decay(now)
	if !w.allows(b.share, minWorkspaceRetries) {
		return &BudgetError{Scope: ScopeWorkspace, Workspace: workspace}
	}
	if !b.total.allows(b.share, minTotalRetries) {
		return &BudgetError{Scope: ScopeTotal, Workspace: workspace}
	}
	w.retries++
	b.total.retries++
	return nil
}

func (b *Budget) workspace(name string, now time.Time) *counter {
	c := b.workspaces[name]
	if c == nil {
		if len(b.workspaces) >= maxWorkspaces {
			b.dropIdleWorkspaces(now)
		}
		c = &counter{updated: now}
		b.workspaces[name] = c
	}
	c.decay(now)
	return c
}

func (b *Budget) dropIdleWorkspaces(now time.Time) {
	for name, c := range b.workspaces {
		c.decay(now)
		if c.first+c.retries < minRetainedCount {
			delete(b.workspaces, name)
		}
	}
}
