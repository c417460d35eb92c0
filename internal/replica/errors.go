package replica

import (
	"errors"
	"fmt"
	"net"
)

// ReplyCode is the reason why a replica did not carry out a request.
type ReplyCode string

// Codes of a ReplyError.
const (
	// CodeNotLeader means that another replica leads; nothing was proposed.
	CodeNotLeader ReplyCode = "not_leader"
	// CodeBusy means that the replica cannot take the request now; nothing was proposed.
	CodeBusy ReplyCode = "busy"
	// CodeLost means that the outcome is unknown, for example because leadership ended
	// after the proposal. The request may still take effect.
	CodeLost ReplyCode = "lost"
	// CodeOverwritten means that another entry was committed at the log index of the
	// proposal, so the request did not take effect.
	CodeOverwritten ReplyCode = "overwritten"
	// CodeStopped means that the replica is not running or not yet in a cluster.
	CodeStopped ReplyCode = "stopped"
	// CodeInvalid means that every replica would reject the request.
	CodeInvalid ReplyCode = "invalid"
	// CodeWrongGroup means that the replica belongs to another group.
	CodeWrongGroup ReplyCode = "wrong_group"
)

// ReplyError is the error that a replica returns for a request that it did not carry out.
type ReplyError struct {
	Code ReplyCode `json:"code"`
	// Leader is the address of the leader, empty if it is unknown.
	Leader string `json:"leader,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Error implements error.
func (e *ReplyError) Error() string { return fmt.Sprintf("replica answered %s: %s", e.Code, e.Reason) }

// StoppedError reports that the replica has stopped. Err is the cause; it is nil
// after Close.
type StoppedError struct{ Err error }

// Error implements error.
func (e *StoppedError) Error() string { return fmt.Sprintf("replica stopped: %v", e.Err) }

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Err }

// OptionError reports an option that is missing or out of range.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "invalid option " + e.Option }

// InvalidError reports a request that every replica of the group rejects. A
// resend does not help.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "request refused: " + e.Reason }

// UnsupportedError reports a kind of read that the leader does not know, because it runs an
// older build.
type UnsupportedError struct{ Read string }

// Error implements error.
func (e *UnsupportedError) Error() string { return "leader does not support the read " + e.Read }

// certainlyNotSent reports whether a failed call cannot have reached the peer,
// because no connection was established.
func certainlyNotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
