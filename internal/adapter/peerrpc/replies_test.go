package peerrpc

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against results that fill the memory of a daemon because many peers ask for
// large ones and read none of them. Small calls must be answered meanwhile.
func TestResultsInFlightAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	const resultBytes, limit, peers = 512 << 10, 2 << 20, 16
	served := make(chan struct{}, 1000)
	methods := map[string]func(context.Context, []byte) ([]byte, error){
		"large": func(context.Context, []byte) ([]byte, error) {
			served <- struct{}{}
			return make([]byte, resultBytes), nil
		},
		"echo": echo,
	}
	node, address := startNode(t, Options{MaxReplyBytes: limit}, methods)
	for range peers {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		message := []byte(`{"jsonrpc":"2.0","method":"large","id":1}`)
		_, err = conn.Write(append(binary.AppendUvarint(nil, uint64(len(message))), message...))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	client := New(Options{})
	defer client.Close()
	for i := range peers {
		<-served
		g.Expect(node.Stats().ReplyBytes).To(gomega.BeNumerically("<=", limit))
		result, err := client.Call(t.Context(), address, "echo", fmt.Append(nil, i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(result)).To(gomega.Equal(fmt.Sprint(i)))
	}
	g.Eventually(func() uint64 { return node.Stats().Refused }, 5*time.Second).Should(gomega.BeNumerically(">", 0))
	// Peers that do not read lose their connection; then large results are sent again.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	g.Eventually(func() error {
		_, err := client.Call(ctx, address, "large", nil)
		var remote *RemoteError
		if errors.As(err, &remote) && remote.NotRun() {
			t.Errorf("a call that ran is reported as not run: %v", err)
		}
		return err
	}, 10*time.Second, 100*time.Millisecond).Should(gomega.Succeed())
}
