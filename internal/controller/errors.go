package controller

import (
	"fmt"

	"github.com/boragelead/boragelead/internal/core/fleet"
)

// LeaseError reports that the lease is not held or ends too soon for an order.
type LeaseError struct{ Holder string }

// Error implements error.
func (e *LeaseError) Error() string {
	return fmt.Sprintf("the controller lease does not cover the order (known holder %q)", e.Holder)
}

// StepError reports that the planner produced a step of unknown kind.
type StepError struct{ Kind fleet.StepKind }

// Error implements error.
func (e *StepError) Error() string { return fmt.Sprintf("unknown kind of step %q", e.Kind) }

// TokenError reports that all client tokens of a pool and model are in use.
type TokenError struct {
	Pool  fleet.Pool
	Model string
}

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("no client token is left for model %q in pool %+v", e.Model, e.Pool)
}
