package servicehttp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/port"
)

const (
	uploadBytes = 8 << 20
	uploads     = 50
	// resetPause lets the client read the part before the reset, which makes its writer take the reset more often.
	resetPause = 2 * time.Millisecond
)

// serveConns passes each connection of a listener to handle and returns its base URL.
func serveConns(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() { handle(conn.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		handlers.Wait()
	})
	return "http://" + listener.Addr().String()
}

// upload makes a call with a body of the given size.
func upload(baseURL string, size int) (*port.ServiceResult, error) {
	client := NewClient(httpconn.Options{})
	defer client.Close()
	call := &port.ServiceCall{AttemptID: "a", Method: http.MethodPost, Path: "/", Body: bytes.Repeat([]byte{'x'}, size)}
	return client.Call(context.Background(), baseURL, call)
}

func expectMayHaveRun(g *WithT, err error) {
	var failed *port.TransportError
	g.Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
	g.Expect(failed.Sent).To(BeTrue())
}

// Guards against a part that is taken for the whole answer where the write of the request takes the reset.
func TestPartBeforeResetDuringUploadIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	baseURL := serveConns(t, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(resetPause)
		_ = conn.SetLinger(0)
	})
	complete := 0
	for range uploads {
		_, err := upload(baseURL, uploadBytes)
		if err == nil {
			complete++
			continue
		}
		expectMayHaveRun(g, err)
	}
	g.Expect(complete).To(BeZero(), "parts taken for whole answers of %d", uploads)
}

// Guards against sound answers without a length that count as cut.
func TestAnswerWithoutLengthIsWhole(t *testing.T) {
	g := NewWithT(t)
	baseURL := serveConns(t, func(conn *net.TCPConn) {
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nread "+strconv.FormatInt(n, 10))
	})
	for _, size := range []int{0, 10, 4 << 10, 100 << 10, 1 << 20} {
		for range uploads {
			result, err := upload(baseURL, size)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(result.Body)).To(Equal("read " + strconv.Itoa(size)))
		}
	}
}

// Guards against a malformed answer that is passed on to the caller.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			baseURL := serveConns(t, func(conn *net.TCPConn) {
				defer conn.Close()
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\nbody")
			})
			_, err := upload(baseURL, 0)
			expectMayHaveRun(NewWithT(t), err)
		})
	}
}

// Guards against a call that counts as possibly run although the head of its answer says that it did not run.
func TestNotRunStandsWhereBodyIsCut(t *testing.T) {
	g := NewWithT(t)
	baseURL := serveConns(t, func(conn *net.TCPConn) {
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\n"+endpoint.HeaderRun+": not_run\r\nContent-Length: 100\r\n\r\npart")
	})
	_, err := upload(baseURL, 10)
	var refused *port.RefusedError
	g.Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
	g.Expect(refused.Body.Run).To(Equal(endpoint.NotRun))
}
