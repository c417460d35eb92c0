package adminhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// DefaultTimeout limits the duration of one request to the ledger or to peers.
// It is long enough for an election, which interrupts the service for less than
// 2 s, and the proposal after it.
const DefaultTimeout = 5 * time.Second

// StatusSource reports the status of the daemon, which implements it.
type StatusSource interface {
	Status(ctx context.Context) (status.Status, error)
}

// Drainer starts a graceful shutdown and returns immediately. It may be called
// repeatedly.
type Drainer interface {
	Drain(ctx context.Context) (status.Drain, error)
}

// ExplainPeers searches the other daemons for an explain record.
type ExplainPeers interface {
	ExplainFromPeers(ctx context.Context, requestID string) (telemetry.Explanation, bool, error)
}

// FleetSource returns the fleet plan of the controller.
type FleetSource interface {
	Fleet(ctx context.Context) (status.Fleet, error)
}

// Options holds the settings and dependencies of a server. Ledger and KeySHA256
// are required. A path whose dependency is nil returns the error "unavailable".
type Options struct {
	// KeySHA256 is the SHA-256 of the operators' key in hexadecimal.
	KeySHA256 string
	Ledger    port.Ledger
	Status    StatusSource
	Drain     Drainer
	Explainer *telemetry.Explainer
	Peers     ExplainPeers
	Fleet     FleetSource
	// Vars is the handler of /debug/vars.
	Vars http.Handler
	// Timeout limits the duration of one request; 0 means DefaultTimeout.
	Timeout time.Duration
	Log     *zap.Logger
}

// Server handles the HTTP requests of operators.
type Server struct {
	options Options
	key     []byte
	log     *zap.Logger
}

// New returns a server with the given options.
func New(options Options) *Server {
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	key, err := hex.DecodeString(options.KeySHA256)
	if err != nil {
		// Without a valid hash, no key is accepted.
		key = nil
	}
	return &Server{options: options, key: key, log: telemetry.Log(options.Log, telemetry.ComponentAdmin)}
}

// Handler returns the handler for all paths of the server. Each path requires the
// operators' key.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+status.PathConfig, s.jsonHandler(s.getConfig))
	mux.HandleFunc("PUT "+status.PathConfig, s.jsonHandler(s.putConfig))
	mux.HandleFunc("GET "+status.PathHistory, s.jsonHandler(s.history))
	mux.HandleFunc("GET "+status.PathStatus, s.jsonHandler(s.status))
	mux.HandleFunc("POST "+status.PathDrain, s.jsonHandler(s.drain))
	mux.HandleFunc("GET "+status.PathExplain+"{id}", s.jsonHandler(s.explain))
	mux.HandleFunc("GET "+status.PathFleet, s.jsonHandler(s.fleet))
	if s.options.Vars != nil {
		mux.Handle("GET "+status.PathVars, s.options.Vars)
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, newRequestError(http.StatusNotFound, status.CodeNotFound, "no such path for this method: %s %s", r.Method, r.URL.Path))
	})
	return s.requireKey(mux)
}

// requireKey rejects requests without the operators' key. It logs neither the
// key nor its hash.
func (s *Server) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.keyMatches(r.Header.Get("Authorization")) {
			s.log.Warn("Request without a valid key.", zap.String("remote", r.RemoteAddr), zap.String("path", r.URL.Path))
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, newRequestError(http.StatusUnauthorized, status.CodeUnauthorized, "the operators' key is required as a bearer token"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) keyMatches(authorization string) bool {
	secret, found := strings.CutPrefix(authorization, "Bearer ")
	sum := sha256.Sum256([]byte(secret))
	// Compare even without a token, so that the response time reveals nothing
	// about the key.
	equal := subtle.ConstantTimeCompare(sum[:], s.key) == 1
	return found && equal
}

// jsonHandler returns a handler that calls a function with a time limit and
// encodes the value that it returns as the response body.
func (s *Server) jsonHandler(handle func(w http.ResponseWriter, r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), s.options.Timeout)
		defer cancel()
		body, err := handle(w, r.WithContext(ctx))
		if err != nil {
			s.logError(r, err)
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

func (s *Server) logError(r *http.Request, err error) {
	if code, detail := describeError(err); code >= http.StatusInternalServerError {
		s.log.Warn("Request failed.", zap.String("path", r.URL.Path), zap.String("code", string(detail.Code)), zap.Error(err))
	}
}

func (s *Server) status(_ http.ResponseWriter, r *http.Request) (any, error) {
	if s.options.Status == nil {
		return nil, unavailable("status")
	}
	return s.options.Status.Status(r.Context())
}

func (s *Server) drain(_ http.ResponseWriter, r *http.Request) (any, error) {
	if s.options.Drain == nil {
		return nil, unavailable("drain")
	}
	s.log.Info("Drain requested.", zap.String("operator", operatorName(r)))
	return s.options.Drain.Drain(r.Context())
}

func (s *Server) fleet(_ http.ResponseWriter, r *http.Request) (any, error) {
	if s.options.Fleet == nil {
		return nil, unavailable("fleet")
	}
	return s.options.Fleet.Fleet(r.Context())
}

// explain searches the records of this daemon first, then the other daemons.
func (s *Server) explain(_ http.ResponseWriter, r *http.Request) (any, error) {
	id := r.PathValue("id")
	if found, ok := s.options.Explainer.Lookup(id); ok {
		return found, nil
	}
	if s.options.Peers != nil {
		found, ok, err := s.options.Peers.ExplainFromPeers(r.Context(), id)
		if err != nil || ok {
			return found, err
		}
	}
	return nil, newRequestError(http.StatusNotFound, status.CodeNotFound, "no daemon that answers has a record of request %q", id)
}
