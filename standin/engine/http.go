package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// refusal is an answer to a request that the engine did not run.
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

// serveGenerate queues a generation and holds the connection until the batch
// loop has written its last frame or the caller is gone.
func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	req := &endpoint.GenerateRequest{}
	if !decode(w, r, req) {
		return
	}
	if refused := check(req); refused != nil {
		refuse(w, refused)
		return
	}
	s := newSequence(req, w)
	// Frames may be written as soon as the sequence is queued; the status must precede them.
	s.mu.Lock()
	if refused := e.submit(s); refused != nil {
		s.mu.Unlock()
		refuse(w, refused)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	s.lastWrite = time.Now()
	_ = s.control.Flush()
	s.mu.Unlock()
	e.wakeLoop()
	select {
	case <-s.done:
	case <-r.Context().Done():
		e.end(s)
	}
	s.close()
	// The next request on this connection must not inherit the deadline.
	_ = s.control.SetWriteDeadline(time.Time{})
}

func check(req *endpoint.GenerateRequest) *refusal {
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

// Emitted returns the first count tokens of the answer to a request.
func Emitted(req *endpoint.GenerateRequest, count int) string {
	return Answer(req.Model, req.Adapter, req.Prompt, count)
}

// serveCancel stops an attempt. It answers 204 also for an unknown one.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var req endpoint.CancelRequest
	if !decode(w, r, &req) {
		return
	}
	e.mu.Lock()
	if s := e.attempts[req.AttemptID]; s != nil {
		e.drop(s)
	}
	e.mu.Unlock()
	e.wakeLoop()
	w.WriteHeader(http.StatusNoContent)
}

// decode reads the whole body: net/http only notices that a caller has gone
// after the body was read to its end.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		refuse(w, &refusal{http.StatusBadRequest, endpoint.CodeBadRequest, err.Error()})
		return false
	}
	return true
}

func refuse(w http.ResponseWriter, r *refusal) {
	answer(w, r.status, endpoint.ErrorBody{Code: r.code, Message: r.message, Run: endpoint.NotRun})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
