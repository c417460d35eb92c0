package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// kvCache is a KV cache that an engine has exported for other engines or
// imported from one.
type kvCache struct {
	handle  endpoint.KVHandle
	seed    uint64
	expires time.Time
}

// kvData is the message that one engine sends to another in place of the actual
// content of the KV cache.
type kvData struct {
	endpoint.KVHandle
	Seed uint64 `json:"seed"`
}

// serveKVExport makes the current KV cache of a running attempt available to
// other engines.
func (e *Engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var req endpoint.KVExportRequest
	if !decodeBody(w, r, &req) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.attempts[req.AttemptID]
	if s == nil || !s.running || s.prefillRemaining > 0 {
		writeRefusal(w, &refusal{http.StatusNotFound, endpoint.CodeNoKV, "the attempt has no KV cache here"})
		return
	}
	tokens := s.inputTokens + s.offset - s.req.EmittedTokens
	handle := endpoint.KVHandle{
		Handle: fmt.Sprintf("%s-%d-%s", e.config.ID, e.config.Incarnation, req.AttemptID),
		Tokens: tokens,
		Bytes:  int64(tokens) * e.config.KVBytesPerToken,
	}
	e.storeKV(&kvCache{handle: handle, seed: s.seed})
	writeJSON(w, http.StatusOK, handle)
}

// storeKV stores a KV cache and deletes expired ones. The caller holds mu.
func (e *Engine) storeKV(kv *kvCache) {
	now := time.Now()
	for name, old := range e.kvCaches {
		if now.After(old.expires) {
			delete(e.kvCaches, name)
		}
	}
	kv.expires = now.Add(e.config.KVRetention)
	e.kvCaches[kv.handle.Handle] = kv
}

// serveKVData sends a stored KV cache to another engine. It delays the answer by
// the duration of the simulated transfer.
func (e *Engine) serveKVData(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	kv := e.kvCaches[r.URL.Query().Get("handle")]
	e.mu.Unlock()
	if kv == nil || time.Now().After(kv.expires) {
		writeRefusal(w, &refusal{http.StatusNotFound, endpoint.CodeNoKV, "unknown handle"})
		return
	}
	if e.sleep(r.Context(), e.config.transferTime(kv.handle.Bytes)) != nil {
		return
	}
	writeJSON(w, http.StatusOK, kvData{KVHandle: kv.handle, Seed: kv.seed})
}

// serveKVImport fetches a KV cache from another engine.
func (e *Engine) serveKVImport(w http.ResponseWriter, r *http.Request) {
	var req endpoint.KVImportRequest
	if !decodeBody(w, r, &req) {
		return
	}
	kv, err := e.fetchKV(r, &req)
	if err != nil {
		writeRefusal(w, &refusal{http.StatusBadGateway, endpoint.CodeNoKV, err.Error()})
		return
	}
	e.mu.Lock()
	e.storeKV(kv)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) fetchKV(r *http.Request, req *endpoint.KVImportRequest) (*kvCache, error) {
	sourceURL := req.SourceURL + endpoint.PathKVData + "?handle=" + url.QueryEscape(req.Handle)
	httpReq, err := http.NewRequestWithContext(r.Context(), http.MethodGet, sourceURL, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(httpReq)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var data kvData
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("source answered with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&data); err != nil {
		return nil, err
	}
	return &kvCache{handle: data.KVHandle, seed: data.Seed}, nil
}

// applyImportedKV counts the tokens of the imported KV cache that the request
// refers to as cached. It returns a refusal if there is no such KV cache or if
// it belongs to another prompt. The caller holds mu.
func (e *Engine) applyImportedKV(s *sequence) *refusal {
	if s.req.KVHandle == "" {
		return nil
	}
	kv := e.kvCaches[s.req.KVHandle]
	if kv == nil || kv.seed != s.seed || time.Now().After(kv.expires) {
		return &refusal{http.StatusConflict, endpoint.CodeNoKV, "the KV cache is not here or belongs to another prompt"}
	}
	s.cachedTokens = min(kv.handle.Tokens, s.inputTokens)
	return nil
}
