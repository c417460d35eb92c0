package peerrpc

import (
	"errors"
	"fmt"
)

// RemoteError is an error that the called daemon returned.
type RemoteError struct {
	Address string
	Method  string
	// Code is the JSON-RPC error code.
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s at %s failed with code %d: %s", e.Method, e.Address, e.Code, e.Message)
}

// NotRun reports whether the error proves that the handler of the method was not started.
func (e *RemoteError) NotRun() bool { return e.Code == codeBusy || e.Code == codeNoMethod }

// UnreachableError reports that the connection could not be made or that it broke.
type UnreachableError struct {
	Address string
	// Sent is set if a byte of the request may have been sent.
	Sent bool
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("daemon at %s is unreachable (sent=%t): %v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// TimeoutError reports that the deadline of the call passed or its context ended.
type TimeoutError struct {
	Address string
	Method  string
	// Sent is set if a byte of the request may have been sent.
	Sent bool
	Err  error
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s at %s timed out (sent=%t): %v", e.Method, e.Address, e.Sent, e.Err)
}

// Unwrap returns the error of the context.
func (e *TimeoutError) Unwrap() error { return e.Err }

// FrameSizeError reports that a message is longer than the protocol allows.
type FrameSizeError struct{ Size, Limit uint64 }

// Error implements error.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// SilentError is the cause of an UnreachableError if the connection stayed open but
// did not answer a probe in time.
type SilentError struct{}

// Error implements error.
func (*SilentError) Error() string { return "connection carries no data and a probe was not answered" }

// ClosedError reports that this node closed the connection, because the connection
// was idle or because the node itself was closed.
type ClosedError struct{}

// Error implements error.
func (*ClosedError) Error() string {
	return "connection was closed because it was idle or the node was closed"
}

// MayHaveBeenSent reports whether the request of a failed call may have reached the
// other daemon. A result of false proves that the request was not run.
func MayHaveBeenSent(err error) bool {
	var remote *RemoteError
	var unreachable *UnreachableError
	var timeout *TimeoutError
	switch {
	case err == nil:
		return true
	case errors.As(err, &remote):
		return !remote.NotRun()
	case errors.As(err, &unreachable):
		return unreachable.Sent
	case errors.As(err, &timeout):
		return timeout.Sent
	}
	return true
}
