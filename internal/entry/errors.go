package entry

import (
	"fmt"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// RefusalType classifies why a request was not answered.
type RefusalType string

// Types of refusal.
const (
	RefusedOverload    RefusalType = "overloaded"
	RefusedDeadline    RefusalType = "deadline_unreachable"
	RefusedNoEndpoint  RefusalType = "no_endpoint"
	RefusedQuarantine  RefusalType = "quarantined"
	RefusedRetryBudget RefusalType = "retries_exhausted"
	RefusedShutdown    RefusalType = "shutting_down"
	RefusedNoQuorum    RefusalType = "no_quorum"
	RefusedKeyReused   RefusalType = "idempotency_key_reused"
	RefusedInvalid     RefusalType = "invalid_request"
	RefusedUpstream    RefusalType = "endpoint_error"
	RefusedOutcome     RefusalType = "outcome_unknown"
)

// RefusalError reports that a request was not answered, and whether it ran.
type RefusalError struct {
	Type RefusalType
	// Run is NotRun only if every attempt is proven not run.
	Run endpoint.RunState
	// RetryAfter is the recommended delay before a retry; 0 means no
	// recommendation.
	RetryAfter time.Duration
	Message    string
	Err        error
}

// Error implements error.
func (e *RefusalError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("request refused (%s, %s): %s: %v", e.Type, e.Run, e.Message, e.Err)
	}
	return fmt.Sprintf("request refused (%s, %s): %s", e.Type, e.Run, e.Message)
}

// Unwrap returns the cause.
func (e *RefusalError) Unwrap() error { return e.Err }

// MovedError reports that a peer continues the request.
type MovedError struct {
	RequestID string
	Peer      string
}

// Error implements error.
func (e *MovedError) Error() string {
	return fmt.Sprintf("request %s is continued by %s", e.RequestID, e.Peer)
}

// CallerGoneError reports that the caller closed its connection.
type CallerGoneError struct{ Err error }

// Error implements error.
func (e *CallerGoneError) Error() string {
	if e.Err != nil {
		return "the caller went away: " + e.Err.Error()
	}
	return "the caller went away"
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error { return e.Err }

// ReclaimedError reports that an attempt ended because its endpoint is leaving.
type ReclaimedError struct {
	Endpoint string
	Err      error
}

// Error implements error.
func (e *ReclaimedError) Error() string { return "endpoint " + e.Endpoint + " is leaving" }

// Unwrap returns the cause.
func (e *ReclaimedError) Unwrap() error { return e.Err }

// LostError reports that an attempt ended because its endpoint crashed or its
// connection went silent.
type LostError struct {
	Endpoint string
	Err      error
}

// Error implements error.
func (e *LostError) Error() string { return fmt.Sprintf("endpoint %s lost: %v", e.Endpoint, e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
