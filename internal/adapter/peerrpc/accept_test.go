package peerrpc

import (
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// scarceListener fails to accept while failures are left.
type scarceListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that takes no calls any more after its descriptors ran out once.
func TestAcceptGoesOnAfterAFailure(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	scarce := &scarceListener{Listener: listener}
	scarce.failures.Store(3)
	n := New(Options{})
	n.Handle("echo", echo)
	go n.Serve(scarce)
	t.Cleanup(n.Close)
	client := New(Options{})
	defer client.Close()
	result, err := client.Call(t.Context(), listener.Addr().String(), "echo", []byte("hello"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal([]byte("hello")))
}
