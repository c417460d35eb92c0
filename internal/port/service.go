package port

import (
	"context"
	"net/http"
)

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	// AttemptID is unique per attempt; the service sees it.
	AttemptID string
	// Key is the idempotency key of the caller, empty without one.
	Key string
	// Idempotent says that the call may be sent more than once.
	Idempotent bool
	Method     string
	// Path is the path at the service, with the query if there is one.
	Path   string
	Header http.Header
	// Body is the whole body; empty means none.
	Body []byte
}

// ServiceResult is the answer to a call that ran.
type ServiceResult struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service sends calls to plain services.
type Service interface {
	// Call sends a call once to the service with the given base URL and reads
	// the whole answer. A result means that the call ran. A *RefusedError
	// carries the proof of the service that it did not run the call. With a
	// *TransportError the call did not run if Sent is unset; otherwise it is
	// unknown whether it ran.
	Call(ctx context.Context, baseURL string, call *ServiceCall) (*ServiceResult, error)
}
