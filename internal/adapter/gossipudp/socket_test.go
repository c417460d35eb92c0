package gossipudp

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against datagrams that change in transit, wrong counters, and a Serve that
// does not return after Close.
func TestSendAndServe(t *testing.T) {
	g := gomega.NewWithT(t)
	a, err := Listen("127.0.0.1:0", "", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Close()
	b, err := Listen("127.0.0.1:0", "b", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	type datagram struct{ from, data string }
	arrived := make(chan datagram, 1)
	served := make(chan error, 1)
	go func() {
		served <- b.Serve(func(from string, data []byte) { arrived <- datagram{from, string(data)} })
	}()
	g.Expect(a.Send(b.Address(), []byte("hello"))).To(gomega.Succeed())
	g.Eventually(arrived).Should(gomega.Receive(gomega.Equal(datagram{a.Address(), "hello"})))
	g.Expect(a.Stats().BytesSent).To(gomega.BeEquivalentTo(5))
	g.Expect(b.Stats().BytesReceived).To(gomega.BeEquivalentTo(5))
	g.Expect(b.Close()).To(gomega.Succeed())
	g.Eventually(served).Should(gomega.Receive(gomega.BeNil()))

	var addressErr *AddressError
	g.Expect(errors.As(a.Send("host.example:1", nil), &addressErr)).To(gomega.BeTrue())
	_, err = Listen("nowhere", "", nil)
	g.Expect(errors.As(err, &addressErr)).To(gomega.BeTrue())
}

// loadTestKeys writes a key file and loads it with LoadKeys.
func loadTestKeys(t *testing.T, text string) (*Keys, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadKeys(path)
}

// Guards against forged datagrams, and against daemons that reject each other's
// datagrams while their keys are replaced one after the other.
func TestAuthentication(t *testing.T) {
	g := gomega.NewWithT(t)
	first, second := strings.Repeat("1a", minKeyBytes), strings.Repeat("2b", minKeyBytes)
	listen := func(text string) *Socket {
		var keys *Keys
		if text != "" {
			var err error
			keys, err = loadTestKeys(t, text)
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		s, err := Listen("127.0.0.1:0", "", keys)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = s.Close() })
		return s
	}
	receiver := listen(first + "\n" + second + "\n")
	arrived := make(chan string, 10)
	go func() { _ = receiver.Serve(func(_ string, data []byte) { arrived <- string(data) }) }()
	for text, accepted := range map[string]bool{
		first: true, second: true, second + "\n\n" + first: true, strings.Repeat("3c", minKeyBytes): false, "": false,
	} {
		before := receiver.Stats().Rejected
		g.Expect(listen(text).Send(receiver.Address(), []byte("a datagram that is longer than a code"))).To(gomega.Succeed())
		if accepted {
			g.Eventually(arrived, time.Second).Should(gomega.Receive(gomega.Equal("a datagram that is longer than a code")), text)
			continue
		}
		g.Eventually(func() uint64 { return receiver.Stats().Rejected }, time.Second).Should(gomega.Equal(before+1), text)
		g.Expect(arrived).To(gomega.BeEmpty())
	}
	g.Expect(listen("").Send(receiver.Address(), []byte("short"))).To(gomega.Succeed())
	g.Eventually(func() uint64 { return receiver.Stats().Rejected }, time.Second).Should(gomega.BeEquivalentTo(3))
}

// Guards against a key file that is accepted although it contains no key or an
// invalid one.
func TestInvalidKeyFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	var keyErr *KeyError
	for _, text := range []string{"", "\n \n", "not hexadecimal", strings.Repeat("1a", minKeyBytes-1), strings.Repeat("1a", minKeyBytes) + "\nzz"} {
		_, err := loadTestKeys(t, text)
		g.Expect(errors.As(err, &keyErr)).To(gomega.BeTrue(), "%q", text)
	}
	_, err := LoadKeys(filepath.Join(t.TempDir(), "absent"))
	g.Expect(errors.As(err, &keyErr)).To(gomega.BeTrue())
}
