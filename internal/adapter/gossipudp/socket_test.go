package gossipudp

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against datagrams that change on the way, wrong counters, and a
// socket whose Serve does not end with Close.
func TestSendAndServe(t *testing.T) {
	g := gomega.NewWithT(t)
	a, err := Listen("127.0.0.1:0", "")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Close()
	b, err := Listen("127.0.0.1:0", "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	type got struct{ from, data string }
	arrived := make(chan got, 1)
	served := make(chan error, 1)
	go func() {
		served <- b.Serve(func(from string, data []byte) { arrived <- got{from, string(data)} })
	}()
	g.Expect(a.Send(b.Address(), []byte("hello"))).To(gomega.Succeed())
	g.Eventually(arrived).Should(gomega.Receive(gomega.Equal(got{a.Address(), "hello"})))
	g.Expect(a.Stats().BytesSent).To(gomega.BeEquivalentTo(5))
	g.Expect(b.Stats().BytesReceived).To(gomega.BeEquivalentTo(5))
	g.Expect(b.Close()).To(gomega.Succeed())
	g.Eventually(served).Should(gomega.Receive(gomega.BeNil()))

	var wrong *AddressError
	g.Expect(errors.As(a.Send("host.example:1", nil), &wrong)).To(gomega.BeTrue())
	_, err = Listen("nowhere", "")
	g.Expect(errors.As(err, &wrong)).To(gomega.BeTrue())
}
