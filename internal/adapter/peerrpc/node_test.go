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

func start(t *testing.T, options Options, methods map[string]func(context.Context, []byte) ([]byte, error)) (*Node, string) {
	t.Helper()
	n := New(options)
	for name, handler := range methods {
		n.Handle(name, handler)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = n.Serve(listener) }()
	t.Cleanup(n.Close)
	return n, listener.Addr().String()
}

func echo(_ context.Context, params []byte) ([]byte, error) { return params, nil }

func never(ctx context.Context, _ []byte) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a slow method that delays others on its connection, and
// against errors that do not tell whether the request may have run.
func TestCallsAndErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	methods := map[string]func(context.Context, []byte) ([]byte, error){
		"echo": echo, "never": never,
		"fail": func(context.Context, []byte) ([]byte, error) { return nil, errors.New("refused by method") },
	}
	_, address := start(t, Options{}, methods)
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
	g.Expect(MaySent(err)).To(gomega.BeTrue())
	_, err = client.Call(t.Context(), address, "absent", nil)
	g.Expect(MaySent(err)).To(gomega.BeFalse())
	_, err = client.Call(t.Context(), "127.0.0.1:1", "echo", nil)
	var unreachable *UnreachableError
	g.Expect(errors.As(err, &unreachable)).To(gomega.BeTrue())
	g.Expect(MaySent(err)).To(gomega.BeFalse())

	err = <-slowErr
	var timeout *TimeoutError
	g.Expect(errors.As(err, &timeout)).To(gomega.BeTrue(), "%v", err)
	g.Expect(timeout.Sent).To(gomega.BeTrue())
	g.Expect(client.Stats().Silent).To(gomega.BeZero(), "a slow method is not a silent connection")
	g.Expect(client.Stats().BytesSent).To(gomega.BeNumerically(">", len(big)*4/3))
}

// proxy forwards TCP until frozen; connections accepted later are forwarded again.
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
	p.thaw()
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

func (p *proxy) thaw() { c := make(chan struct{}); p.freeze.Store(&c) }

// freezeOpen stops the open connections and keeps them open.
func (p *proxy) freezeOpen() {
	old := *p.freeze.Load()
	p.thaw()
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

// Guards against a pooled connection that stays silent for good while new ones
// work (connection tracking lost on the path).
func TestFrozenConnectionIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address := start(t, Options{}, map[string]func(context.Context, []byte) ([]byte, error){"echo": echo})
	path := newProxy(t, address)
	client := New(Options{})
	defer client.Close()
	front := path.listener.Addr().String()
	_, err := client.Call(t.Context(), front, "echo", []byte("a"))
	g.Expect(err).NotTo(gomega.HaveOccurred())

	path.freezeOpen()
	began := time.Now()
	_, err = client.Call(t.Context(), front, "echo", []byte("b"))
	var silent *SilentError
	g.Expect(errors.As(err, &silent)).To(gomega.BeTrue(), "%v", err)
	g.Expect(MaySent(err)).To(gomega.BeTrue())
	_, err = client.Call(t.Context(), front, "echo", []byte("c"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	// The bound allows half as much again for scheduling on a busy machine.
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", SilenceBound*3/2))
	t.Logf("replaced after %v", time.Since(began))
	g.Expect(client.Stats().Silent).To(gomega.BeEquivalentTo(1))
}

// Guards against unbounded work from one client: calls beyond the limit are
// refused, and the refusal proves that they were not run.
func TestServerRefusesBeyondLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	started := make(chan struct{})
	hold := func(ctx context.Context, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_, address := start(t, Options{MaxInFlight: 1}, map[string]func(context.Context, []byte) ([]byte, error){"hold": hold, "echo": echo})
	client := New(Options{MaxInFlight: 8})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = client.Call(ctx, address, "hold", nil) }()
	// The place must be taken before the second call: otherwise that one takes
	// it and the call that should hold it is refused.
	g.Eventually(started).WithTimeout(10 * time.Second).Should(gomega.BeClosed())
	_, err := client.Call(t.Context(), address, "echo", nil)
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(MaySent(err)).To(gomega.BeFalse())
}

// Guards against a connection that carries only notifications, which expect
// no answer, and stays silent unnoticed.
func TestFrozenNotificationsAreNoticed(t *testing.T) {
	g := gomega.NewWithT(t)
	var got atomic.Int64
	count := func(context.Context, []byte) ([]byte, error) { got.Add(1); return nil, nil }
	_, address := start(t, Options{}, map[string]func(context.Context, []byte) ([]byte, error){"count": count})
	path := newProxy(t, address)
	client := New(Options{})
	defer client.Close()
	front := path.listener.Addr().String()
	g.Expect(client.Notify(t.Context(), front, "count", nil)).To(gomega.Succeed())
	g.Eventually(got.Load).Should(gomega.BeEquivalentTo(1))
	path.freezeOpen()
	began := time.Now()
	for got.Load() == 1 && time.Since(began) < 3*SilenceBound {
		_ = client.Notify(t.Context(), front, "count", nil)
		time.Sleep(20 * time.Millisecond)
	}
	// The bound allows half as much again for scheduling on a busy machine.
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", SilenceBound*3/2))
	t.Logf("replaced after %v", time.Since(began))
}

// Guards against connections that count as silent while one side still decodes
// a message, such as a snapshot: the probe waits behind it.
func TestLargeMessageIsNotSilence(t *testing.T) {
	const size = 6 << 20
	g := gomega.NewWithT(t)
	_, address := start(t, Options{}, map[string]func(context.Context, []byte) ([]byte, error){"echo": echo})
	client := New(Options{Timeout: time.Minute})
	defer client.Close()
	big := make([]byte, size)
	result, err := client.Call(t.Context(), address, "echo", big)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(bytes.Equal(result, big)).To(gomega.BeTrue())
	g.Expect(client.Stats().Silent).To(gomega.BeZero())
}

// Guards against connections that are taken on while the node is closed: Close
// would not wait for them, and a listener given to a closed node stayed open.
func TestCloseWhileConnectionsArrive(t *testing.T) {
	const rounds, callers = 100, 4
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		node := New(Options{})
		served := make(chan error, 1)
		go func() { served <- node.Serve(listener) }()
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
					_ = conn.Close()
				}
			})
		}
		node.Close()
		group.Wait()
		if err := <-served; err != nil {
			t.Fatal(err)
		}
		if conn, err := net.Dial("tcp", listener.Addr().String()); err == nil {
			_ = conn.Close()
			t.Fatal("the listener of a closed node is open")
		}
	}
}
