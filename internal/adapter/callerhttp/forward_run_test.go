package callerhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
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
