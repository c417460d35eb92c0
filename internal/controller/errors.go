package controller

import (
	"fmt"

	"github.com/boragelead/boragelead/internal/core/fleet"
)

// LeaseError says that the lease ends too soon for an order, or is not held.
type LeaseError struct{ Holder string }

// Error implements error.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("the controller lease does not cover the order (known holder %q)", e.Holder)
}

// StepError says that the planner produced a step of unknown kind.
type StepError struct{ Kind fleet.StepKind }

// Error implements error.
func (e *StepError) Error() string { return fmt.Sprintf("unknown kind of step %q", e.Kind) }

// TokenError says that no client token is left for a pool and model.
type TokenError struct {
	Pool  fleet.Pool
	Model string
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("no client token is left for model %q in pool %+v", e.Model, e.Pool)
}
