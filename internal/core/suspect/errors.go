package suspect

import (
	"fmt"
	"time"
)

// QuarantinedError reports that a request must not run, because it or a part of its
// prompt has crashed endpoints.
type QuarantinedError struct {
	Crashes int
	// LastCrashAge is the time since the last of the crashes.
	LastCrashAge time.Duration
	// RetryAfter is the remaining time of the quarantine, or the time until the next
	// probe of the part.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("quarantined for %s after %d endpoint crashes, the last %s ago", e.RetryAfter, e.Crashes, e.LastCrashAge)
}

// BusyError reports that a copy of a suspect request already runs alone. Another
// copy must wait until it has ended.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return "a copy of the suspect request is running" }
