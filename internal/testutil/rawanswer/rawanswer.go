// Package rawanswer serves fixed answers in tests, also malformed ones that net/http would not
// write.
package rawanswer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
)

// OutOfRange are statuses that no final answer has (RFC 9110, section 15).
var OutOfRange = []string{"000", "099", "600", "999"}

// Serve writes an answer to each request and closes the connection. It returns the base URL, which
// is valid until the test ends.
func Serve(t testing.TB, answer string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Errorf("hijack: %v", err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// ServeStatus serves an answer with a status and a body, see Serve.
func ServeStatus(t testing.TB, status, body string) string {
	return Serve(t, "HTTP/1.1 "+status+" X\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}
