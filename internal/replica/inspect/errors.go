package inspect

import "fmt"

// ConfirmationError reports that RestoreAfterMajorityLoss was called without the
// value that confirms that the operator means this data folder.
type ConfirmationError struct{ Want string }

// Error implements error.
func (e *ConfirmationError) Error() string {
	return fmt.Sprintf("restoring discards all data that only the lost replicas had; confirm with %q", e.Want)
}

// NoReplicaError reports a data folder without the files of a replica.
type NoReplicaError struct{}

// Error implements error.
func (e *NoReplicaError) Error() string { return "the data folder contains no replica" }

// BackupError reports a backup that cannot be decoded.
type BackupError struct{ Err error }

// Error implements error.
func (e *BackupError) Error() string { return fmt.Sprintf("invalid backup: %v", e.Err) }

// Unwrap returns the cause.
func (e *BackupError) Unwrap() error { return e.Err }

// TargetNotEmptyError reports that the target of a restore already contains a replica.
type TargetNotEmptyError struct{}

// Error implements error.
func (e *TargetNotEmptyError) Error() string { return "the target folder already contains a replica" }
