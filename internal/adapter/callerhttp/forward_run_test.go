package callerhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/entry"
)

// Guards against a request that counts as not run, so that client libraries send it again, because this daemon has no endpoint
// for it: a peer took it before and may have run it, but its answer was lost.
func TestRequestLostAtAPeerMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	received := make(chan []byte, 1)
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- body
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(peer.Close)
	store := conf.NewStore()
	store.Install(1, testDocument(), "d", time.Now())
	refusal := &entry.RefusalError{Type: entry.RefusedNoEndpoint, Run: endpoint.NotRun, Message: "no endpoint"}
	baseURL := newServer(t, callerhttp.Options{
		Name: "entry-1", Config: store, Completer: &fakePipeline{err: refusal}, Services: &fakeServices{},
		Journals: &fakeJournals{}, NewID: func() string { return "entry-1.id" }, Peers: http.DefaultTransport.(*http.Transport),
		OverloadPeer: func() string { return peer.URL }, Ready: func() error { return nil },
	})
	body, err := complete(baseURL, "p")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(received).To(HaveLen(1))
	g.Expect(body).To(ContainSubstring(`"run":"unknown"`))
}

// refuse requests a completion from a daemon that forwards to a peer and then refuses the request itself. It returns the answer
// and its body.
func refuse(t *testing.T, peerURL string, kind entry.RefusalType) (*http.Response, string) {
	g := NewWithT(t)
	store := conf.NewStore()
	store.Install(1, testDocument(), "d", time.Now())
	refusal := &entry.RefusalError{Type: kind, Run: endpoint.NotRun, Message: "refused"}
	baseURL := newServer(t, callerhttp.Options{
		Name: "entry-1", Config: store, Completer: &fakePipeline{err: refusal}, Services: &fakeServices{},
		Journals: &fakeJournals{}, NewID: func() string { return "entry-1.id" }, Peers: httpconn.NewTransport(httpconn.Options{}),
		OverloadPeer: func() string { return peerURL }, Ready: func() error { return nil },
	})
	req, err := http.NewRequest(http.MethodPost, baseURL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return resp, string(body)
}

// Guards against client libraries that send a request again that a peer may have run, because the refusal of this daemon permits
// it: they retry status 429 by themselves.
func TestRefusalOfARequestLostAtAPeerForbidsRetries(t *testing.T) {
	for _, kind := range []entry.RefusalType{entry.RefusedNoEndpoint, entry.RefusedOverload} {
		g := NewWithT(t)
		peer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		t.Cleanup(peer.Close)
		resp, body := refuse(t, peer.URL, kind)
		g.Expect(body).To(ContainSubstring(`"run":"unknown"`), string(kind))
		g.Expect(resp.Header.Get("X-Should-Retry")).To(Equal("false"), string(kind))
	}
}

// Guards against a request that counts as possibly run although its connection to the peer was refused.
func TestRequestThatDidNotReachAPeerDidNotRun(t *testing.T) {
	g := NewWithT(t)
	peer := httptest.NewServer(http.NotFoundHandler())
	peer.Close()
	resp, body := refuse(t, peer.URL, entry.RefusedNoEndpoint)
	g.Expect(body).To(ContainSubstring(`"run":"not_run"`))
	g.Expect(resp.Header).NotTo(HaveKey("X-Should-Retry"))
}
