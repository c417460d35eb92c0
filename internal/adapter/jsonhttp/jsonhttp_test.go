package jsonhttp

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/port"
)

// serveRaw serves a fixed answer, which net/http would not write, and returns the base URL.
func serveRaw(t *testing.T, answer string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against a malformed answer that counts as the answer of the cloud or the weight store.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		g := NewWithT(t)
		client := NewClient(serveRaw(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}"))
		_, err := client.Do(t.Context(), http.MethodPost, "/", nil)
		var failed *port.TransportError
		g.Expect(errors.As(err, &failed)).To(BeTrue(), "status %s: %v", status, err)
		g.Expect(failed.Sent).To(BeTrue())
	}
}
