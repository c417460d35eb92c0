package distribute

import "fmt"

// DigestError says that a document does not match its digest.
type DigestError struct{ Number uint64 }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document of generation %d does not match its digest", e.Number)
}

// InstallError says that a daemon could not put a generation in force.
type InstallError struct {
	Number uint64
	Err    error
}

// Error implements error.
func (e *InstallError) Error() string {
	return fmt.Sprintf("install generation %d: %v", e.Number, e.Err)
}

// Unwrap returns the cause.
func (e *InstallError) Unwrap() error { return e.Err }

// DecodeError says that a message of another daemon is malformed.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode configuration message: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// SizeError says that a document is longer than allowed after decompression.
type SizeError struct{ Limit int }

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("document exceeds %d bytes", e.Limit) }
