package ledger

// CommandError says that a command does not decode or lacks a field. It changes nothing.
type CommandError struct{ Reason string }

// Error implements error.
func (e *CommandError) Error() string { return "invalid command: " + e.Reason }

// SnapshotError says that a snapshot does not decode.
type SnapshotError struct{ Reason string }

// Error implements error.
func (e *SnapshotError) Error() string { return "invalid snapshot: " + e.Reason }
