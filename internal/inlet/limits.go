package inlet

import (
	"net/http"
	"time"
)

// Limits are those of the operators' document. They hold in addition to the fixed limits of a
// server; 0 means that the document sets none.
type Limits struct {
	// MaxHeaderBytes bounds the head of a request.
	MaxHeaderBytes int64
	// HeaderTimeout bounds the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout closes a connection that has had no request for this long.
	IdleTimeout time.Duration
}

// Sizes of what separates the parts of a head, in bytes.
const (
	fieldSeparators = len(": \r\n")
	lineSeparators  = len("  \r\n")
)

// headBytes returns the size of the head of a request. It is at most the size that was
// sent in the usual form: lines end with CR and LF, and a space follows each colon.
func headBytes(r *http.Request) int64 {
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineSeparators + len("\r\n")
	// With an absolute URI, the host is that of the URI, whether or not the field was sent.
	if r.Host != "" && r.URL.Host == "" {
		size += len("Host") + len(r.Host) + fieldSeparators
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldSeparators
		}
	}
	return int64(size)
}
