package enginehttp

import (
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// maxAnnounceBytes bounds the body of a message from an endpoint.
	maxAnnounceBytes = 1 << 20
	// maxLease bounds the lease that an endpoint can ask for, so that a dead
	// one is not kept for long.
	maxLease = time.Minute
)

// Registrar receives what endpoints say of themselves.
type Registrar interface {
	Announce(a endpoint.Announcement, now time.Time) bool
	Withdraw(w endpoint.Withdrawal) bool
}

// CacheReceiver receives the cache events of engines.
type CacheReceiver interface {
	// CacheEvents applies events in their order. It notes gaps itself.
	CacheEvents(events endpoint.CacheEvents, now time.Time)
	// WantReset reports whether the index of an endpoint is incomplete, given
	// the sequence number of the newest event that the endpoint says it sent.
	WantReset(id string, incarnation, cacheSeq uint64) bool
}

// NoCache ignores cache events.
type NoCache struct{}

// CacheEvents implements CacheReceiver.
func (NoCache) CacheEvents(endpoint.CacheEvents, time.Time) {}

// WantReset implements CacheReceiver.
func (NoCache) WantReset(string, uint64, uint64) bool { return false }

// announceHandler serves the messages of endpoints.
type announceHandler struct {
	registrar Registrar
	cache     CacheReceiver
	entries   func() []string
}

// AnnounceHandler serves the paths by which endpoints announce themselves.
// The function lists base URLs of entries that endpoints may use instead.
func AnnounceHandler(registrar Registrar, cache CacheReceiver, entries func() []string) http.Handler {
	h := &announceHandler{registrar: registrar, cache: cache, entries: entries}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathAnnounce, h.announce)
	mux.HandleFunc("POST "+endpoint.PathWithdraw, h.withdraw)
	mux.HandleFunc("POST "+endpoint.PathCacheEvents, h.cacheEvents)
	return mux
}

func (h *announceHandler) announce(w http.ResponseWriter, r *http.Request) {
	var a endpoint.Announcement
	if !decode(w, r, &a) {
		return
	}
	if problem := checkAnnouncement(&a); problem != "" {
		refuse(w, http.StatusBadRequest, problem)
		return
	}
	if !h.registrar.Announce(a, time.Now()) {
		refuse(w, http.StatusConflict, "a newer incarnation is known")
		return
	}
	want := a.Kind == endpoint.KindEngine && h.cache.WantReset(a.ID, a.Incarnation, a.CacheSeq)
	answer(w, http.StatusOK, endpoint.AnnounceReply{Entries: h.entries(), WantCacheReset: want})
}

// checkAnnouncement returns what is wrong with an announcement. A lease that
// is too long is shortened.
func checkAnnouncement(a *endpoint.Announcement) string {
	base, err := url.Parse(a.BaseURL)
	switch {
	case a.ID == "" || a.BaseURL == "" || a.LeaseMS <= 0:
		return "id, base_url and lease_ms are required"
	case err != nil || base.Scheme != "http" || base.Host == "":
		return "base_url is not an HTTP URL"
	case a.Kind != endpoint.KindEngine && a.Kind != endpoint.KindService:
		return "kind is neither engine nor service"
	case a.Kind == endpoint.KindService && a.Service == "":
		return "a plain service must name its service"
	}
	a.LeaseMS = min(a.LeaseMS, maxLease.Milliseconds())
	a.Load.AgeMS = max(a.Load.AgeMS, 0)
	return ""
}

func (h *announceHandler) withdraw(w http.ResponseWriter, r *http.Request) {
	var withdrawal endpoint.Withdrawal
	if !decode(w, r, &withdrawal) {
		return
	}
	if withdrawal.ID == "" {
		refuse(w, http.StatusBadRequest, "id is required")
		return
	}
	h.registrar.Withdraw(withdrawal)
	w.WriteHeader(http.StatusNoContent)
}

func (h *announceHandler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	var events endpoint.CacheEvents
	if !decode(w, r, &events) {
		return
	}
	if events.ID == "" {
		refuse(w, http.StatusBadRequest, "id is required")
		return
	}
	h.cache.CacheEvents(events, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(into)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, status int, message string) {
	answer(w, status, endpoint.ErrorBody{Code: endpoint.CodeBadRequest, Message: message, Run: endpoint.NotRun})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
