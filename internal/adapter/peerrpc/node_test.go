package peerrpc

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func startNode(t *testing.T, options Options, methods map[string]func(context.Context, []byte) ([]byte, error)) (*Node, string) {
	t.Helper()
	n := New(options)
	for name, handler := range methods {
		n.Handle(name, handler)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { n.Serve(listener) }()
	t.Cleanup(n.Close)
	return n, listener.Addr().String()
}

func echo(_ context.Context, params []byte) ([]byte, error) { return params, nil }

func blockUntilCanceled(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a slow method that delays other calls on its connection, and
// against errors that do not say whether the request may have run.
func TestCallsAndErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	methods := map[string]func(context.Context, []byte) ([]byte, error){
		"echo": echo, "never": blockUntilCanceled,
		"fail": func(context.Context, []byte) ([]byte, error) { return nil, errors.New("refused by method") },
	}
	_, address := startNode(t, Options{}, methods)
	client := New(Options{})
	defer client.Close()

	slow, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	slowErr := make(chan error, 1)
	go func() { _, err := client.Call(slow, address, "never", nil); slowErr <- err }()
	big := make([]byte, 300<<10)
	for _, params := range [][]byte{[]byte("hello"), big, {}} {
		result, err := client.Call(t.Context(), address, "echo", params)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(result).To(gomega.Equal(params))
	}
	var remote *RemoteError
	_, err := client.Call(t.Context(), address, "fail", nil)
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeTrue())
	_, err = client.Call(t.Context(), address, "absent", nil)
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeFalse())
	_, err = client.Call(t.Context(), "127.0.0.1:1", "echo", nil)
	var unreachable *UnreachableError
	g.Expect(errors.As(err, &unreachable)).To(gomega.BeTrue())
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeFalse())

	err = <-slowErr
	var timeout *TimeoutError
	g.Expect(errors.As(err, &timeout)).To(gomega.BeTrue(), "%v", err)
	g.Expect(timeout.Sent).To(gomega.BeTrue())
	g.Expect(client.Stats().Silent).To(gomega.BeZero(), "a slow method must not count as a silent connection")
	g.Expect(client.Stats().BytesSent).To(gomega.BeNumerically(">", len(big)*4/3))
}

// proxy forwards TCP connections. freezeOpenConns stops forwarding on the open
// connections; connections that are accepted later are forwarded.
type proxy struct {
	listener net.Listener
	target   string
	freeze   atomic.Pointer[chan struct{}]
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{listener: listener, target: target}
	p.renewFreezeSignal()
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			frozen := *p.freeze.Load()
			go forward(in, out, frozen)
			go forward(out, in, frozen)
		}
	}()
	return p
}

func (p *proxy) renewFreezeSignal() { c := make(chan struct{}); p.freeze.Store(&c) }

// freezeOpenConns stops forwarding on the open connections without closing them.
func (p *proxy) freezeOpenConns() {
	old := *p.freeze.Load()
	p.renewFreezeSignal()
	close(old)
}

func forward(from, to net.Conn, frozen chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-frozen:
			if err == nil {
				_, _ = io.Copy(io.Discard, from)
			}
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// Guards against a pooled connection that stays silent for good while new connections
// work, as happens when a device on the path loses its connection tracking.
func TestFrozenConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address := startNode(t, Options{}, map[string]func(context.Context, []byte) ([]byte, error){"echo": echo})
	path := newProxy(t, address)
	client := New(Options{})
	defer client.Close()
	proxyAddress := path.listener.Addr().String()
	_, err := client.Call(t.Context(), proxyAddress, "echo", []byte("a"))
	g.Expect(err).NotTo(gomega.HaveOccurred())

	path.freezeOpenConns()
	startTime := time.Now()
	_, err = client.Call(t.Context(), proxyAddress, "echo", []byte("b"))
	var silent *SilentError
	g.Expect(errors.As(err, &silent)).To(gomega.BeTrue(), "%v", err)
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeTrue())
	_, err = client.Call(t.Context(), proxyAddress, "echo", []byte("c"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// The limit is 1.5 times SilenceTimeout, to allow for scheduling on a busy machine.
	g.Expect(time.Since(startTime)).To(gomega.BeNumerically("<", SilenceTimeout*3/2))
	t.Logf("replaced after %v", time.Since(startTime))
	g.Expect(client.Stats().Silent).To(gomega.BeEquivalentTo(1))
}

// Guards against unbounded work from one client: calls beyond the limit must be
// refused with an error that proves that they were not run.
func TestServerRefusesCallsBeyondLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	started := make(chan struct{})
	block := func(ctx context.Context, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_, address := startNode(t, Options{MaxInFlight: 1}, map[string]func(context.Context, []byte) ([]byte, error){"hold": block, "echo": echo})
	client := New(Options{MaxInFlight: 8})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = client.Call(ctx, address, "hold", nil) }()
	// The first call must occupy the only slot before the second call is made.
	// Otherwise the second call could take the slot and the first be refused.
	g.Eventually(started).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
	_, err := client.Call(t.Context(), address, "echo", nil)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeFalse())
}

// Guards against a silent connection that is not detected because it carries only
// notifications, to which no answer is due.
func TestFrozenConnectionIsReplacedWithoutCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	var received atomic.Int64
	count := func(context.Context, []byte) ([]byte, error) { received.Add(1); return nil, nil }
	_, address := startNode(t, Options{}, map[string]func(context.Context, []byte) ([]byte, error){"count": count})
	path := newProxy(t, address)
	client := New(Options{})
	defer client.Close()
	proxyAddress := path.listener.Addr().String()
	g.Expect(client.Notify(t.Context(), proxyAddress, "count", nil)).To(gomega.Succeed())
	g.Eventually(received.Load).Should(gomega.BeEquivalentTo(1))
	path.freezeOpenConns()
	startTime := time.Now()
	for received.Load() == 1 && time.Since(startTime) < 3*SilenceTimeout {
		_ = client.Notify(t.Context(), proxyAddress, "count", nil)
		time.Sleep(20 * time.Millisecond)
	}
	// The limit is 1.5 times SilenceTimeout, to allow for scheduling on a busy machine.
	g.Expect(time.Since(startTime)).To(gomega.BeNumerically("<", SilenceTimeout*3/2))
	t.Logf("replaced after %v", time.Since(startTime))
}

// Guards against connections that count as silent while one side decodes a large
// message, such as a snapshot, behind which the probe waits.
func TestLargeMessageIsNotSilence(t *testing.T) {
	const size = 6 << 20
	g := gomega.NewWithT(t)
	_, address := startNode(t, Options{}, map[string]func(context.Context, []byte) ([]byte, error){"echo": echo})
	client := New(Options{Timeout: time.Minute})
	defer client.Close()
	big := make([]byte, size)
	result, err := client.Call(t.Context(), address, "echo", big)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(bytes.Equal(result, big)).To(gomega.BeTrue())
	g.Expect(client.Stats().Silent).To(gomega.BeZero())
}

// Guards against connections that are accepted while the node is being closed, for
// which Close would not wait, and against a listener that stays open because it was
// passed to a closed node.
func TestCloseWhileConnectionsArrive(t *testing.T) {
	const rounds, callers = 100, 4
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		node := New(Options{})
		served := make(chan struct{})
		go func() {
			defer close(served)
			node.Serve(listener)
		}()
		var dialers sync.WaitGroup
		for range callers {
			dialers.Go(func() {
				if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
					_ = conn.Close()
				}
			})
		}
		node.Close()
		dialers.Wait()
		<-served
		if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
			_ = conn.Close()
			t.Fatal("the listener of a closed node is still open")
		}
	}
}

// Guards against a call that ends the process of the daemon that serves it: without the
// check the panic of a handler ended this test.
func TestPanicOfAHandlerFailsItsCallOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	node, address := startNode(t, Options{}, map[string]func(context.Context, []byte) ([]byte, error){
		"echo": echo, "panic": func(context.Context, []byte) ([]byte, error) { panic("malformed message") },
	})
	client := New(Options{})
	defer client.Close()
	_, err := client.Call(t.Context(), address, "panic", nil)
	var remote *RemoteError
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(MayHaveBeenSent(err)).To(gomega.BeTrue())
	result, err := client.Call(t.Context(), address, "echo", []byte("next"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal([]byte("next")))
	g.Expect(node.meter.stats().Panics).To(gomega.BeEquivalentTo(1))
}
