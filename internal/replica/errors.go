package replica

import (
	"errors"
	"fmt"
	"net"
)

// ReplyCode tells why a replica did not carry out a request.
type ReplyCode string

// Codes of a ReplyError.
const (
	// CodeNotLeader means that another replica leads; nothing was proposed.
	CodeNotLeader ReplyCode = "not_leader"
	// CodeBusy means that the leader refuses for the moment; nothing was proposed.
	CodeBusy ReplyCode = "busy"
	// CodeLost means that leadership ended after the proposal; it may still take effect.
	CodeLost ReplyCode = "lost"
	// CodeOverwritten means that another entry was committed in place of the proposal.
	CodeOverwritten ReplyCode = "overwritten"
	// CodeStopped means that the replica is not running.
	CodeStopped ReplyCode = "stopped"
	// CodeInvalid means that the request is not acceptable to any replica.
	CodeInvalid ReplyCode = "invalid"
	// CodeWrongGroup means that the address serves another group.
	CodeWrongGroup ReplyCode = "wrong_group"
)

// ReplyError is the answer of a replica that did not carry out a request.
type ReplyError struct {
	Code ReplyCode `json:"code"`
	// Leader is the address of the known leader, or empty.
	Leader string `json:"leader,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Error implements error.
func (e *ReplyError) Error() string { return fmt.Sprintf("replica answered %s: %s", e.Code, e.Reason) }

// StoppedError says that the replica stopped. Err is the cause, nil after Close.
type StoppedError struct{ Err error }

// Error implements error.
func (e *StoppedError) Error() string { return fmt.Sprintf("replica stopped: %v", e.Err) }

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Err }

// OptionError says that an option is missing or out of range.
type OptionError struct{ Option string }

// Error implements error.
func (e *OptionError) Error() string { return "invalid option " + e.Option }

// InvalidError says that the group refuses a request for good.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "request refused: " + e.Reason }

// neverSent reports whether a failed call certainly did not reach the peer.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
