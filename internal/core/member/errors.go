package member

import "fmt"

// DecodeError says that a message of another daemon is malformed.
type DecodeError struct {
	Part string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// TruncatedError says that a message ends early.
type TruncatedError struct{}

// Error implements error.
func (*TruncatedError) Error() string { return "message is truncated" }

// VersionError says that a message is of another protocol version.
type VersionError struct{ Got byte }

// Error implements error.
func (e *VersionError) Error() string { return fmt.Sprintf("unknown protocol version %d", e.Got) }

// PayloadSizeError says that a payload is longer than a datagram may carry.
type PayloadSizeError struct {
	Kind        string
	Size, Limit int
}

// Error implements error.
func (e *PayloadSizeError) Error() string {
	return fmt.Sprintf("payload %q of %d bytes exceeds %d", e.Kind, e.Size, e.Limit)
}
