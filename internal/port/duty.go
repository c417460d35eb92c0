package port

import (
	"context"
	"fmt"
)

// Fence names the holder of a duty and orders holders.
type Fence struct {
	Holder string
	// Number increases when the holder changes.
	Number uint64
}

// UsageReport counts the requests that began to run in one window, by workspace.
type UsageReport struct {
	Window uint64
	Counts map[string]int
}

// CountOrder asks for a number of endpoints.
type CountOrder struct {
	Service       string
	FailureDomain string
	Count         int
	Reclaimable   bool
}

// Duties are the calls to the cloud that one daemon makes at a time. Errors
// are a *FencedError, a *UnavailableError or a *TransportError.
type Duties interface {
	ReportUsage(ctx context.Context, fence Fence, report UsageReport) error
	OrderCount(ctx context.Context, fence Fence, order CountOrder) error
}

// FencedError says that a call was refused because a higher fencing number was
// seen, or because there is nothing of the kind to be had.
type FencedError struct{ Status int }

// Error implements error.
func (e *FencedError) Error() string { return fmt.Sprintf("call refused with status %d", e.Status) }

// UnavailableError says that a call got an answer that is no success.
type UnavailableError struct{ Status int }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("call answered with status %d", e.Status)
}
