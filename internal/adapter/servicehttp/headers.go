package servicehttp

import (
	"net/http"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

// strippedHeaders are headers that are not forwarded between the caller and the service.
var strippedHeaders = []string{
	// It carries the key of the workspace, which only the entry may see.
	"Authorization",
	// net/http considers a request with one of these idempotent and replays it.
	"Idempotency-Key", "X-Idempotency-Key",
	// These are set by the entry only.
	endpoint.HeaderKey, endpoint.HeaderAttempt,
}

// requestHeader returns the headers that are sent to the service with a call.
func requestHeader(call *port.ServiceCall) http.Header {
	header := forwardableHeaders(call.Header)
	header.Set(endpoint.HeaderAttempt, call.AttemptID)
	if call.Key != "" {
		header.Set(endpoint.HeaderKey, call.Key)
	}
	return header
}

// forwardableHeaders returns a copy without the hop-by-hop headers and strippedHeaders.
func forwardableHeaders(original http.Header) http.Header {
	header := httpconn.WithoutHopByHop(original)
	for _, name := range strippedHeaders {
		header.Del(name)
	}
	return header
}
