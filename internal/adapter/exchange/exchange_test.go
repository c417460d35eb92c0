package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/port"
)

// peer serves each connection with a function.
func peer(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get(c *Client, address string) (string, error) {
	answer, err := c.Do(context.Background(), address, &Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

// Guards against a refused connection that counts as one that may have carried
// the request, and the other way round.
func TestProofOfNotSent(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{IdleTimeout: time.Second})
	defer c.Close()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	closed := listener.Addr().String()
	_ = listener.Close()
	var failure *port.TransportError
	_, err = get(c, closed)
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Sent).To(BeFalse())
	_, err = get(c, peer(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = http.ReadRequest(reader) }))
	g.Expect(errors.As(err, &failure)).To(BeTrue())
	g.Expect(failure.Sent).To(BeTrue())
}

// Guards against a request on a pooled connection that its peer closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{IdleTimeout: time.Minute})
	defer c.Close()
	address := peer(t, func(conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err == nil {
			_, _ = io.WriteString(conn, okAnswer)
		}
	})
	for range 5 {
		body, err := get(c, address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("ok"))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against an idle connection that is used after the time that its peer
// named.
func TestNamedIdleTimeout(t *testing.T) {
	g := NewWithT(t)
	header := http.Header{"Keep-Alive": {"max=5, timeout=3"}}
	g.Expect(keepAlive(header)).To(Equal(3 * time.Second))
	g.Expect(keepAlive(http.Header{"Keep-Alive": {"timeout=soon"}})).To(BeZero())
	p := newPool(time.Minute)
	near, far := net.Pipe()
	defer far.Close()
	now := time.Now()
	p.put("a", newConn(near), 3*time.Second, now)
	g.Expect(p.take("a", now.Add(3*time.Second))).To(BeNil())
}

// Guards against a request behind a partition that is delivered after its
// caller left: the connection must be reset, not closed in order.
func TestAbandonedRequestIsReset(t *testing.T) {
	g := NewWithT(t)
	ended := make(chan error, 1)
	address := peer(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = http.ReadRequest(reader)
		_, err := reader.ReadByte()
		ended <- err
	})
	c := New(Options{IdleTimeout: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := c.Do(ctx, address, &Request{Method: "GET", Target: "/x", Host: "h", Header: http.Header{}})
	g.Expect(err).To(HaveOccurred())
	var reason error
	g.Eventually(ended, "2s").Should(Receive(&reason))
	g.Expect(reason).To(MatchError(ContainSubstring("reset")))
}

// Guards against a request head that a header could split.
func TestEncodedHead(t *testing.T) {
	g := NewWithT(t)
	seen := make(chan *http.Request, 1)
	address := peer(t, func(conn net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		request.Header.Set("Body", string(body))
		seen <- request
		_, _ = io.WriteString(conn, okAnswer)
	})
	c := New(Options{IdleTimeout: time.Minute})
	answer, err := c.Do(context.Background(), address, &Request{
		Method: "POST", Target: "/a%2Fb?x=1", Host: "h.example", Header: http.Header{"X-One": {"a\r\nX-Two: b"}}, Body: []byte(strings.Repeat("z", 40_000)),
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer answer.Close()
	request := <-seen
	g.Expect(request.RequestURI).To(Equal("/a%2Fb?x=1"))
	g.Expect(request.Host).To(Equal("h.example"))
	g.Expect(request.Header.Get("X-Two")).To(BeEmpty())
	g.Expect(request.Header.Get("Body")).To(HaveLen(40_000))
}
