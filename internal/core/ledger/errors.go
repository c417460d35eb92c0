package ledger

// CommandError reports that a command cannot be decoded or is not valid. Such a
// command changes nothing.
type CommandError struct{ Reason string }

// Error implements error.
func (e *CommandError) Error() string { return "invalid command: " + e.Reason }

// SnapshotError reports that a snapshot cannot be decoded or encoded.
type SnapshotError struct{ Reason string }

// Error implements error.
func (e *SnapshotError) Error() string { return "invalid snapshot: " + e.Reason }
