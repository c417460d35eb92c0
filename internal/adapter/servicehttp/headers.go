package servicehttp

import (
	"net/http"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

// dropped are headers that do not pass from the caller to the service.
var dropped = []string{
	// The secret of the workspace is for the entry only.
	"Authorization",
	// net/http takes a request with one of these for idempotent and replays it.
	"Idempotency-Key", "X-Idempotency-Key",
	// Only the entry sets these.
	endpoint.HeaderKey, endpoint.HeaderAttempt,
}

// requestHeader returns the headers of a call for the service.
func requestHeader(call *port.ServiceCall) http.Header {
	header := withoutHops(call.Header)
	header.Set(endpoint.HeaderAttempt, call.AttemptID)
	if call.Key != "" {
		header.Set(endpoint.HeaderKey, call.Key)
	}
	return header
}

// withoutHops returns a copy without the headers that end at the entry.
func withoutHops(original http.Header) http.Header {
	header := httpconn.WithoutHops(original)
	for _, name := range dropped {
		header.Del(name)
	}
	return header
}
