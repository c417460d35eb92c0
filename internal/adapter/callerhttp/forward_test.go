package callerhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/core/conf"
)

// startForwarding starts a daemon that forwards all requests to a peer with a fixed answer, and returns its base URL.
func startForwarding(t *testing.T, answer string) string {
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
	}))
	t.Cleanup(peer.Close)
	store := conf.NewStore()
	store.Install(1, testDocument(), "d", time.Now())
	server := httptest.NewServer(callerhttp.New(callerhttp.Options{
		Name: "entry-1", Config: store, Completer: &fakePipeline{tokens: []string{"own"}}, Services: &fakeServices{},
		Journals: &fakeJournals{}, NewID: func() string { return "entry-1.id" }, Peers: &http.Transport{},
		OverloadPeer: func() string { return peer.URL }, Ready: func() error { return nil },
	}).Handler())
	t.Cleanup(server.Close)
	return server.URL
}

// complete requests a completion and returns the answer.
func complete(g *WithT, baseURL string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, baseURL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode, string(body)
}

// Guards against a malformed answer of a peer that ends the connection of the caller.
func TestStatusOutsideRangeIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		g := NewWithT(t)
		got, body := complete(g, startForwarding(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 4\r\n\r\npeer"))
		g.Expect(got).To(Equal(http.StatusOK))
		g.Expect(body).To(ContainSubstring("own"))
	}
}

// Guards against a sound answer of a peer without a length that is cut or dropped.
func TestAnswerOfPeerWithoutLengthIsPassedOn(t *testing.T) {
	g := NewWithT(t)
	got, body := complete(g, startForwarding(t, "HTTP/1.1 200 OK\r\n\r\npeer"))
	g.Expect(got).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("peer"))
}
