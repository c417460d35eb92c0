package httpconn

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// Guards against a request that is reported as not sent although its bytes are sent
// later: net/http writes in a goroutine of its own, and the caller may cancel the
// request just before the write.
func TestUnsentRequestsNeverArrive(t *testing.T) {
	g := NewWithT(t)
	var arrived sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived.Store(r.Header.Get("Id"), true)
		_, _ = io.Copy(io.Discard, r.Body)
	}))
	defer server.Close()
	transport := NewTransport(Options{})
	var mu sync.Mutex
	var unsent []string
	sent, answered := 0, 0
	var workers sync.WaitGroup
	for worker := range 8 {
		workers.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(worker)))
			for i := range 1500 {
				id := strconv.Itoa(worker) + "-" + strconv.Itoa(i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rng.IntN(200))*time.Microsecond)
				ctx, use := Track(ctx, 0)
				req, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, io.NopCloser(strings.NewReader("x")))
				req.ContentLength = 1
				req.Header.Set("Id", id)
				resp, err := transport.RoundTrip(req)
				mu.Lock()
				switch {
				case err == nil:
					answered++
					resp.Body.Close()
				case use.Sent():
					sent++
				default:
					unsent = append(unsent, id)
				}
				mu.Unlock()
				cancel()
			}
		})
	}
	workers.Wait()
	time.Sleep(100 * time.Millisecond)
	t.Logf("answered %d, sent %d, unsent %d", answered, sent, len(unsent))
	g.Expect(unsent).NotTo(BeEmpty())
	for _, id := range unsent {
		_, found := arrived.Load(id)
		g.Expect(found).To(BeFalse(), id)
	}
}

// Guards against a read deadline of an earlier request that interrupts a later
// request on the same connection.
func TestReadDeadlineOfEarlierRequestHasNoEffect(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	conn := newConn(near)
	first := conn.startUse()
	conn.setReadDeadline(first, time.Now().Add(10*time.Millisecond))
	second := conn.startUse()
	conn.setReadDeadline(first, time.Now().Add(10*time.Millisecond))
	time.AfterFunc(50*time.Millisecond, func() { _, _ = far.Write([]byte("x")) })
	_, err := conn.Read(make([]byte, 1))
	g.Expect(err).NotTo(HaveOccurred())
	conn.setReadDeadline(second, time.Now().Add(10*time.Millisecond))
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	g.Expect(conn.readTimedOut.Load()).To(BeTrue())
}

// Guards against connections without the socket options that close a connection after
// a device on its path lost the connection's state.
func TestSocketOptions(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	conn, err := NewTransport(Options{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	raw, err := conn.(*Conn).Conn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	var userTimeout, idle int
	g.Expect(raw.Control(func(fd uintptr) {
		userTimeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		idle, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	})).To(Succeed())
	g.Expect(time.Duration(userTimeout) * time.Millisecond).To(Equal(defaultUserTimeout))
	g.Expect(time.Duration(idle) * time.Second).To(Equal(defaultKeepAliveIdle))
}

// Guards against a request that is reported as not sent although its bytes are sent
// later, in two orders that TestUnsentRequestsNeverArrive meets too rarely: the write
// starts after the report, or it is still running during the report.
func TestSentReportHoldsForLateWrites(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	defer far.Close()
	conn := newConn(near)
	g.Expect(conn.sentOrBlockWrites(conn.startUse())).To(BeFalse())
	_, err := conn.Write([]byte("x"))
	g.Expect(err).To(MatchError(ErrWritesBlocked))

	near, far = net.Pipe()
	conn = newConn(near)
	useNumber := conn.startUse()
	done := make(chan error)
	go func() { _, err := conn.Write([]byte("x")); done <- err }()
	g.Eventually(func() bool { conn.mu.Lock(); defer conn.mu.Unlock(); return conn.pendingWrites > 0 }).Should(BeTrue())
	g.Expect(conn.sentOrBlockWrites(useNumber)).To(BeTrue())
	_ = far.Close()
	g.Expect(<-done).To(HaveOccurred())
	g.Expect(conn.sentOrBlockWrites(useNumber)).To(BeFalse())
}
