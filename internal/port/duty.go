package port

import (
	"context"
	"fmt"
)

// Fence identifies the holder of a duty and orders successive holders.
type Fence struct {
	Holder string
	// Number increases each time the holder changes.
	Number uint64
}

// UsageReport holds, for each workspace, the number of requests that started to
// run in one time window.
type UsageReport struct {
	Window uint64
	Counts map[string]int
}

// CountOrder asks the cloud for a number of endpoints of a service in a failure
// domain.
type CountOrder struct {
	Service       string
	FailureDomain string
	Count         int
	Reclaimable   bool
}

// Duties are the calls to the cloud that only one daemon at a time may make.
// Errors are a *FencedError, an *UnavailableError or a *TransportError.
type Duties interface {
	ReportUsage(ctx context.Context, fence Fence, report UsageReport) error
	OrderCount(ctx context.Context, fence Fence, order CountOrder) error
}

// FencedError reports that a call was refused because the cloud has seen a
// higher fencing number, or because the ordered endpoints are not available.
type FencedError struct{ Status int }

// Error implements error.
func (e *FencedError) Error() string { return fmt.Sprintf("call refused with status %d", e.Status) }

// UnavailableError reports that a call was answered with a status other than
// success or a fencing refusal.
type UnavailableError struct{ Status int }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("call answered with status %d", e.Status)
}
