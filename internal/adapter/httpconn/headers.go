package httpconn

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection only (RFC 9110, section 7.6.1).
// Content-Length is included, since it is set again for the next connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// WithoutHopByHop returns a copy without the hop-by-hop headers, including
// those that are named by Connection. The copy is never nil.
func WithoutHopByHop(original http.Header) http.Header {
	header := original.Clone()
	if header == nil {
		header = make(http.Header)
	}
	for _, line := range original.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	return header
}
