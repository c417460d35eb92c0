package enginehttp

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/inlet"
)

const (
	// maxAnnounceBytes limits the body of a message from an endpoint.
	maxAnnounceBytes = 1 << 20
	// maxLease limits the lease that an endpoint can request, so that an
	// endpoint that has died is soon removed.
	maxLease = time.Minute
)

// Registrar receives the announcements and withdrawals of endpoints.
type Registrar interface {
	Announce(a endpoint.Announcement, now time.Time) bool
	Withdraw(w endpoint.Withdrawal) bool
}

// CacheReceiver receives the cache events of engines.
type CacheReceiver interface {
	// CacheEvents applies events in order. It detects missing events itself.
	CacheEvents(events endpoint.CacheEvents, now time.Time)
	// WantReset reports whether the index of an endpoint is incomplete. cacheSeq
	// is the sequence number of the newest event that the endpoint has sent.
	WantReset(id string, incarnation, cacheSeq uint64) bool
}

// NoCache ignores cache events.
type NoCache struct{}

// CacheEvents implements CacheReceiver.
func (NoCache) CacheEvents(endpoint.CacheEvents, time.Time) {}

// WantReset implements CacheReceiver.
func (NoCache) WantReset(string, uint64, uint64) bool { return false }

// announceHandler handles the messages that endpoints send.
type announceHandler struct {
	registrar Registrar
	cache     CacheReceiver
	entries   func() []string
}

// AnnounceHandler returns the handler for the announcements, withdrawals and
// cache events of endpoints. The function entries returns the base URLs of other
// entries to which endpoints may send them instead.
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
	if !decodeBody(w, r, &a) {
		return
	}
	if problem := checkAnnouncement(&a); problem != "" {
		writeError(w, http.StatusBadRequest, problem)
		return
	}
	if !h.registrar.Announce(a, time.Now()) {
		writeError(w, http.StatusConflict, "a newer incarnation is known")
		return
	}
	wantReset := a.Kind == endpoint.KindEngine && h.cache.WantReset(a.ID, a.Incarnation, a.CacheSeq)
	writeJSON(w, http.StatusOK, endpoint.AnnounceReply{Entries: h.entries(), WantCacheReset: wantReset})
}

// checkAnnouncement returns what is wrong with an announcement, or "". It
// shortens a lease that exceeds maxLease and replaces a negative age by 0.
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
	if !decodeBody(w, r, &withdrawal) {
		return
	}
	if withdrawal.ID == "" {
		writeError(w, http.StatusBadRequest, "id is required")
		return
	}
	h.registrar.Withdraw(withdrawal)
	w.WriteHeader(http.StatusNoContent)
}

func (h *announceHandler) cacheEvents(w http.ResponseWriter, r *http.Request) {
	var events endpoint.CacheEvents
	if !decodeBody(w, r, &events) {
		return
	}
	if events.ID == "" {
		writeError(w, http.StatusBadRequest, "id is required")
		return
	}
	h.cache.CacheEvents(events, time.Now())
	w.WriteHeader(http.StatusNoContent)
}

func decodeBody(w http.ResponseWriter, r *http.Request, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(target)
	switch {
	case errors.Is(err, inlet.ErrFull):
		writeError(w, http.StatusServiceUnavailable, err.Error())
	case err != nil:
		writeError(w, http.StatusBadRequest, err.Error())
	}
	return err == nil
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, endpoint.ErrorBody{Code: endpoint.CodeBadRequest, Message: message, Run: endpoint.NotRun})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
