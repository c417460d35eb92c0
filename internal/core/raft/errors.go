package raft

import "fmt"

// NotLeaderError says that this node cannot accept the request because it is not the leader.
type NotLeaderError struct {
	// Leader is the known leader, 0 if there is none.
	Leader ID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("not the leader (leader is %x)", uint64(e.Leader))
}

// BusyReason says why a leader refuses a request for the moment.
type BusyReason string

// Reasons of a BusyError.
const (
	// BusyTransfer means that leadership is being transferred.
	BusyTransfer BusyReason = "leadership transfer"
	// BusyBacklog means that too many bytes wait for their commit.
	BusyBacklog BusyReason = "uncommitted backlog"
	// BusyChange means that a membership change is not committed yet.
	BusyChange BusyReason = "membership change"
	// BusyTerm means that the leader has not committed an entry of its term yet.
	BusyTerm BusyReason = "term not opened"
)

// BusyError says that the leader refuses a request for the moment. The request had no effect.
type BusyError struct{ Reason BusyReason }

// Error implements error.
func (e *BusyError) Error() string { return "leader is busy: " + string(e.Reason) }

// ChangeError says that a membership change does not fit the present configuration.
type ChangeError struct {
	Change Change
	Reason string
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change %d of %x: %s", e.Change.Kind, uint64(e.Change.Member.ID), e.Reason)
}

// InvariantError is the value of a panic that stops a node before it could damage its log.
type InvariantError struct{ Reason string }

// Error implements error.
func (e *InvariantError) Error() string { return "raft invariant violated: " + e.Reason }

func invariant(format string, args ...any) {
	panic(&InvariantError{Reason: fmt.Sprintf(format, args...)})
}
