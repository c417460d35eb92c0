package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// unsentBytes exceeds what the kernel buffers for a peer that reads nothing: tcp_wmem
	// allows 4 MB, and the receive buffers of the peers are limited.
	unsentBytes = 16 << 20
	// receiveBufferBytes limits the receive buffer of a peer. Below the segment size of the
	// loopback interface, 64 KB, a transfer gets slow: 48 KB/s with 4 KB.
	receiveBufferBytes = 128 << 10
	// earlyTries is how often a race is tried for each case.
	earlyTries = 20
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\n\r\n"
	lengthHead   = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	chunkedHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n"
)

// largeBody is shared by all requests, which are cut to their size.
var largeBody = bytes.Repeat([]byte("b"), unsentBytes)

// post sends a request with a body of a size, and reads its answer.
func post(ctx context.Context, address string, size int) (string, error) {
	return send(ctx, http.MethodPost, address, size)
}

func send(ctx context.Context, method, address string, size int) (string, error) {
	c := New(Options{IdleTimeout: time.Minute})
	defer c.Close()
	answer, err := c.Do(ctx, address, &Request{Method: method, Target: "/x", Host: "h", Header: http.Header{}, Body: largeBody[:size]})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

// answerEarly writes an answer once it has the head of the request.
func answerEarly(conn net.Conn, reader *bufio.Reader, text string) (*http.Request, error) {
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)
	request, err := http.ReadRequest(reader)
	if err == nil {
		_, err = io.WriteString(conn, text)
	}
	return request, err
}

func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Guards against a part that counts as complete after a reset while the request is being written.
func TestResetEarlyAnswerIsNotComplete(t *testing.T) {
	for _, size := range []int{concurrentWriteBytes - 1, concurrentWriteBytes, concurrentWriteBytes + 1, 1 << 20, unsentBytes} {
		for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(size, " bytes, ", pause), func(t *testing.T) {
				address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
					_, _ = answerEarly(conn, reader, unframedHead+"part")
					time.Sleep(pause)
					resetConn(conn)
				})
				whole := 0
				for range earlyTries {
					if _, err := post(t.Context(), address, size); err == nil {
						whole++
					}
				}
				NewWithT(t).Expect(whole).To(BeZero(), "complete in %d of %d tries", whole, earlyTries)
			})
		}
	}
}

// Guards against the same where the endpoint closes its side of the connection before the reset.
func TestClosedEarlyAnswerIsNotComplete(t *testing.T) {
	for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = answerEarly(conn, reader, unframedHead+"part")
				_ = conn.(*net.TCPConn).CloseWrite()
				time.Sleep(pause)
				resetConn(conn)
			})
			for range earlyTries {
				_, err := post(t.Context(), address, unsentBytes)
				NewWithT(t).Expect(err).To(HaveOccurred())
			}
		})
	}
}

// Guards against an unframed answer that is cut although its endpoint read the request, if late.
func TestSoundEarlyAnswerIsWhole(t *testing.T) {
	for _, size := range []int{concurrentWriteBytes - 1, concurrentWriteBytes, concurrentWriteBytes + 1, 1 << 20, unsentBytes} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(fmt.Sprint(size, " bytes, ", pause), func(t *testing.T) {
				address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
					request, err := answerEarly(conn, reader, unframedHead+"whole")
					if err != nil {
						return
					}
					_ = conn.(*net.TCPConn).CloseWrite()
					time.Sleep(pause)
					_, _ = io.Copy(io.Discard, request.Body)
				})
				for range earlyTries {
					body, err := post(t.Context(), address, size)
					NewWithT(t).Expect(err).NotTo(HaveOccurred())
					NewWithT(t).Expect(body).To(Equal("whole"))
				}
			})
		}
	}
}

// Guards against a framed early answer that waits for an endpoint that never reads the request.
func TestFramedEarlyAnswerDoesNotWaitForTheRequest(t *testing.T) {
	for text, method := range map[string]string{
		lengthHead + "done": "POST", chunkedHead + "done\r\n0\r\n\r\n": "POST", "HTTP/1.1 204 No Content\r\n\r\n": "POST", unframedHead: "HEAD",
	} {
		released := make(chan struct{})
		address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = answerEarly(conn, reader, text)
			<-released
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err := send(ctx, method, address, unsentBytes)
		cancel()
		close(released)
		NewWithT(t).Expect(err).NotTo(HaveOccurred(), text)
	}
}

// Guards against a part that counts as complete, or a reader that hangs, when an attempt is ended.
func TestEndedAttemptIsNotComplete(t *testing.T) {
	for name, end := range map[string]func(a *Answer, cancel func()){
		"context":  func(_ *Answer, cancel func()) { time.AfterFunc(10*time.Millisecond, cancel) },
		"deadline": func(a *Answer, _ func()) { a.SetDeadline(time.Now().Add(10 * time.Millisecond)) },
		"late deadline": func(a *Answer, _ func()) {
			time.AfterFunc(10*time.Millisecond, func() { a.SetDeadline(time.Unix(1, 0)) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			released := make(chan struct{})
			defer close(released)
			address := startPeer(t, func(conn net.Conn, reader *bufio.Reader) {
				_, _ = answerEarly(conn, reader, unframedHead+"part")
				_ = conn.(*net.TCPConn).CloseWrite()
				<-released
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := New(Options{IdleTimeout: time.Minute})
			answer, err := c.Do(ctx, address, &Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: largeBody})
			g.Expect(err).NotTo(HaveOccurred())
			defer answer.Close()
			end(answer, cancel)
			_, err = io.ReadAll(answer)
			g.Expect(err).To(HaveOccurred())
			g.Expect(isTimeout(err)).To(Equal(name != "context"))
		})
	}
}

// slowWriter is a connection whose answer ends before a write of the request returns.
type slowWriter struct {
	net.Conn
	answer  io.Reader
	ended   chan struct{}
	written chan error
}

// Read implements net.Conn.
func (c *slowWriter) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if errors.Is(err, io.EOF) {
		close(c.ended)
	}
	return n, err
}

// Write implements net.Conn.
func (c *slowWriter) Write(p []byte) (int, error) {
	<-c.ended
	if err := <-c.written; err != nil {
		return 0, err
	}
	return len(p), nil
}

// SetWriteDeadline implements net.Conn.
func (c *slowWriter) SetWriteDeadline(time.Time) error { return nil }

// Guards against an end that is judged before the last write of the request has returned.
func TestEndBeforeTheLastWrite(t *testing.T) {
	for name, writeErr := range map[string]error{"written": nil, "reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			raw := &slowWriter{answer: strings.NewReader(unframedHead + "body"), ended: make(chan struct{}), written: make(chan error, 2)}
			raw.written <- writeErr
			raw.written <- writeErr
			answer, err := newConn(raw).roundTrip(&Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: largeBody})
			g.Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(answer)
			g.Expect(string(body)).To(Equal("body"))
			if writeErr == nil {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(ErrRequestNotWritten))
			g.Expect(err).To(MatchError(writeErr))
		})
	}
}
