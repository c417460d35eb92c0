package inlet

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
)

// callerHeads are the heads of requests whose answers end in different ways.
var callerHeads = map[string]string{
	"HTTP/1.0":            "GET / HTTP/1.0\r\n\r\n",
	"HTTP/1.0 keep-alive": "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
	"HTTP/1.1 close":      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	"HTTP/1.1 keep-alive": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
}

const answerPart = "data: part\n\n"

// startAnswering serves a handler behind an inlet, with TLS if it is asked for.
func startAnswering(t *testing.T, secure bool, handler http.HandlerFunc) (*httptest.Server, *Listener) {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	server.Config.Handler = handler
	if secure {
		server.Config.TLSConfig = &tls.Config{}
	}
	listener := New(Options{Size: roomy}).Listen(server.Listener, "test", 1, true)
	Bound(server.Config, listener, 1)
	server.Listener = listener
	if server.Config.TLSConfig = nil; secure {
		server.StartTLS()
	} else {
		server.Start()
	}
	t.Cleanup(server.Close)
	return server, listener
}

// request sends a head and returns the connection.
func request(t *testing.T, server *httptest.Server, head string) net.Conn {
	t.Helper()
	var conn net.Conn
	var err error
	if address := server.Listener.Addr().String(); server.TLS != nil {
		conn, err = tls.Dial("tcp4", address, &tls.Config{InsecureSkipVerify: true})
	} else {
		conn, err = net.Dial("tcp4", address)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	return conn
}

// rest reads a connection to its end and returns the body, and the error of a client that reads it by HTTP.
func rest(conn net.Conn, before string) (string, error) {
	data, err := io.ReadAll(conn)
	if err == nil {
		err = io.EOF
	}
	raw := io.MultiReader(strings.NewReader(before), bytes.NewReader(data), iotest.ErrReader(err))
	response, err := http.ReadResponse(bufio.NewReader(raw), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// readPart reads until a part of the body has arrived.
func readPart(t *testing.T, conn net.Conn) string {
	t.Helper()
	var read strings.Builder
	for buffer := make([]byte, 1<<10); !strings.Contains(read.String(), answerPart); {
		n, err := conn.Read(buffer)
		read.Write(buffer[:n])
		if err != nil {
			t.Fatal(err)
		}
	}
	return read.String()
}

// evictAll closes all connections of a listener.
func evictAll(l *Listener) {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range conns {
		c.evict(ReasonStalled)
	}
}

// breakOff ends an answer in the middle by a function, and checks what its caller sees.
func breakOff(t *testing.T, head string, secure bool, end func(*httptest.Server, *Listener)) {
	var server *httptest.Server
	var listener *Listener
	read := make(chan struct{})
	server, listener = startAnswering(t, secure, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, answerPart)
		_ = http.NewResponseController(w).Flush()
		<-read
		_, _ = io.WriteString(w, answerPart)
		end(server, listener)
	})
	conn := request(t, server, head)
	before := readPart(t, conn)
	close(read)
	body, err := rest(conn, before)
	NewWithT(t).Expect(err).To(HaveOccurred(), "whole for the caller: %q", body)
}

// Guards against an answer that breaks off and looks complete to its caller.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	causes := map[string]func(*httptest.Server, *Listener){
		"abort": func(*httptest.Server, *Listener) { panic(http.ErrAbortHandler) },
		"panic": func(*httptest.Server, *Listener) { panic("handler failed") },
		"close": func(server *httptest.Server, _ *Listener) { _ = server.Config.Close() },
		"evict": func(_ *httptest.Server, l *Listener) { evictAll(l) },
	}
	for name, head := range callerHeads {
		for cause, end := range causes {
			t.Run(name+"/TCP/"+cause, func(t *testing.T) { breakOff(t, head, false, end) })
			if cause != "close" {
				t.Run(name+"/TLS/"+cause, func(t *testing.T) { breakOff(t, head, true, end) })
			}
		}
	}
}

// Guards against a broken answer that looks complete because its server ended the TLS session.
func TestAnswerOfClosedTLSServerIsNotComplete(t *testing.T) {
	for name, head := range callerHeads {
		t.Run(name, func(t *testing.T) {
			breakOff(t, head, true, func(server *httptest.Server, l *Listener) { _ = l.CloseServer(server.Config) })
		})
	}
}

// Guards against an answer that looks complete although a write to the caller failed.
func TestUnwrittenAnswerIsNotComplete(t *testing.T) {
	for cause, part := range map[string]int{"budget is full": 32 << 20, "caller does not read": 32 << 10} {
		server, listener := startAnswering(t, false, func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
			for written := 0; written < 32<<20; written += part {
				_, _ = w.Write(make([]byte, part))
			}
		})
		conn := request(t, server, callerHeads["HTTP/1.0"])
		g := NewWithT(t)
		g.Eventually(listener.inlet.connections, "10s").Should(BeZero())
		body, err := rest(conn, "")
		g.Expect(err).To(HaveOccurred(), "%s: %d bytes are whole for the caller", cause, len(body))
	}
}

// Guards against whole answers that a reset takes from callers who read slowly.
func TestWholeAnswerReachesSlowReader(t *testing.T) {
	const size = 100 << 10
	for name, head := range callerHeads {
		for _, secure := range []bool{false, true} {
			server, listener := startAnswering(t, secure, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_ = http.NewResponseController(w).Flush()
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			})
			conn := request(t, server, head)
			g := NewWithT(t)
			g.Eventually(listener.inlet.connections, "10s").Should(BeZero(), name)
			body, err := rest(conn, "")
			g.Expect(err).NotTo(HaveOccurred(), name)
			g.Expect(body).To(HaveLen(size), name)
		}
	}
}

// Guards against short answers that end the connections of HTTP/1.0 callers who keep them.
func TestOldCallerKeepsItsConnection(t *testing.T) {
	server, _ := startAnswering(t, false, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answerPart) })
	conn := request(t, server, callerHeads["HTTP/1.0 keep-alive"])
	reader := bufio.NewReader(conn)
	for range 3 {
		response, err := http.ReadResponse(reader, nil)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		_, _ = io.WriteString(conn, callerHeads["HTTP/1.0 keep-alive"])
	}
}
