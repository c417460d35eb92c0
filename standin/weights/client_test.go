package weights

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/weights"
)

// Guards against a part of an object, ended by the close of its connection, that counts as the object.
func TestPartOfObjectIsNoObject(t *testing.T) {
	const objectBytes = 10 * weightBytesPerBodyByte
	for _, c := range []struct {
		bodyBytes int
		whole     bool
	}{{9, false}, {10, true}} {
		g := NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			defer conn.Close()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %d\r\n\r\n", weights.HeaderBytes, objectBytes)
			_, _ = io.WriteString(conn, "0123456789"[:c.bodyBytes])
		}))
		size, err := Client{BaseURL: server.URL}.Fetch(t.Context(), "m", "1", "")
		server.Close()
		if c.whole {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(size).To(BeNumerically("==", objectBytes))
			continue
		}
		var part *PartError
		g.Expect(errors.As(err, &part)).To(BeTrue(), "%v", err)
	}
}
