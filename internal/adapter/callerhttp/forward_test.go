package callerhttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	longPromptBytes = 512 << 10
	// sendBufferBytes is so small that a long prompt is not written before the peer reads it.
	sendBufferBytes = 16 << 10
	longRequests    = 20
	// resetPause lets the daemon read the part before the reset, which makes its writer take the reset more often.
	resetPause = 2 * time.Millisecond
)

// smallBufferTransport returns a transport whose connections have small send buffers.
func smallBufferTransport() *http.Transport {
	transport := httpconn.NewTransport(httpconn.Options{})
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil {
			err = conn.(*httpconn.Conn).Conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
		}
		return conn, err
	}
	return transport
}

// startForwarding starts a daemon that forwards all requests to a peer with a fixed answer, and returns its base
// URL. If reset is set, the peer resets the connection after its answer and does not read the request.
func startForwarding(t *testing.T, answer string, reset bool) string {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
		if reset {
			time.Sleep(resetPause)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}))
	t.Cleanup(peer.Close)
	doc := testDocument()
	doc.Limits = conf.Limits{MaxBodyBytes: 2 * longPromptBytes, BodyTimeoutMS: 60_000}
	doc.Models[0].MaxContextTokens = 2 * longPromptBytes
	store := conf.NewStore()
	store.Install(1, doc, "d", time.Now())
	return newServer(t, callerhttp.Options{
		Name: "entry-1", Config: store, Completer: &fakePipeline{tokens: []string{"own"}}, Services: &fakeServices{},
		Journals: &fakeJournals{}, NewID: func() string { return "entry-1.id" }, Peers: smallBufferTransport(),
		OverloadPeer: func() string { return peer.URL }, Ready: func() error { return nil },
	})
}

// newServer starts a server with the given options and returns its base URL.
func newServer(t *testing.T, options callerhttp.Options) string {
	server := httptest.NewServer(callerhttp.New(options).Handler())
	t.Cleanup(server.Close)
	return server.URL
}

// complete requests a completion of a prompt and returns the body of the answer.
func complete(baseURL, prompt string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, baseURL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"`+prompt+`"}`))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a malformed answer of a peer that ends the connection of the caller.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		g := NewWithT(t)
		body, err := complete(startForwarding(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\npeer", false), "p")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(ContainSubstring("own"))
	}
}

// Guards against a sound answer of a peer without a length that is cut or dropped.
func TestAnswerOfPeerWithoutLengthIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	body, err := complete(startForwarding(t, "HTTP/1.1 200 OK\r\n\r\npeer", false), "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("peer"))
}

// Guards against a part of a peer's answer that is passed on as a whole answer.
func TestPartOfPeerBeforeResetIsNotPassedOn(t *testing.T) {
	g := NewWithT(t)
	baseURL := startForwarding(t, "HTTP/1.1 200 OK\r\n\r\npart", true)
	prompt := strings.Repeat("x", longPromptBytes)
	whole := 0
	for range longRequests {
		if body, err := complete(baseURL, prompt); err == nil && body == "part" {
			whole++
		}
	}
	g.Expect(whole).To(BeZero(), "parts taken for whole answers of %d", longRequests)
}
