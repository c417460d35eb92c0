package admit

import (
	"fmt"
	"time"
)

// Reason classifies a refusal.
type Reason string

// Reasons of refusal. In each case the request was not run.
const (
	WorkspaceQueueFull  Reason = "workspace_queue_full"
	CallerQueueFull     Reason = "caller_queue_full"
	DeadlineUnreachable Reason = "deadline_unreachable"
	DeadlinePassed      Reason = "deadline_passed"
	UnknownRank         Reason = "unknown_rank"
)

// RefusedError says that a request was not admitted. It has not run.
type RefusedError struct {
	Reason    Reason
	Workspace string
	// Wait is the estimated wait in the queue, where it is known.
	Wait time.Duration
	// RetryAfter is when a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted (%s) for workspace %q, retry after %s", e.Reason, e.Workspace, e.RetryAfter)
}
