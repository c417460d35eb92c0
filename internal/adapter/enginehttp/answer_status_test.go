package enginehttp

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
)

// Guards against a malformed answer that counts as a refusal, which could say that the attempt did not run.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 17\r\n\r\n{\"run\":\"not_run\"}")
		}))
		client := NewClient()
		_, err := client.Generate(t.Context(), server.URL, &endpoint.GenerateRequest{AttemptID: "a"})
		var failed *port.TransportError
		g.Expect(errors.As(err, &failed)).To(BeTrue(), "status %s: %v", status, err)
		g.Expect(failed.Sent).To(BeTrue())
		client.Close()
		server.Close()
	}
}
