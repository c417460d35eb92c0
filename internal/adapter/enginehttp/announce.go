package enginehttp

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// maxAnnounceBytes bounds the body of a message from an endpoint.
const maxAnnounceBytes = 1 << 20

// Registrar receives what endpoints say of themselves.
type Registrar interface {
	Announce(a endpoint.Announcement, now time.Time) bool
	Withdraw(w endpoint.Withdrawal) bool
}

// AnnounceHandler serves the paths by which endpoints announce themselves.
func AnnounceHandler(registrar Registrar, entries func() []string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathAnnounce, func(w http.ResponseWriter, r *http.Request) {
		var a endpoint.Announcement
		if !decode(w, r, &a) {
			return
		}
		if a.ID == "" || a.BaseURL == "" || a.LeaseMS <= 0 {
			refuse(w, http.StatusBadRequest, "id, base_url and lease_ms are required")
			return
		}
		if !registrar.Announce(a, time.Now()) {
			refuse(w, http.StatusConflict, "a newer incarnation is known")
			return
		}
		answer(w, http.StatusOK, endpoint.AnnounceReply{Entries: entries()})
	})
	mux.HandleFunc("POST "+endpoint.PathWithdraw, func(w http.ResponseWriter, r *http.Request) {
		var withdrawal endpoint.Withdrawal
		if !decode(w, r, &withdrawal) {
			return
		}
		registrar.Withdraw(withdrawal)
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
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
