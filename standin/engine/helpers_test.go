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

// start runs an engine that is a hundred times faster than a real one.
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

// answer is what a stream carried.
type answer struct {
	text   string
	frames []endpoint.Frame
	last   endpoint.Frame
	err    error
}

func read(resp *http.Response) answer {
	defer resp.Body.Close()
	var a answer
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			a.err = err
			return a
		}
		var frame endpoint.Frame
		if err := json.Unmarshal(line, &frame); err != nil {
			a.err = err
			return a
		}
		a.frames = append(a.frames, frame)
		a.last = frame
		a.text += frame.Text
		if frame.Type == endpoint.FrameDone || frame.Type == endpoint.FrameError {
			return a
		}
	}
}

func generate(e *engine.Engine, req *endpoint.GenerateRequest) answer {
	resp, err := post(context.Background(), e.BaseURL()+endpoint.PathGenerate, req)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
	return read(resp)
}

// call posts and returns the status and the body of a refusal.
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

// entry records what engines announce.
type entry struct {
	mu            sync.Mutex
	url           string
	wantReset     bool
	announcements []endpoint.Announcement
	withdrawals   []endpoint.Withdrawal
	events        []endpoint.CacheEvent
}

func newEntry() *entry {
	n := &entry{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpoint.PathAnnounce, func(w http.ResponseWriter, r *http.Request) {
		var a endpoint.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.announcements = append(n.announcements, a)
		_ = json.NewEncoder(w).Encode(endpoint.AnnounceReply{WantCacheReset: n.wantReset})
		n.wantReset = false
	})
	mux.HandleFunc("POST "+endpoint.PathWithdraw, func(_ http.ResponseWriter, r *http.Request) {
		var withdrawal endpoint.Withdrawal
		_ = json.NewDecoder(r.Body).Decode(&withdrawal)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.withdrawals = append(n.withdrawals, withdrawal)
	})
	mux.HandleFunc("POST "+endpoint.PathCacheEvents, func(_ http.ResponseWriter, r *http.Request) {
		var events endpoint.CacheEvents
		_ = json.NewDecoder(r.Body).Decode(&events)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.events = append(n.events, events.Events...)
	})
	server := httptest.NewServer(mux)
	DeferCleanup(server.Close)
	n.url = server.URL
	return n
}

func (n *entry) last() endpoint.Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.announcements) == 0 {
		return endpoint.Announcement{}
	}
	return n.announcements[len(n.announcements)-1]
}

func (n *entry) seen() []endpoint.CacheEvent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]endpoint.CacheEvent(nil), n.events...)
}

func longPrompt(word string, tokens int) string {
	return strings.Repeat(word+" ", tokens*endpoint.BytesPerToken/(len(word)+1))
}
