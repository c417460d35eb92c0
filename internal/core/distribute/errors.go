package distribute

import "fmt"

// DigestError reports that a document does not match its digest.
type DigestError struct{ Number uint64 }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document of generation %d does not match its digest", e.Number)
}

// InstallError reports that a daemon could not install a generation.
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

// DecodeError reports that a message from another daemon is malformed.
type DecodeError struct{ Err error }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode configuration message: %v", e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// SizeError reports that a decompressed document exceeds the size limit.
type SizeError struct{ Limit int }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("document exceeds the limit of %d bytes", e.Limit)
}
