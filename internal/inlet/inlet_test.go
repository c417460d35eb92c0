package inlet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testServer is a server behind an inlet. It reads the whole body and answers with its size.
type testServer struct {
	inlet    *Inlet
	listener *Listener
	address  string
	// hold, if not nil, delays answers until it is closed. started gets a value for each request
	// that was read to its end.
	hold    chan struct{}
	started chan struct{}
}

func newTestServer(t *testing.T, size Size) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{inlet: New(Options{Size: size}), address: inner.Addr().String(), started: make(chan struct{}, 100)}
	s.listener = s.inlet.Listen(inner, "test", 1, true)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.started <- struct{}{}
		if s.hold != nil {
			<-s.hold
		}
		_, _ = fmt.Fprint(w, len(data))
	})}
	Bound(server, s.listener, 1)
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status reads the status of an answer; 0 means that there was none.
func status(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

const ordinary = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

var roomy = Size{Connections: 8, Bytes: 1 << 20}

// Guards against a connection without progress that keeps its place although another client
// needs it, and against closing a request that runs instead.
func TestStalledConnectionGivesItsPlace(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, Size{Connections: 2, Bytes: 1 << 20})
	s.hold = make(chan struct{})
	running := s.dial(t, ordinary)
	<-s.started
	stalled := s.dial(t, ordinary[:len(ordinary)-1])
	g.Eventually(s.inlet.connections).Should(Equal(2))
	third := s.dial(t, ordinary)
	<-s.started
	close(s.hold)
	g.Expect(status(running)).To(Equal(http.StatusOK))
	g.Expect(status(third)).To(Equal(http.StatusOK))
	g.Expect(status(stalled)).To(BeZero())
}

// Guards against a connection that is closed, instead of refused as not run, while all places
// are taken by requests that run.
func TestNoPlaceIsSaid(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, Size{Connections: 1, Bytes: 1 << 20})
	s.hold = make(chan struct{})
	running := s.dial(t, ordinary)
	<-s.started
	refused, err := net.Dial("tcp4", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer refused.Close()
	g.Expect(status(refused)).To(Equal(http.StatusServiceUnavailable))
	close(s.hold)
	g.Expect(status(running)).To(Equal(http.StatusOK))
}

// Guards against a head or a body that is not counted, or not returned to the budget.
func TestBytesAreCountedAndReturned(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, Size{Connections: 8, Bytes: 128 << 10})
	large := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("b", 200_000)
	g.Expect(status(s.dial(t, large))).To(Equal(http.StatusServiceUnavailable))
	head := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("h", 60<<10))
	g.Expect(status(head)).To(Equal(http.StatusServiceUnavailable))
	// What is left is that of connections without a request.
	g.Eventually(func() int64 { return s.inlet.budget.Used() - int64(s.inlet.connections())*connBytes }).Should(BeZero())
	g.Expect(status(s.dial(t, ordinary))).To(Equal(http.StatusOK))
}

// Guards against limits of the document that are ignored or hold for new connections only.
func TestLimitsOfTheDocumentAreObeyedAsTheyChange(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, roomy)
	conn := s.dial(t, ordinary)
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = io.Copy(io.Discard, answer.Body)
	s.listener.SetLimits(Limits{MaxHeaderBytes: 1000, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 300 * time.Millisecond})
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("h", 1000)+"\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	answer, err = http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))

	idle := s.dial(t, ordinary)
	g.Expect(status(idle)).To(Equal(http.StatusOK))
	_ = idle.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = idle.Read(make([]byte, 1))
	g.Expect(errors.Is(err, io.EOF)).To(BeTrue(), "an idle connection is closed: %v", err)

	slow := s.dial(t, ordinary[:20])
	g.Expect(status(slow)).To(Equal(http.StatusRequestTimeout))
}

// Guards against limits that an ordinary client meets: a connection that is reused shortly
// before the end of the idle time, a head of the full size, and a body sent slowly.
func TestOrdinaryClientsMeetNoLimit(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, roomy)
	s.listener.SetLimits(Limits{MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 500 * time.Millisecond})
	conn := s.dial(t, "")
	reader := bufio.NewReader(conn)
	const start = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX: "
	head := start + strings.Repeat("h", 16384-len(start)-len("\r\n\r\n")) + "\r\n\r\n"
	g.Expect(head).To(HaveLen(16384))
	for range 3 {
		for _, part := range []string{head, "ab", "cd"} {
			_, err := io.WriteString(conn, part)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
		}
		answer, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answer.StatusCode).To(Equal(http.StatusOK))
		_, _ = io.Copy(io.Discard, answer.Body)
		time.Sleep(250 * time.Millisecond)
	}
}

// Guards against one address that takes the places of others while places are scarce.
func TestAddressOverItsShareGivesUpFirst(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, Size{Connections: 4, Bytes: 1 << 20})
	dialFrom := func(ip string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp4", s.address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, ordinary)
		g.Expect(err).NotTo(HaveOccurred())
		return conn
	}
	// The only connection of an address is idle and the oldest.
	alone := dialFrom("127.0.0.2")
	g.Expect(status(alone)).To(Equal(http.StatusOK))
	var many []net.Conn
	for range 3 {
		many = append(many, dialFrom("127.0.0.3"))
		g.Expect(status(many[len(many)-1])).To(Equal(http.StatusOK))
	}
	g.Expect(status(dialFrom("127.0.0.4"))).To(Equal(http.StatusOK))
	g.Expect(status(many[0])).To(BeZero())
	_, err := io.WriteString(alone, ordinary)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status(alone)).To(Equal(http.StatusOK))
}

// Guards against a size for which the settings of a small VM leave too few connections, or more
// memory or descriptors than it has.
func TestSizes(t *testing.T) {
	g := NewWithT(t)
	entry := SizeOf(144<<20, 3075, ShareWithEndpoints)
	g.Expect(entry.Connections).To(Equal(1383))
	g.Expect(entry.Bytes).To(BeNumerically("~", 56<<20, 1<<20))
	g.Expect(SizeOf(0, 0, ShareWithEndpoints).Bytes).To(BeEquivalentTo(defaultBudgetBytes))
	g.Expect(SizeOfHeap(256 << 20).Bytes).To(BeEquivalentTo(128 << 20))
	g.Expect(SizeOfHeap(0).Connections).To(BeNumerically(">", 0))
}

// Guards against a client that keeps the memory of a declared body with single bytes, while
// others need it.
func TestSingleBytesAreNoProgress(t *testing.T) {
	g := NewWithT(t)
	s := newTestServer(t, Size{Connections: 8, Bytes: 256 << 10})
	const size = 150_000
	head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	trickling := s.dial(t, head+strings.Repeat("b", size-100))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 30 {
			if _, err := trickling.Write([]byte("b")); err != nil {
				return
			}
			time.Sleep(stallTime / 10)
		}
	}()
	g.Eventually(s.inlet.budget.Used).Should(BeNumerically(">", size-200))
	time.Sleep(stallTime + stallTime/5)
	g.Expect(status(s.dial(t, head+strings.Repeat("b", size)))).To(Equal(http.StatusOK))
	<-done
	g.Expect(status(trickling)).To(BeZero())
}

// Guards against the time for heads that ends requests which run longer: the server reads on
// while a handler runs, to notice that the client is gone.
func TestRunningRequestsOutliveTheTimeForHeads(t *testing.T) {
	const headerTimeout, requests = 20 * time.Millisecond, 60
	g := NewWithT(t)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := New(Options{Size: Size{Connections: requests, Bytes: 16 << 20}}).Listen(inner, "test", 1, true)
	listener.SetLimits(Limits{HeaderTimeout: headerTimeout})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		case <-time.After(4 * headerTimeout):
		}
	})}
	Bound(server, listener, 1)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	s := &testServer{address: inner.Addr().String()}
	var conns []net.Conn
	for range requests {
		conns = append(conns, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	for _, conn := range conns {
		g.Expect(status(conn)).To(Equal(http.StatusOK))
	}
}
