package port

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelead/boragelead/api/cloud"
)

// Cloud starts and stops VMs. Errors are a *CloudRefusedError or a *TransportError.
type Cloud interface {
	Prices(ctx context.Context) ([]cloud.Price, error)
	// StartVM starts a VM. It is safe to repeat with the same client token:
	// after a *TransportError the VM may or may not have been started.
	StartVM(ctx context.Context, req cloud.StartRequest) (cloud.VM, error)
	// StopVM stops a VM. It is safe to repeat.
	StopVM(ctx context.Context, id string) error
	ListVMs(ctx context.Context) ([]cloud.VM, error)
	// Notices returns the notices after a sequence number, waiting for one at
	// most for a time. A changed epoch means to ask again from 0.
	Notices(ctx context.Context, after uint64, wait time.Duration) (cloud.NoticeList, error)
}

// CloudRefusedError says that the cloud API did nothing.
type CloudRefusedError struct {
	Status int
	Body   cloud.ErrorBody
}

// Error implements error.
func (e *CloudRefusedError) Error() string {
	return fmt.Sprintf("cloud API refused with status %d: %s: %s", e.Status, e.Body.Code, e.Body.Message)
}
