package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// maxBodyBytes limits the size of the body of a request.
const maxBodyBytes = 16 << 20

// refusal is the error answer to a request that the engine did not run.
type refusal struct {
	status  int
	code    endpoint.ErrorCode
	message string
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+endpoint.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+endpoint.PathKVExport, e.serveKVExport)
	mux.HandleFunc("POST "+endpoint.PathKVImport, e.serveKVImport)
	mux.HandleFunc("GET "+endpoint.PathKVData, e.serveKVData)
	mux.HandleFunc("POST "+endpoint.PathOrder, e.serveOrder)
	mux.HandleFunc("GET "+endpoint.PathPing, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// serveGenerate queues a generation and returns when the batch loop has written
// its last frame or the caller has disconnected.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	req := &endpoint.GenerateRequest{}
	if !decodeBody(w, r, req) {
		return
	}
	if refused := validate(req); refused != nil {
		writeRefusal(w, refused)
		return
	}
	s := newSequence(req, w)
	// The batch loop may write frames as soon as the sequence is queued. The lock
	// makes it wait until the status has been written.
	s.mu.Lock()
	if refused := e.submit(s); refused != nil {
		s.mu.Unlock()
		writeRefusal(w, refused)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	s.lastWrite = time.Now()
	_ = s.control.Flush()
	s.mu.Unlock()
	e.wakeBatchLoop()
	select {
	case <-s.done:
	case <-r.Context().Done():
		e.drop(s)
	}
	s.close()
	// The next request on this connection must not inherit the deadline.
	_ = s.control.SetWriteDeadline(time.Time{})
}

func validate(req *endpoint.GenerateRequest) *refusal {
	switch {
	case req.AttemptID == "" || req.RequestID == "":
		return &refusal{http.StatusBadRequest, endpoint.CodeBadRequest, "attempt_id and request_id are required"}
	case req.MaxTokens <= 0 || req.EmittedTokens < 0 || req.EmittedTokens > req.MaxTokens:
		return &refusal{http.StatusBadRequest, endpoint.CodeBadRequest, "max_tokens or emitted_tokens is out of range"}
	case req.Emitted != Emitted(req, req.EmittedTokens):
		return &refusal{http.StatusBadRequest, endpoint.CodeBadRequest, "emitted is not the start of the answer"}
	}
	return nil
}

// Emitted returns the text of the first count tokens of the answer to a request.
func Emitted(req *endpoint.GenerateRequest, count int) string {
	return Answer(req.Model, req.Adapter, req.Prompt, count)
}

// serveCancel stops an attempt. It answers with status 204 even if the attempt
// is unknown.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req endpoint.CancelRequest
	if !decodeBody(w, r, &req) {
		return
	}
	e.mu.Lock()
	if s := e.attempts[req.AttemptID]; s != nil {
		e.dropLocked(s)
	}
	e.mu.Unlock()
	e.wakeBatchLoop()
	w.WriteHeader(http.StatusNoContent)
}

// decodeBody decodes the JSON body of a request, or answers with a refusal and
// returns false. It reads the body to its end, because net/http does not detect
// that a caller has disconnected before that.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, endpoint.CodeBadRequest, err.Error()})
		return false
	}
	return true
}

func writeRefusal(w http.ResponseWriter, r *refusal) {
	writeJSON(w, r.status, endpoint.ErrorBody{Code: r.code, Message: r.message, Run: endpoint.NotRun})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
