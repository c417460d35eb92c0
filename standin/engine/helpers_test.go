package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/engine"
)

const model = "m"

// start starts an engine that runs a hundred times faster than real time, with a
// configuration that change may modify.
func start(change func(*engine.Config)) *engine.Engine {
	config := engine.Config{
		ID: "e1", TimeScale: 0.01, Seed: 1, Incarnation: 1, Slots: 4,
		Models:           []endpoint.LoadedModel{{Name: model, Version: "1"}},
		AnnounceInterval: 20 * time.Millisecond, PingInterval: 20 * time.Millisecond,
	}
	if change != nil {
		change(&config)
	}
	e, err := engine.Start(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e
}

func request(attempt, prompt string, tokens int) *endpoint.GenerateRequest {
	return &endpoint.GenerateRequest{AttemptID: attempt, RequestID: "r-" + attempt, Model: model, Prompt: prompt, MaxTokens: tokens}
}

func post(ctx context.Context, url string, body any) (*http.Response, error) {
	return postWith(ctx, http.DefaultClient, url, body)
}

func postWith(ctx context.Context, client *http.Client, url string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// streamResult is the content of an answer stream. err is set if the stream ended
// before its last frame.
type streamResult struct {
	text   string
	frames []endpoint.Frame
	last   endpoint.Frame
	err    error
}

// readStream reads a stream up to its last frame or an error and closes it.
func readStream(resp *http.Response) streamResult {
	defer resp.Body.Close()
	var result streamResult
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			result.err = err
			return result
		}
		var frame endpoint.Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			result.err = err
			return result
		}
		result.frames = append(result.frames, frame)
		result.last = frame
		result.text += frame.Text
		if frame.Type == endpoint.FrameDone || frame.Type == endpoint.FrameError {
			return result
		}
	}
}

func generate(e *engine.Engine, req *endpoint.GenerateRequest) streamResult {
	resp, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	return readStream(resp)
}

// call sends body in a POST request. It returns the status and, for a status
// other than 2xx, the refusal. Otherwise it decodes the answer into result.
func call(e *engine.Engine, path string, body, result any) (int, endpoint.ErrorBody) {
	resp, err := post(context.Background(), e.BaseURL()+path, body)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var refused endpoint.ErrorBody
	if resp.StatusCode/100 != 2 {
		Expect(json.NewDecoder(resp.Body).Decode(&refused)).To(Succeed())
	} else if result != nil {
		Expect(json.NewDecoder(resp.Body).Decode(result)).To(Succeed())
	}
	return resp.StatusCode, refused
}

// fakeEntry is an entry daemon that records the messages of engines.
type fakeEntry struct {
	mu            sync.Mutex
	url           string
	wantReset     bool
	announcements []endpoint.Announcement
	withdrawals   []endpoint.Withdrawal
	events        []endpoint.CacheEvent
}

func newFakeEntry() *fakeEntry {
	f := &fakeEntry{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathAnnounce, func(w http.ResponseWriter, r *http.Request) {
		var a endpoint.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.announcements = append(f.announcements, a)
		_ = json.NewEncoder(w).Encode(endpoint.AnnounceReply{WantCacheReset: f.wantReset})
		f.wantReset = false
	})
	mux.HandleFunc("POST "+endpoint.PathWithdraw, func(_ http.ResponseWriter, r *http.Request) {
		var withdrawal endpoint.Withdrawal
		_ = json.NewDecoder(r.Body).Decode(&withdrawal)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.withdrawals = append(f.withdrawals, withdrawal)
	})
	mux.HandleFunc("POST "+endpoint.PathCacheEvents, func(_ http.ResponseWriter, r *http.Request) {
		var events endpoint.CacheEvents
		_ = json.NewDecoder(r.Body).Decode(&events)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.events = append(f.events, events.Events...)
	})
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	f.url = server.URL
	return f
}

func (f *fakeEntry) last() endpoint.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.announcements) == 0 {
		return endpoint.Announcement{}
	}
	return f.announcements[len(f.announcements)-1]
}

func (f *fakeEntry) cacheEvents() []endpoint.CacheEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]endpoint.CacheEvent(nil), f.events...)
}

func longPrompt(word string, tokens int) string {
	return strings.Repeat(word+" ", tokens*endpoint.BytesPerToken/(len(word)+1))
}
