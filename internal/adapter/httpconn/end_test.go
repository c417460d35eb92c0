package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// stalledConn is a connection whose first write does not return until it is released or the connection
// is closed. The answer is read while the write waits; the connection ends when end is closed.
type stalledConn struct {
	net.Conn
	answer   io.Reader
	writing  chan struct{}
	released chan struct{}
	closed   chan struct{}
	end      chan struct{}
	close    sync.Once
	// result is what the write returns for n bytes.
	result func(n int) (int, error)
}

func newStalledConn(answer string, result func(n int) (int, error)) *stalledConn {
	inner, _ := net.Pipe()
	return &stalledConn{
		Conn: inner, answer: strings.NewReader(answer), result: result,
		writing: make(chan struct{}), released: make(chan struct{}), closed: make(chan struct{}), end: make(chan struct{}),
	}
}

func (c *stalledConn) Write(p []byte) (int, error) {
	close(c.writing)
	select {
	case <-c.released:
	case <-c.closed:
	}
	return c.result(len(p))
}

func (c *stalledConn) Read(p []byte) (int, error) {
	<-c.writing
	n, err := c.answer.Read(p)
	if err != nil {
		<-c.end
	}
	return n, err
}

func (c *stalledConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func failWrite(int) (int, error)     { return 0, syscall.ECONNRESET }
func finishWrite(n int) (int, error) { return n, nil }
func closedWrite(n int) (int, error) { return n / 2, net.ErrClosed }
func releaseWrite(c *stalledConn)    { close(c.released) }
func leaveWriteToClose(*stalledConn) {}

// readAnswer sends a request over a stalled connection and reads the answer after release was called.
func readAnswer(g *WithT, conn *stalledConn, release func(*stalledConn)) (string, error) {
	tracked := newConn(conn)
	transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return tracked, nil }}
	ctx, use := Track(context.Background(), 0)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://service.example/", strings.NewReader("request"))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := transport.RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	use.VerifyEnd(resp)
	release(conn)
	close(conn.end)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a part that counts as whole, and a whole answer as a part, for each order of write and end.
func TestEndOfConnectionProvesAnswerOnlyAfterRequest(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n\r\nanswer"
	cases := []struct {
		name, answer string
		write        func(int) (int, error)
		release      func(*stalledConn)
		whole        bool
	}{
		{"write takes the reset", unframed, failWrite, releaseWrite, false},
		{"write takes the reset and returns late", unframed, failWrite, leaveWriteToClose, false},
		{"write is cut by the close", unframed, closedWrite, leaveWriteToClose, false},
		{"write has ended", unframed, finishWrite, releaseWrite, true},
		{"write has ended and returns late", unframed, finishWrite, leaveWriteToClose, true},
		{"write fails after an answer with a length", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer", closedWrite, leaveWriteToClose, true},
		{"write fails after an answer in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n", closedWrite, leaveWriteToClose, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			body, err := readAnswer(g, newStalledConn(c.answer, c.write), c.release)
			g.Expect(body).To(Equal("answer"))
			if c.whole {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			var unproven *UnprovenEndError
			g.Expect(errors.As(err, &unproven)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against a wait for a write that net/http never starts.
func TestEndBeforeWriteIsDecidedAtOnce(t *testing.T) {
	g := NewWithT(t)
	inner, _ := net.Pipe()
	defer inner.Close()
	_, use := Track(context.Background(), 0)
	use.gotConn(httptrace.GotConnInfo{Conn: newConn(inner)})
	g.Expect(use.wroteInFull(context.Background())).To(BeFalse())
}
