package entry

import "net/http"

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	ID        string
	Workspace string
	Caller    string
	Service   string
	Method    string
	// Path is the path below the service with the query, starting with a slash.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent says that the call can be repeated.
	Idempotent bool
	// Key is the idempotency key of the caller, "" for none.
	Key string
}

// ServiceResponse is the answer of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set when the recorded result of an earlier call is returned.
	Replayed bool
}
