package admit

import (
	"fmt"
	"time"
)

// Reason classifies a refusal.
type Reason string

// Reasons for a refusal. In each case the request has not run.
const (
	WorkspaceQueueFull  Reason = "workspace_queue_full"
	CallerQueueFull     Reason = "caller_queue_full"
	DeadlineUnreachable Reason = "deadline_unreachable"
	DeadlinePassed      Reason = "deadline_passed"
	UnknownRank         Reason = "unknown_rank"
)

// RefusedError reports that a request was not admitted. The request has not run.
type RefusedError struct {
	Reason    Reason
	Workspace string
	// Wait is the estimated time in the queue, 0 if it is unknown.
	Wait time.Duration
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("not admitted (%s) for workspace %q, retry after %s", e.Reason, e.Workspace, e.RetryAfter)
}
