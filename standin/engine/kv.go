package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// export is a KV cache that an engine keeps for others, or has imported.
type export struct {
	handle  endpoint.KVHandle
	seed    uint64
	expires time.Time
}

// kvData is what one engine sends another in place of the KV cache itself.
type kvData struct {
	endpoint.KVHandle
	Seed uint64 `json:"seed"`
}

// serveKVExport keeps the KV cache of a running attempt as it is now.
func (e *Engine) serveKVExport(w http.ResponseWriter, r *http.Request) {
	var req endpoint.KVExportRequest
	if !decode(w, r, &req) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.attempts[req.AttemptID]
	if s == nil || !s.running || s.prefillLeft > 0 {
		refuse(w, &refusal{http.StatusNotFound, endpoint.CodeNoKV, "the attempt has no KV cache here"})
		return
	}
	tokens := s.total + s.offset - s.req.EmittedTokens
	handle := endpoint.KVHandle{
		Handle: fmt.Sprintf("%s-%d-%s", e.config.ID, e.config.Incarnation, req.AttemptID),
		Tokens: tokens,
		Bytes:  int64(tokens) * e.config.KVBytesPerToken,
	}
	e.keep(&export{handle: handle, seed: s.seed})
	answer(w, http.StatusOK, handle)
}

// keep stores a KV cache and drops expired ones. The caller holds mu.
func (e *Engine) keep(kv *export) {
	now := time.Now()
	for name, old := range e.exports {
		if now.After(old.expires) {
			delete(e.exports, name)
		}
	}
	kv.expires = now.Add(e.config.KVHold)
	e.exports[kv.handle.Handle] = kv
}

// serveKVData sends a kept KV cache to another engine; the answer takes as
// long as the transfer.
func (e *Engine) serveKVData(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	kv := e.exports[r.URL.Query().Get("handle")]
	e.mu.Unlock()
	if kv == nil || time.Now().After(kv.expires) {
		refuse(w, &refusal{http.StatusNotFound, endpoint.CodeNoKV, "unknown handle"})
		return
	}
	if e.sleep(r.Context(), e.config.transferTime(kv.handle.Bytes)) != nil {
		return
	}
	answer(w, http.StatusOK, kvData{KVHandle: kv.handle, Seed: kv.seed})
}

// serveKVImport fetches a KV cache from another engine.
func (e *Engine) serveKVImport(w http.ResponseWriter, r *http.Request) {
	var req endpoint.KVImportRequest
	if !decode(w, r, &req) {
		return
	}
	kv, err := e.fetchKV(r, &req)
	if err != nil {
		refuse(w, &refusal{http.StatusBadGateway, endpoint.CodeNoKV, err.Error()})
		return
	}
	e.mu.Lock()
	e.keep(kv)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) fetchKV(r *http.Request, req *endpoint.KVImportRequest) (*export, error) {
	source := req.SourceURL + endpoint.PathKVData + "?handle=" + url.QueryEscape(req.Handle)
	get, err := http.NewRequestWithContext(r.Context(), http.MethodGet, source, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(get)
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
	return &export{handle: data.KVHandle, seed: data.Seed}, nil
}

// useImport applies the imported KV cache that a generation names. The caller holds mu.
func (e *Engine) useImport(s *sequence) *refusal {
	if s.req.KVHandle == "" {
		return nil
	}
	kv := e.exports[s.req.KVHandle]
	if kv == nil || kv.seed != s.seed || time.Now().After(kv.expires) {
		return &refusal{http.StatusConflict, endpoint.CodeNoKV, "the KV cache is not here or belongs to another prompt"}
	}
	s.cached = min(kv.handle.Tokens, s.total)
	return nil
}
