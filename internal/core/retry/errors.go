package retry

import "fmt"

// Scope is the scope of the budget that is exhausted.
type Scope string

// Scopes of a budget.
const (
	ScopeWorkspace Scope = "workspace"
	ScopeTotal     Scope = "total"
	ScopeRequest   Scope = "request"
)

// BudgetError reports that a retry is not allowed now.
type BudgetError struct {
	Scope     Scope
	Workspace string
}

// Error implements error.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("retry budget of the %s spent (workspace %q)", e.Scope, e.Workspace)
}
