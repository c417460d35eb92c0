package inspect

import "fmt"

// ConfirmationError says that a dangerous function was called without the
// value that shows that the operator means this folder.
type ConfirmationError struct{ Want string }

// Error implements error.
func (e *ConfirmationError) Error() string {
	return fmt.Sprintf("restoring discards what only the lost replicas held; confirm with %q", e.Want)
}

// EmptyError says that the folder holds no state.
type EmptyError struct{}

// Error implements error.
func (e *EmptyError) Error() string { return "the data folder holds no replica" }

// BackupError says that a backup does not decode.
type BackupError struct{ Err error }

// Error implements error.
func (e *BackupError) Error() string { return fmt.Sprintf("invalid backup: %v", e.Err) }

// Unwrap returns the cause.
func (e *BackupError) Unwrap() error { return e.Err }

// TargetError says that the folder to restore into is not empty.
type TargetError struct{}

// Error implements error.
func (e *TargetError) Error() string { return "the target folder already holds a replica" }
