package callerhttp

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/entry"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	// headerReplayed marks the recorded result of an earlier call.
	headerReplayed = "X-Boragelead-Replayed"
	// maxKeyBytes bounds an idempotency key: it is stored in the replicated log.
	maxKeyBytes = 256
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// service serves a call to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
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
	who, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	service := who.doc.Service(r.PathValue("service"))
	if service == nil {
		return nil, &requestError{status: http.StatusNotFound, kind: "invalid_request_error", code: "service_not_found", message: fmt.Sprintf("no service %q is configured", r.PathValue("service"))}
	}
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, invalid("invalid_idempotency_key", "", fmt.Sprintf("the idempotency key is longer than %d bytes", maxKeyBytes))
	}
	body, err := readBody(w, r, who.doc.Limits)
	if err != nil {
		return nil, err
	}
	if hasDotSegment(r.PathValue("path")) {
		return nil, invalid("invalid_path", "", "the path must not contain dot segments")
	}
	return who.serviceRequest(r, service, key, body), nil
}

// hasDotSegment reports whether a decoded path contains "." or ".." segments.
// A service could resolve them to a path that another rule covers.
func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (who identity) serviceRequest(r *http.Request, service *conf.Service, key string, body []byte) *entry.ServiceRequest {
	path := "/" + r.PathValue("path")
	// The service gets the path as the caller escaped it.
	withQuery := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service.Name)
	if r.URL.RawQuery != "" {
		withQuery += "?" + r.URL.RawQuery
	}
	return &entry.ServiceRequest{
		Workspace:  who.workspace.Name,
		Caller:     who.caller(""),
		Service:    service.Name,
		Method:     r.Method,
		Path:       withQuery,
		Header:     serviceHeader(r.Header),
		Body:       body,
		Idempotent: service.Idempotent(r.Method, path),
		Key:        key,
	}
}

// serviceHeader returns the headers that a service sees. The key of the
// caller stays with this system.
func serviceHeader(header http.Header) http.Header {
	passed := header.Clone()
	for _, name := range hopHeaders {
		passed.Del(name)
	}
	passed.Del("Authorization")
	passed.Del(headerIdempotencyKey)
	passed.Del("Content-Length")
	return passed
}

func writeServiceResponse(w http.ResponseWriter, resp *entry.ServiceResponse) {
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del("Content-Length")
	if resp.Replayed {
		header.Set(headerReplayed, "true")
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
