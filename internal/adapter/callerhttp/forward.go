package callerhttp

import (
	"bytes"
	"io"
	"net/http"
)

// forwardBufferBytes is the size of the copy buffer of a passed-on answer.
const forwardBufferBytes = 16 << 10

// forward passes a request on to another daemon and copies the answer as it
// arrives. It reports whether the peer answered; otherwise nothing was written.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, base string, body []byte) bool {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, base+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	// The peer must see the call of the caller, and no replay by net/http.
	req.GetBody = nil
	req.Header = r.Header.Clone()
	req.Header.Set(HeaderForwarded, s.Name)
	resp, err := s.Peers.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	copyFlushing(w, resp.Body)
	return true
}

func copyFlushing(w http.ResponseWriter, body io.Reader) {
	control := http.NewResponseController(w)
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return
			}
			_ = control.Flush()
		}
		if err != nil {
			return
		}
	}
}
