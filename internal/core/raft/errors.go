package raft

import "fmt"

// NotLeaderError reports that this node cannot accept the request because it is not the leader.
type NotLeaderError struct {
	// Leader is the known leader, or 0 if no leader is known.
	Leader ID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader (leader is %x)", uint64(e.Leader))
}

// BusyReason is the reason why a leader temporarily refuses a request.
type BusyReason string

// Reasons of a BusyError.
const (
	// BusyTransfer means that leadership is being transferred.
	BusyTransfer BusyReason = "leadership transfer"
	// BusyBacklog means that too many bytes are not committed yet.
	BusyBacklog BusyReason = "uncommitted backlog"
	// BusyChange means that a membership change is not committed yet.
	BusyChange BusyReason = "membership change"
	// BusyNoCommitInTerm means that the leader has not committed an entry of its own term yet.
	BusyNoCommitInTerm BusyReason = "term not opened"
)

// BusyError reports that the leader temporarily refuses a request. The request had no effect.
type BusyError struct{ Reason BusyReason }

// Error implements error.
func (e *BusyError) Error() string { return "leader is busy: " + string(e.Reason) }

// ChangeError reports that a membership change is not valid for the current configuration.
type ChangeError struct {
	Change Change
	Reason string
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change %d of %x: %s", e.Change.Kind, uint64(e.Change.Member.ID), e.Reason)
}

// InvariantError is the panic value that stops a node before it can damage its log.
type InvariantError struct{ Reason string }

// Error implements error.
func (e *InvariantError) Error() string { return "raft invariant violated: " + e.Reason }

func panicInvariant(format string, args ...any) {
	panic(&InvariantError{Reason: fmt.Sprintf(format, args...)})
}
