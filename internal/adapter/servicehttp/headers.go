package servicehttp

import (
	"net/http"
	"strings"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
)

// dropped are headers that do not pass from the caller to the service.
var dropped = []string{
	// The connection to the service is another one (RFC 9110, section 7.6.1).
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
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

// withoutHops returns a copy without the headers that end at the entry, those
// named by Connection included.
func withoutHops(original http.Header) http.Header {
	header := original.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, line := range header.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range dropped {
		header.Del(name)
	}
	return header
}
