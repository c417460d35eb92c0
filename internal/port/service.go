package port

import (
	"context"
	"net/http"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	// AttemptID is unique for each attempt and is passed to the service.
	AttemptID string
	// Key is the idempotency key of the caller; empty if there is none.
	Key string
	// Idempotent is set if the call may be sent more than once.
	Idempotent bool
	Method     string
	// Path is the path at the service, including the query.
	Path   string
	Header http.Header
	// Body is the complete body; empty if there is none.
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
	// the complete answer. A result means that the call ran. A *RefusedError
	// contains the service's proof that it did not run the call. After a
	// *TransportError the call did not run if Sent is unset; otherwise it is
	// unknown whether it ran.
	Call(ctx context.Context, baseURL string, call *ServiceCall) (*ServiceResult, error)
}
