package member

import "fmt"

// DecodeError reports that a message from another daemon is malformed.
type DecodeError struct {
	Part string
	Err  error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Part, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// TruncatedError reports that a message is shorter than its contents require.
type TruncatedError struct{}

// Error implements error.
func (*TruncatedError) Error() string { return "message is truncated" }

// VersionError reports that a message has an unsupported protocol version.
type VersionError struct{ Got byte }

// Error implements error.
func (e *VersionError) Error() string { return fmt.Sprintf("unknown protocol version %d", e.Got) }

// PayloadSizeError reports that a payload is longer than MaxPayload.
type PayloadSizeError struct {
	Kind        string
	Size, Limit int
}

// Error implements error.
func (e *PayloadSizeError) Error() string {
	return fmt.Sprintf("payload %q of %d bytes exceeds the limit of %d bytes", e.Kind, e.Size, e.Limit)
}
