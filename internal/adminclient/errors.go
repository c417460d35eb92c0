package adminclient

import (
	"fmt"

	"github.com/boragelead/boragelead/internal/status"
)

// Error is an error answer of the daemon.
type Error struct {
	// Status is the HTTP status.
	Status int
	Detail status.ErrorDetail
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s, status %d)", e.Detail.Message, e.Detail.Code, e.Status)
}

// UnreachableError reports that the client received no usable answer. The daemon
// may still have processed the request, for example a promotion.
type UnreachableError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
