package callerhttp

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/entry"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed is set on a response that repeats the recorded result of an earlier call.
	headerReplayed = "X-Boragelead-Replayed"
	// maxIdempotencyKeyBytes limits the length of an idempotency key, because
	// the key is stored in the replicated log.
	maxIdempotencyKeyBytes = 256
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// handleService forwards a call to a plain service.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	id := s.NewID()
	w.Header().Set(headerRequestID, id)
	req, err := s.acceptService(w, r)
	if err != nil {
		writeError(w, id, err)
		return
	}
	req.ID = id
	resp, err := s.Services.Call(r.Context(), req)
	if err != nil {
		writeError(w, id, err)
		return
	}
	writeServiceResponse(w, resp)
}

func (s *Server) acceptService(w http.ResponseWriter, r *http.Request) (*entry.ServiceRequest, error) {
	ident, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	service := ident.doc.Service(r.PathValue("service"))
	if service == nil {
		return nil, &requestError{status: http.StatusNotFound, kind: "invalid_request_error", code: "service_not_found", message: fmt.Sprintf("no service %q is configured", r.PathValue("service"))}
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return nil, invalidRequest("invalid_idempotency_key", "", fmt.Sprintf("the idempotency key is longer than %d bytes", maxIdempotencyKeyBytes))
	}
	body, err := readBody(w, r, ident.doc.Limits)
	if err != nil {
		return nil, err
	}
	if hasDotSegment(r.PathValue("path")) {
		return nil, invalidRequest("invalid_path", "", "the path must not contain dot segments")
	}
	return ident.serviceRequest(r, service, key, body), nil
}

// hasDotSegment reports whether a decoded path contains "." or ".." segments.
// A service could resolve them to a path to which a different rule applies.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (ident identity) serviceRequest(r *http.Request, service *conf.Service, key string, body []byte) *entry.ServiceRequest {
	path := "/" + r.PathValue("path")
	// The service receives the path with the escaping that the caller used.
	pathAndQuery := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service.Name)
	if r.URL.RawQuery != "" {
		pathAndQuery += "?" + r.URL.RawQuery
	}
	return &entry.ServiceRequest{
		Workspace:  ident.workspace.Name,
		Caller:     ident.resolveCaller(""),
		Service:    service.Name,
		Method:     r.Method,
		Path:       pathAndQuery,
		Header:     serviceHeader(r.Header),
		Body:       body,
		Idempotent: service.Idempotent(r.Method, path),
		Key:        key,
	}
}

// serviceHeader returns the headers to send to a service. It removes the
// caller's API key, which must not leave this system.
func serviceHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	forwarded.Del("Authorization")
	forwarded.Del(headerIdempotencyKey)
	forwarded.Del("Content-Length")
	return forwarded
}

func writeServiceResponse(w http.ResponseWriter, resp *entry.ServiceResponse) {
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Del("Content-Length")
	// Without a length an HTTP/1.0 caller takes a part for the whole if this process dies while it writes.
	if len(resp.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	}
	if resp.Replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
