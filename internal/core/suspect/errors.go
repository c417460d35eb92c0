package suspect

import (
	"fmt"
	"time"
)

// QuarantinedError reports that a request must not run, because it has crashed
// endpoints.
type QuarantinedError struct {
	Crashes int
	// RetryAfter is the remaining time of the quarantine.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request is quarantined for %s after %d endpoint crashes", e.RetryAfter, e.Crashes)
}

// BusyError reports that a copy of a suspect request already runs alone. Another
// copy must wait until it has ended.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return "a copy of the suspect request is running" }
