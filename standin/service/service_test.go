package service_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/service"
)

// TestReclaimNoticeRefusesNewCalls guards against a service that still runs
// calls after a reclaim notice, and against one whose announcement does not
// identify it as a plain service.
func TestReclaimNoticeRefusesNewCalls(t *testing.T) {
	g := NewWithT(t)
	announcements := make(chan endpoint.Announcement, 100)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a endpoint.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		if r.URL.Path == endpoint.PathAnnounce {
			announcements <- a
		}
		_ = json.NewEncoder(w).Encode(endpoint.AnnounceReply{})
	}))
	defer entry.Close()
	s, err := service.Start(service.Config{ID: "s", Service: "publish", Entries: []string{entry.URL}, AnnounceInterval: 10 * time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	defer s.Close()
	g.Eventually(announcements).Should(Receive(And(HaveField("Kind", endpoint.KindService), HaveField("Service", "publish"))))
	s.ReclaimNotice(200 * time.Millisecond)
	resp, err := http.Post(s.BaseURL()+"/items", "text/plain", nil)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.Header.Get(endpoint.HeaderRun)).To(Equal("not_run"))
	g.Expect(s.Ledger().Runs()).To(BeEmpty())
	g.Eventually(announcements).Should(Receive(HaveField("State", endpoint.StateLeaving)))
	g.Eventually(func() error { _, err := http.Get(s.BaseURL()); return err }).Should(HaveOccurred())
}
