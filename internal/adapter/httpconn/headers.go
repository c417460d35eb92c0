package httpconn

import (
	"net/http"
	"strings"
)

// hopHeaders concern one connection only (RFC 9110, section 7.6.1). The length
// is stated anew for the next connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// WithoutHops returns a copy without the headers that end with a connection,
// those named by Connection included. It is never nil.
func WithoutHops(original http.Header) http.Header {
	header := original.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, line := range original.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	return header
}
