package enginehttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
)

type fakeRegistrar struct{ got []endpoint.Announcement }

// Announce implements Registrar.
func (r *fakeRegistrar) Announce(a endpoint.Announcement, _ time.Time) bool {
	r.got = append(r.got, a)
	return a.Incarnation > 1
}

// Withdraw implements Registrar.
func (r *fakeRegistrar) Withdraw(endpoint.Withdrawal) bool { return true }

type fakeCacheReceiver struct{ got []endpoint.CacheEvent }

// CacheEvents implements CacheReceiver.
func (c *fakeCacheReceiver) CacheEvents(e endpoint.CacheEvents, _ time.Time) {
	c.got = append(c.got, e.Events...)
}

// WantReset implements CacheReceiver.
func (c *fakeCacheReceiver) WantReset(_ string, _, seq uint64) bool { return seq != uint64(len(c.got)) }

var _ = Describe("announcements", func() {
	const validAnnouncement = `{"id":"e","incarnation":2,"base_url":"http://127.0.0.1:1","kind":"engine","lease_ms":5000,"cache_seq":1}`
	post := func(handler http.Handler, path, body string) (int, string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}

	// Guards against a KV cache index that stays incomplete after missed cache events.
	It("get a reply that requests a cache reset after missed cache events", func() {
		cache := &fakeCacheReceiver{}
		handler := AnnounceHandler(&fakeRegistrar{}, cache, func() []string { return []string{"http://127.0.0.1:2"} })
		_, body := post(handler, endpoint.PathAnnounce, validAnnouncement)
		Expect(body).To(MatchJSON(`{"entries":["http://127.0.0.1:2"],"want_cache_reset":true}`))
		status, _ := post(handler, endpoint.PathCacheEvents, `{"id":"e","incarnation":2,"events":[{"seq":1,"kind":"add","block":7}]}`)
		Expect(status).To(Equal(http.StatusNoContent))
		_, body = post(handler, endpoint.PathAnnounce, validAnnouncement)
		Expect(body).NotTo(ContainSubstring("want_cache_reset"))
	})

	// Guards against announcements that would break routing.
	It("are rejected without address, service name or lease and with an old incarnation, and long leases are shortened", func() {
		r := &fakeRegistrar{}
		handler := AnnounceHandler(r, NoCache{}, func() []string { return nil })
		for replaced, by := range map[string]string{
			`"http://127.0.0.1:1"`: `"127.0.0.1:1"`, `"engine"`: `"service"`, `"e"`: `""`, `5000`: `0`, `}`: ``,
		} {
			status, _ := post(handler, endpoint.PathAnnounce, strings.Replace(validAnnouncement, replaced, by, 1))
			Expect(status).To(Equal(http.StatusBadRequest), by)
		}
		Expect(r.got).To(BeEmpty())
		post(handler, endpoint.PathAnnounce, strings.Replace(validAnnouncement, "5000", "999999999", 1))
		Expect(r.got[0].LeaseMS).To(Equal(maxLease.Milliseconds()))
		status, _ := post(handler, endpoint.PathAnnounce, strings.Replace(validAnnouncement, `"incarnation":2`, `"incarnation":1`, 1))
		Expect(status).To(Equal(http.StatusConflict))
	})
})
