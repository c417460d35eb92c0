package enginehttp

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/port"
)

// readStream reads the stream of an engine that sends a fixed answer, and returns its frames and the error that ends it.
func readStream(t *testing.T, answer string) ([]endpoint.Frame, error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
	}))
	defer server.Close()
	client := NewClient()
	defer client.Close()
	stream, err := client.Generate(t.Context(), server.URL, &endpoint.GenerateRequest{AttemptID: "a"})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var frames []endpoint.Frame
	for {
		var frame endpoint.Frame
		if err := stream.Next(&frame); err != nil {
			return frames, err
		}
		frames = append(frames, frame)
	}
}

// Guards against a stream that counts as complete because its connection or its body ended.
func TestStreamEndsOnlyWithItsEndMarker(t *testing.T) {
	const tokens, done = `{"a":"a","t":"tokens","o":0,"n":1,"x":"one"}` + "\n", `{"a":"a","t":"done","o":1}` + "\n"
	framings := map[string]func(body string) string{
		"to the close": func(body string) string { return "HTTP/1.1 200 OK\r\n\r\n" + body },
		"with a length": func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		},
		"in chunks": func(body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	}
	for name, framed := range framings {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, part := range []string{tokens, tokens + done[:len(done)/2], tokens + done[:len(done)-1]} {
				_, err := readStream(t, framed(part))
				var broken *port.TransportError
				g.Expect(errors.As(err, &broken)).To(BeTrue(), "%q: %v", part, err)
				g.Expect(errors.Is(err, io.EOF)).To(BeFalse())
			}
			frames, err := readStream(t, framed(tokens+done))
			g.Expect(err).To(Equal(io.EOF))
			g.Expect(frames).To(HaveLen(2))
		})
	}
}
