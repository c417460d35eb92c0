package suspect

import (
	"fmt"
	"time"
)

// QuarantinedError says that a request is not run, because it crashed
// endpoints before.
type QuarantinedError struct {
	Crashes int
	// RetryAfter is the rest of the quarantine.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("request is quarantined for %s after %d endpoint crashes", e.RetryAfter, e.Crashes)
}

// BusyError says that a copy of a suspect request already runs alone; another
// one has to wait for its end.
type BusyError struct{}

// Error implements error.
func (*BusyError) Error() string { return "a copy of the suspect request is running" }
