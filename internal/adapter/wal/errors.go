package wal

import "fmt"

// DamageError reports that the files differ from what was synced. The replica must not start.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("damaged file %s at byte %d: %s", e.File, e.Offset, e.Reason)
}

// StoppedError reports that a file operation failed earlier. Err is the first failure.
type StoppedError struct{ Err error }

// Error implements error.
func (e *StoppedError) Error() string {
	return fmt.Sprintf("log stopped after a failed file operation: %v", e.Err)
}

// Unwrap returns the first failure.
func (e *StoppedError) Unwrap() error { return e.Err }

// LockedError reports that another process uses the data folder.
type LockedError struct {
	Folder string
	Err    error
}

// Error implements error.
func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder %s is used by another process: %v", e.Folder, e.Err)
}

// Unwrap returns the cause.
func (e *LockedError) Unwrap() error { return e.Err }

// RecordError reports that some bytes are not a complete and valid record.
type RecordError struct{ Reason string }

// Error implements error.
func (e *RecordError) Error() string { return "invalid record: " + e.Reason }
