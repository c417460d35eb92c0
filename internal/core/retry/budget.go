package retry

import (
	"math"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	// budgetHalfLife is the memory of first attempts and retries.
	budgetHalfLife = 10 * time.Second
	// minWorkspace and minTotal are the retries allowed within the memory
	// without first attempts, so that a quiet system can retry.
	minWorkspace = 3
	minTotal     = 10
	// dropBelow is the decayed count under which a workspace is forgotten.
	dropBelow = 0.01
	// maxWorkspaces bounds the map; it is swept when full.
	maxWorkspaces = 4096
)

// Kind is the cause of a further attempt.
type Kind int

// Kinds of further attempt.
const (
	// AfterFailure spends the budget.
	AfterFailure Kind = iota
	// AfterReclaim resumes work of an endpoint that announced its end. It
	// spends nothing: its number is bounded by the work that was running.
	AfterReclaim
	// AfterLoss resumes work of an endpoint that died or whose connections went
	// silent. It spends no budget, for the same reason, but counts as an
	// attempt: nothing was announced, and the next endpoint may be lost as well.
	AfterLoss
)

// Budget bounds retries to a share of first attempts, per workspace and in
// total. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	share      float64
	maximum    int
	total      counter
	workspaces map[string]*counter
}

// counter holds decayed counts of first attempts and retries.
type counter struct {
	first, retries float64
	at             time.Time
}

func (c *counter) decay(now time.Time) {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(budgetHalfLife))
		c.first *= keep
		c.retries *= keep
		c.at = now
	}
}

func (c *counter) allows(share, minimum float64) bool {
	return c.retries+1 <= max(share*c.first, minimum)
}

// NewBudget returns a budget by the document.
func NewBudget(config conf.Retry) *Budget {
	b := &Budget{workspaces: make(map[string]*counter)}
	b.Configure(config)
	return b
}

// Configure takes a new generation of the document.
func (b *Budget) Configure(config conf.Retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.maximum = config.BudgetShare, max(config.MaxAttempts, 1)
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

// Retry asks for a further attempt of a request that has made the given number
// of attempts. It returns nil, and counts the retry, or a *BudgetError.
// Resumptions after an announced reclaim are always allowed and not counted;
// the caller leaves them out of attempts as well.
func (b *Budget) Retry(workspace string, kind Kind, attempts int, now time.Time) error {
	if kind == AfterReclaim {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if attempts >= b.maximum {
		return &BudgetError{Scope: ScopeRequest, Workspace: workspace}
	}
	if kind == AfterLoss {
		return nil
	}
	w := b.workspace(workspace, now)
	b.total.decay(now)
	if !w.allows(b.share, minWorkspace) {
		return &BudgetError{Scope: ScopeWorkspace, Workspace: workspace}
	}
	if !b.total.allows(b.share, minTotal) {
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
			b.sweep(now)
		}
		c = &counter{at: now}
		b.workspaces[name] = c
	}
	c.decay(now)
	return c
}

func (b *Budget) sweep(now time.Time) {
	for name, c := range b.workspaces {
		c.decay(now)
		if c.first+c.retries < dropBelow {
			delete(b.workspaces, name)
		}
	}
}
