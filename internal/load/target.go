package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/httpconn"
)

// Call is a request for one generation.
type Call struct {
	Key, Model, Rank, User string
	Prompt                 string
	MaxTokens              int
}

// Observer receives the tokens of an answer as they arrive.
type Observer interface {
	Tokens(now time.Time, count int, text string)
}

// Target sends calls to a daemon or an engine.
type Target interface {
	// Do sends a call and passes the tokens of its answer to the observer. A
	// *RefusedError reports an answer with an error status, a *BrokenError a failed
	// connection or an answer that ended early, also because the context ended.
	Do(ctx context.Context, call Call, observer Observer) error
}

// RefusedError reports an answer with an error status.
type RefusedError struct {
	Status int
	Code   string
	Run    string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with status %d: %s (%s)", e.Status, e.Code, e.Run)
}

// BrokenError reports a failed connection or an answer that ended early.
type BrokenError struct {
	Code string
	Err  error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer ended early (%s): %v", e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// NewTransport returns a transport that keeps enough idle connections for many
// concurrent streams to one address.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 4096,
		MaxIdleConns:        8192,
		DisableCompression:  true,
	}
}

// OpenAITarget sends calls to a daemon over the caller interface.
type OpenAITarget struct {
	BaseURL string
	Client  *http.Client
}

type openAIBody struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	User      string          `json:"user,omitempty"`
	Messages  []openAIMessage `json:"messages"`
}

type openAIMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Do implements Target.
func (t *OpenAITarget) Do(ctx context.Context, call Call, observer Observer) error {
	body, err := json.Marshal(openAIBody{
		Model: call.Model, Stream: true, MaxTokens: call.MaxTokens, User: call.User,
		Messages: []openAIMessage{{Role: "user", Content: call.Prompt}},
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.BaseURL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+call.Key)
	req.Header.Set("Content-Type", "application/json")
	if call.Rank != "" {
		req.Header.Set("X-Boragelead-Rank", call.Rank)
	}
	resp, err := t.Client.Do(req)
	if err != nil {
		return &BrokenError{Code: "connect", Err: err}
	}
	defer resp.Body.Close()
	if err := httpconn.CheckStatus(resp.StatusCode); err != nil {
		return &BrokenError{Code: "status", Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	return readEvents(resp.Body, observer)
}

func readRefusal(resp *http.Response) error {
	var body struct {
		Error struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return &RefusedError{Status: resp.StatusCode, Code: body.Error.Code, Run: body.Error.Run}
}

// Parts of an event stream as the daemon writes it.
var (
	dataPrefix    = []byte("data: ")
	errorEvent    = []byte("event: error")
	doneData      = []byte("[DONE]")
	contentMarker = []byte(`"content":"`)
)

// readEvents reads an event stream until [DONE]. It extracts the text of a chunk
// without decoding the JSON, so that the load generator does not become the
// bottleneck of a throughput run.
func readEvents(body io.Reader, observer Observer) error {
	reader := bufio.NewReaderSize(body, 8192)
	failed := false
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return &BrokenError{Code: "stream", Err: err}
		}
		if bytes.HasPrefix(line, errorEvent) {
			failed = true
			continue
		}
		data, isData := bytes.CutPrefix(line, dataPrefix)
		if !isData {
			continue
		}
		if failed {
			return &BrokenError{Code: "error_event", Err: fmt.Errorf("%s", bytes.TrimSpace(data))}
		}
		if bytes.HasPrefix(data, doneData) {
			return nil
		}
		if text := chunkContent(data); text != "" {
			observer.Tokens(time.Now(), strings.Count(text, " "), text)
		}
	}
}

// chunkContent returns the text of a chunk. It does not decode escape sequences,
// because the tokens of the stand-in engine contain none.
func chunkContent(chunk []byte) string {
	_, rest, found := bytes.Cut(chunk, contentMarker)
	if !found {
		return ""
	}
	end := bytes.IndexByte(rest, '"')
	if end < 0 {
		return ""
	}
	return string(rest[:end])
}

// EngineTarget sends calls directly to an engine over the endpoint protocol, as
// the baseline for measuring the overhead of a daemon.
type EngineTarget struct {
	BaseURL string
	Client  *http.Client
}

// Do implements Target.
func (t *EngineTarget) Do(ctx context.Context, call Call, observer Observer) error {
	body, err := json.Marshal(endpoint.GenerateRequest{
		AttemptID: uuid.NewString(), RequestID: "direct", Model: call.Model, Prompt: call.Prompt, MaxTokens: call.MaxTokens,
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.BaseURL+endpoint.PathGenerate, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := t.Client.Do(req)
	if err != nil {
		return &BrokenError{Code: "connect", Err: err}
	}
	defer resp.Body.Close()
	if err := httpconn.CheckStatus(resp.StatusCode); err != nil {
		return &BrokenError{Code: "status", Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return &RefusedError{Status: resp.StatusCode}
	}
	return readFrames(resp.Body, observer)
}

var (
	textMarker = []byte(`"x":"`)
	doneMarker = []byte(`"t":"done"`)
)

func readFrames(body io.Reader, observer Observer) error {
	reader := bufio.NewReaderSize(body, 8192)
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return &BrokenError{Code: "stream", Err: err}
		}
		if bytes.Contains(line, doneMarker) {
			return nil
		}
		_, rest, found := bytes.Cut(line, textMarker)
		if !found {
			continue
		}
		if end := bytes.IndexByte(rest, '"'); end >= 0 {
			text := string(rest[:end])
			observer.Tokens(time.Now(), strings.Count(text, " "), text)
		}
	}
}

// RoundRobinTarget distributes calls over several targets in round-robin order.
type RoundRobinTarget struct {
	Targets []Target
	counter atomic.Uint64
}

// Do implements Target.
func (t *RoundRobinTarget) Do(ctx context.Context, call Call, observer Observer) error {
	return t.Targets[int(t.counter.Add(1))%len(t.Targets)].Do(ctx, call, observer)
}
