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

type registrar struct{ got []endpoint.Announcement }

// Announce implements Registrar.
func (r *registrar) Announce(a endpoint.Announcement, _ time.Time) bool {
	r.got = append(r.got, a)
	return a.Incarnation > 1
}

// Withdraw implements Registrar.
func (r *registrar) Withdraw(endpoint.Withdrawal) bool { return true }

type cacheReceiver struct{ got []endpoint.CacheEvent }

// CacheEvents implements CacheReceiver.
func (c *cacheReceiver) CacheEvents(e endpoint.CacheEvents, _ time.Time) {
	c.got = append(c.got, e.Events...)
}

// WantReset implements CacheReceiver.
func (c *cacheReceiver) WantReset(_ string, _, seq uint64) bool { return seq != uint64(len(c.got)) }

var _ = Describe("announcements", func() {
	const good = `{"id":"e","incarnation":2,"base_url":"http://127.0.0.1:1","kind":"engine","lease_ms":5000,"cache_seq":1}`
	post := func(handler http.Handler, path, body string) (int, string) {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}

	It("guards against missed cache events for which no reset is asked", func() {
		cache := &cacheReceiver{}
		handler := AnnounceHandler(&registrar{}, cache, func() []string { return []string{"http://127.0.0.1:2"} })
		_, body := post(handler, endpoint.PathAnnounce, good)
		Expect(body).To(MatchJSON(`{"entries":["http://127.0.0.1:2"],"want_cache_reset":true}`))
		status, _ := post(handler, endpoint.PathCacheEvents, `{"id":"e","incarnation":2,"events":[{"seq":1,"kind":"add","block":7}]}`)
		Expect(status).To(Equal(http.StatusNoContent))
		_, body = post(handler, endpoint.PathAnnounce, good)
		Expect(body).NotTo(ContainSubstring("want_cache_reset"))
	})

	It("guards against announcements that would break routing: no address, no service name, endless lease, old incarnation", func() {
		r := &registrar{}
		handler := AnnounceHandler(r, NoCache{}, func() []string { return nil })
		for replaced, by := range map[string]string{
			`"http://127.0.0.1:1"`: `"127.0.0.1:1"`, `"engine"`: `"service"`, `"e"`: `""`, `5000`: `0`, `}`: ``,
		} {
			status, _ := post(handler, endpoint.PathAnnounce, strings.Replace(good, replaced, by, 1))
			Expect(status).To(Equal(http.StatusBadRequest), by)
		}
		Expect(r.got).To(BeEmpty())
		post(handler, endpoint.PathAnnounce, strings.Replace(good, "5000", "999999999", 1))
		Expect(r.got[0].LeaseMS).To(Equal(maxLease.Milliseconds()))
		status, _ := post(handler, endpoint.PathAnnounce, strings.Replace(good, `"incarnation":2`, `"incarnation":1`, 1))
		Expect(status).To(Equal(http.StatusConflict))
	})
})
