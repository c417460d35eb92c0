package adminclient

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a malformed answer that counts as a refusal, after which a promotion is not sent again.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			defer conn.Close()
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
		}))
		_, err := New(Options{Address: server.URL}).Promote(t.Context(), Promotion{Document: []byte("{}"), OperationID: "o"})
		var unreachable *UnreachableError
		g.Expect(errors.As(err, &unreachable)).To(BeTrue(), "status %s: %v", status, err)
		server.Close()
	}
}
