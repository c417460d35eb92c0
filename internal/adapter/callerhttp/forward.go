package callerhttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/boragelead/boragelead/internal/adapter/httpconn"
)

// forwardBufferBytes is the size of the buffer that copies the answer of a peer.
const forwardBufferBytes = 16 << 10

// forwardResult is the result of forwarding a request to a peer.
type forwardResult int

const (
	// forwardNotSent: no byte of the request was sent, so the peer did not run it.
	forwardNotSent forwardResult = iota
	// forwardLost: the request may have been sent, but no valid answer arrived. The
	// peer may have run it.
	forwardLost
	// forwardAnswered: the answer of the peer was written to the caller.
	forwardAnswered
)

// forward sends a request to another daemon and copies the answer to the caller
// as it arrives. Unless the result is forwardAnswered, nothing was written to the
// caller.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, baseURL string, body []byte) forwardResult {
	ctx, use := httpconn.TrackReplayable(r.Context())
	req, err := http.NewRequestWithContext(ctx, r.Method, baseURL+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return forwardNotSent
	}
	// Without GetBody, net/http does not replay the request: the peer must
	// receive it once, as the caller sent it.
	req.GetBody = nil
	req.Header = r.Header.Clone()
	req.Header.Set(HeaderForwarded, s.Name)
	resp, err := s.Peers.RoundTrip(req)
	if err != nil {
		return resultOfFailure(use)
	}
	defer resp.Body.Close()
	if httpconn.CheckStatus(resp.StatusCode) != nil {
		return forwardLost
	}
	use.VerifyEnd(resp)
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyAndFlush(w, resp.Body); err != nil {
		// Abort the connection, so that the caller does not take the answer for complete.
		panic(http.ErrAbortHandler)
	}
	return forwardAnswered
}

// resultOfFailure returns the result of forwarding after a failed round trip.
func resultOfFailure(use *httpconn.Use) forwardResult {
	if use.Sent() {
		return forwardLost
	}
	return forwardNotSent
}

// copyAndFlush copies a body as it arrives. The error is that of the body, if it breaks off;
// a caller who has left needs none.
func copyAndFlush(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return nil
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
