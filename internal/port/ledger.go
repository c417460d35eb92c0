package port

import (
	"context"
	"fmt"
	"time"
)

// Generation is a promoted configuration.
type Generation struct {
	// Number increases by one with each promotion, starting at 1.
	Number uint64 `json:"number"`
	// Document is the operators' document as it was promoted.
	Document []byte `json:"document"`
	// Digest is the SHA-256 of Document in hexadecimal.
	Digest      string `json:"digest"`
	Operator    string `json:"operator"`
	OperationID string `json:"operation_id"`
}

// PromoteRequest asks for a new generation by compare-and-set.
type PromoteRequest struct {
	// OperationID identifies resent requests: they get the outcome of the first
	// one.
	OperationID string `json:"operation_id"`
	// Expect is the number of the current generation as the operator saw it; 0
	// means none.
	Expect   uint64 `json:"expect"`
	Document []byte `json:"document"`
	Operator string `json:"operator"`
}

// ConflictError reports that the compare-and-set failed because another
// generation is current.
type ConflictError struct {
	Expect  uint64
	Current uint64
	// Operator is the operator who promoted the current generation.
	Operator string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d expected, but generation %d by %q is current", e.Expect, e.Current, e.Operator)
}

// OperationReusedError reports that an operation ID was used before for another
// request.
type OperationReusedError struct{ OperationID string }

// Error implements error.
func (e *OperationReusedError) Error() string {
	return fmt.Sprintf("operation %q was used for another request", e.OperationID)
}

// StaleOwnerError reports that the claiming incarnation was declared dead. The
// claim was not granted.
type StaleOwnerError struct {
	Owner       string
	Incarnation uint64
}

// Error implements error.
func (e *StaleOwnerError) Error() string {
	return fmt.Sprintf("incarnation %d of owner %q is gone", e.Incarnation, e.Owner)
}

// AttemptError reports that an attempt does not hold the claim: the claim was
// never granted to it or was released.
type AttemptError struct{ Attempt string }

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt %q does not hold the claim", e.Attempt)
}

// NoQuorumError reports that the replicated log could not be reached or did not
// answer. Proposed is set if the command may still take effect.
type NoQuorumError struct {
	Group    string
	Proposed bool
	Err      error
}

// Error implements error.
func (e *NoQuorumError) Error() string {
	return fmt.Sprintf("no quorum in group %q (proposed=%t): %v", e.Group, e.Proposed, e.Err)
}

// Unwrap returns the cause.
func (e *NoQuorumError) Unwrap() error { return e.Err }

// ClaimState is the state of a claim as returned by Claim.
type ClaimState string

// States of a claim.
const (
	// ClaimGranted means that the caller of Claim owns the call and must send
	// it once.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another owner holds the claim and may still
	// complete the call.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the call has ended; Result holds its recorded
	// result.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the owner is gone and it is unknown whether the
	// call ran.
	ClaimUnknown ClaimState = "unknown"
	// ClaimMismatch means that the key was used with another body.
	ClaimMismatch ClaimState = "mismatch"
)

// ClaimRequest claims a non-idempotent call.
type ClaimRequest struct {
	// Group is the name of the claims group that decides. At present there is
	// only one, "main".
	Group     string `json:"group"`
	Workspace string `json:"workspace"`
	// Key is the idempotency key of the caller.
	Key string `json:"key"`
	// BodyHash is a hash of the service, method, path, content type and body.
	BodyHash string `json:"body_hash"`
	// Owner and Incarnation identify the entry daemon that claims.
	Owner       string `json:"owner"`
	Incarnation uint64 `json:"incarnation"`
	// Attempt is unique for each claim request, so that a resent proposal of
	// the same owner is recognised.
	Attempt string `json:"attempt"`
}

// ClaimResult answers a ClaimRequest.
type ClaimResult struct {
	State  ClaimState  `json:"state"`
	Result *CallResult `json:"result,omitempty"`
	// Owner is the holder of the claim while the call runs.
	Owner string `json:"owner,omitempty"`
}

// CallResult is the recorded result of a non-idempotent call.
type CallResult struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is set if the body was longer than the recorded part.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown is set if the owner lost the answer: the call may have run.
	Unknown bool `json:"unknown,omitempty"`
	// Released is set if the call is proven not run: the claim is removed.
	Released bool `json:"released,omitempty"`
}

// RecordRequest stores the value of a key in a series, unless the key already
// has a value.
type RecordRequest struct {
	Series string `json:"series"`
	// Key orders the records of a series.
	Key   uint64 `json:"key"`
	Value []byte `json:"value"`
}

// Recorder stores the first value of each key. Errors are the same as those of
// Ledger.
type Recorder interface {
	// Record returns the stored value of the key, which is the value of the
	// first request.
	Record(ctx context.Context, req RecordRequest) ([]byte, error)
}

// CompleteRequest records the result of a claimed call. Only the attempt that
// was granted the claim can complete it.
type CompleteRequest struct {
	Group     string     `json:"group"`
	Workspace string     `json:"workspace"`
	Key       string     `json:"key"`
	Attempt   string     `json:"attempt"`
	Result    CallResult `json:"result"`
}

// LeaseGrant answers a lease request.
type LeaseGrant struct {
	Granted bool `json:"granted"`
	// Holder is the current holder of the lease.
	Holder string `json:"holder"`
	// FencingNumber is the log index of the grant.
	FencingNumber uint64 `json:"fencing_number"`
	// TTL is the duration of the grant. The holder counts it from before it
	// sent the request.
	TTL time.Duration `json:"ttl"`
}

// Ledger is the client of the replicated state. Errors are of the types in this
// file; a *NoQuorumError means that the group did not answer.
type Ledger interface {
	Promote(ctx context.Context, req PromoteRequest) (Generation, error)
	// Current returns the newest generation by a linearizable read; number 0 means none.
	Current(ctx context.Context) (Generation, error)
	// History returns at most limit generations, the newest first.
	History(ctx context.Context, limit int) ([]Generation, error)
	Claim(ctx context.Context, req ClaimRequest) (ClaimResult, error)
	Complete(ctx context.Context, req CompleteRequest) error
	// AcquireLease acquires or renews the lease with the given name.
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (LeaseGrant, error)
	ReleaseLease(ctx context.Context, name, holder string) error
}
