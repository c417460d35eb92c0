package exchange

import "net/http"

// Framing is how the end of the body of an answer is marked.
type Framing string

// Framings of a body, as RFC 9112, section 6.3 defines them.
const (
	// FramingLength marks the end by a length, also of an answer without a body.
	FramingLength Framing = "length"
	// FramingChunked marks the end by the last chunk.
	FramingChunked Framing = "chunked"
	// FramingClose ends the body with its connection. It proves that the body is complete
	// only if the request was written in full, and as long as nobody else has a reason to close
	// the connection.
	FramingClose Framing = "close"
)

// framingOf returns how the body of an answer is framed.
func framingOf(answer *http.Response) Framing {
	switch {
	case len(answer.TransferEncoding) > 0:
		return FramingChunked
	case answer.ContentLength >= 0, answer.Body == http.NoBody:
		return FramingLength
	}
	return FramingClose
}

// Framing returns how the end of the body is marked.
func (a *Answer) Framing() Framing { return framingOf(a.Response) }
