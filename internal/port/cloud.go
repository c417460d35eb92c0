package port

import (
	"context"
	"fmt"
	"time"

	"github.com/boragelead/boragelead/api/cloud"
)

// Cloud starts and stops VMs. Errors are a *CloudRefusedError or a
// *TransportError.
type Cloud interface {
	Prices(ctx context.Context) ([]cloud.Price, error)
	// StartVM starts a VM. It can safely be repeated with the same client
	// token: after a *TransportError the VM may or may not have been started.
	StartVM(ctx context.Context, req cloud.StartRequest) (cloud.VM, error)
	// StopVM stops a VM. It can safely be repeated.
	StopVM(ctx context.Context, id string) error
	ListVMs(ctx context.Context) ([]cloud.VM, error)
	// Notices returns the notices after a sequence number. If there are none,
	// it waits for one for at most the given time. If the epoch of the list has
	// changed, the caller must ask again from 0.
	Notices(ctx context.Context, after uint64, wait time.Duration) (cloud.NoticeList, error)
}

// CloudRefusedError reports that the cloud API refused a request and changed
// nothing.
type CloudRefusedError struct {
	Status int
	Body   cloud.ErrorBody
}

// Error implements error.
func (e *CloudRefusedError) Error() string {
	return fmt.Sprintf("cloud API refused with status %d: %s: %s", e.Status, e.Body.Code, e.Body.Message)
}
