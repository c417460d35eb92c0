package entry

import "net/http"

// ServiceRequest is a call to a plain service.
type ServiceRequest struct {
	ID        string
	Workspace string
	Caller    string
	Service   string
	Method    string
	// Path is the path below the service, with the query. It starts with a
	// slash.
	Path   string
	Header http.Header
	Body   []byte
	// Idempotent is set when the call can safely be repeated.
	Idempotent bool
	// Key is the idempotency key of the caller, or "" if there is none.
	Key string
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is set when the response is the recorded result of an earlier
	// call.
	Replayed bool
}
