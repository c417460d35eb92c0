package callerhttp_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/entry"
)

const secret = "secret-key"

// fakePipeline sends the given tokens and then returns err or a result.
type fakePipeline struct {
	tokens []string
	err    error
	seen   *entry.Request
	// waitForCancel makes Complete wait until its context is cancelled; it then
	// closes cancelled.
	waitForCancel bool
	cancelled     chan struct{}
}

func (f *fakePipeline) Complete(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
	f.seen = req
	for i, token := range f.tokens {
		if err := sink.Tokens(i, 1, token); err != nil {
			return entry.Result{}, err
		}
	}
	if err := sink.Flush(); err != nil {
		return entry.Result{}, err
	}
	if f.waitForCancel {
		<-ctx.Done()
		close(f.cancelled)
		return entry.Result{}, ctx.Err()
	}
	usage := endpoint.Usage{PromptTokens: req.PromptTokens, GeneratedTokens: len(f.tokens)}
	return entry.Result{FinishReason: "stop", Usage: usage}, f.err
}

type fakeServices struct {
	seen *entry.ServiceRequest
	resp *entry.ServiceResponse
	err  error
}

func (f *fakeServices) Call(_ context.Context, req *entry.ServiceRequest) (*entry.ServiceResponse, error) {
	f.seen = req
	return f.resp, f.err
}

type fakeJournals struct {
	byID map[string]*entry.Journal
	base string
}

func (f *fakeJournals) Get(id string) *entry.Journal { return f.byID[id] }

func (f *fakeJournals) Locate(context.Context, string) string { return f.base }

func testDocument() *conf.Document {
	sum := sha256.Sum256([]byte(secret))
	return &conf.Document{
		Ranks:  []conf.Rank{{Name: "urgent"}, {Name: "batch"}},
		Models: []conf.Model{{Name: "m", Version: "1", Adapters: []string{"a"}, MaxContextTokens: 1000, MaxOutputTokens: 100}},
		Workspaces: []conf.Workspace{{
			Name: "ws", Ranks: []string{"batch"}, DefaultRank: "batch",
			Keys: []conf.Key{{SHA256: hex.EncodeToString(sum[:]), Caller: "key-caller"}},
		}},
		Services: []conf.Service{{Name: "publishing", Rules: []conf.ServiceRule{
			{Method: "GET", PathPrefix: "/portfolios/", Idempotent: true},
			{Method: "PUT", PathPrefix: "/drafts/", Idempotent: true},
		}}},
		Limits: conf.Limits{MaxBodyBytes: 4096, BodyTimeoutMS: 200},
	}
}

var _ = Describe("Server", func() {
	var (
		pipeline *fakePipeline
		services *fakeServices
		journals *fakeJournals
		peerURL  string
		server   *httptest.Server
	)

	BeforeEach(func() {
		pipeline = &fakePipeline{tokens: []string{"one", " \"two\"", " drei ü"}}
		services = &fakeServices{resp: &entry.ServiceResponse{Status: http.StatusCreated, Header: http.Header{"X-Made": {"yes"}}, Body: []byte("made")}}
		journals = &fakeJournals{byID: map[string]*entry.Journal{}}
		peerURL = ""
		store := conf.NewStore()
		store.Install(1, testDocument(), "d", time.Now())
		options := callerhttp.Options{
			Name: "entry-1", Config: store, Completer: pipeline, Services: services, Journals: journals,
			NewID:        func() string { return "entry-1.id" },
			Peers:        http.DefaultTransport,
			OverloadPeer: func() string { return peerURL },
			Ready:        func() error { return nil },
		}
		server = httptest.NewServer(callerhttp.New(options).Handler())
		DeferCleanup(server.Close)
	})

	send := func(method, path, body string, header ...string) (*http.Response, string) {
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+secret)
		for i := 0; i < len(header); i += 2 {
			req.Header.Set(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return resp, string(data)
	}

	errorCode := func(body string) string {
		var decoded struct {
			Error struct {
				Code string `json:"code"`
				Run  string `json:"run"`
			} `json:"error"`
		}
		Expect(json.Unmarshal([]byte(body), &decoded)).To(Succeed())
		Expect(decoded.Error.Run).To(BeElementOf("not_run", "unknown"))
		return decoded.Error.Code
	}

	const chatBody = `{"model":"m","messages":[{"role":"user","content":"hello"}]}`

	// Guards against error responses without an error code, or with the wrong
	// code or status.
	DescribeTable("rejects invalid input with the right error code",
		func(method, path, body string, status int, want string, header ...string) {
			resp, text := send(method, path, body, header...)
			Expect(resp.StatusCode).To(Equal(status))
			Expect(errorCode(text)).To(Equal(want))
		},
		Entry("malformed JSON", "POST", "/v1/chat/completions", "{", 400, "malformed_json"),
		Entry("unknown model", "POST", "/v1/chat/completions", `{"model":"x","messages":[{"role":"user","content":"h"}]}`, 404, "model_not_found"),
		Entry("no model", "POST", "/v1/chat/completions", `{}`, 400, "missing_model"),
		Entry("no messages", "POST", "/v1/chat/completions", `{"model":"m"}`, 400, "missing_messages"),
		Entry("message without role", "POST", "/v1/chat/completions", `{"model":"m","messages":[{"content":"h"}]}`, 400, "missing_role"),
		Entry("empty prompt", "POST", "/v1/completions", `{"model":"m","prompt":""}`, 400, "invalid_prompt"),
		Entry("more than one choice", "POST", "/v1/chat/completions", `{"model":"m","n":2,"messages":[{"role":"user","content":"h"}]}`, 400, "unsupported_value"),
		Entry("max_tokens of 0", "POST", "/v1/chat/completions", `{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"h"}]}`, 400, "invalid_value"),
		Entry("prompt too long", "POST", "/v1/completions", `{"model":"m","prompt":"`+strings.Repeat("x", 3900)+`"}`, 400, "context_length_exceeded"),
		Entry("body too large", "POST", "/v1/completions", strings.Repeat("x", 5000), 413, "body_too_large"),
		Entry("wrong method", "GET", "/v1/chat/completions", "", 405, "method_not_allowed"),
		Entry("rank above the allowance", "POST", "/v1/chat/completions", chatBody, 403, "rank_not_allowed", "X-Boragelead-Rank", "urgent"),
		Entry("unknown adapter", "POST", "/v1/chat/completions", chatBody, 400, "adapter_not_found", "X-Boragelead-Adapter", "zz"),
		Entry("unknown key", "POST", "/v1/chat/completions", chatBody, 401, "invalid_api_key", "Authorization", "Bearer no"),
		Entry("no key", "POST", "/v1/chat/completions", chatBody, 401, "missing_api_key", "Authorization", ""),
		Entry("unknown path", "GET", "/v2/x", "", 404, "unknown_path"),
		Entry("unknown service", "POST", "/services/none/x", "", 404, "service_not_found"),
		Entry("dot segments", "GET", "/services/publishing/drafts/%2e%2e/portfolios/1", "", 400, "invalid_path"),
		Entry("long idempotency key", "POST", "/services/publishing/portfolios/1", "", 400, "invalid_idempotency_key", "Idempotency-Key", strings.Repeat("k", 300)),
		Entry("bad event ID", "GET", "/v1/requests/x", "", 400, "invalid_event_id", "Last-Event-ID", "-1"),
		Entry("unknown request", "GET", "/v1/requests/x", "", 404, "request_not_found"),
	)

	// Guards against a caller that occupies a connection by sending its body slowly.
	It("rejects a body that does not arrive in time", func() {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+secret+"\r\nContent-Length: 100\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		answer := make([]byte, 12)
		_, err = io.ReadFull(conn, answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(Equal("HTTP/1.1 408"))
	})

	// Guards against an event stream that client libraries cannot parse.
	It("streams chunks with event IDs, escaped text and the final [DONE] event", func() {
		resp, text := send("POST", "/v1/chat/completions", `{"model":"m","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]}`)
		Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(resp.Header.Get("X-Request-Id")).To(Equal("entry-1.id"))
		var content strings.Builder
		for _, event := range strings.Split(strings.TrimSuffix(text, "data: [DONE]\n\n"), "\n\n") {
			_, data, found := strings.Cut(event, "data: ")
			if !found {
				continue
			}
			var chunk struct {
				Choices []struct {
					Delta struct{ Content string }
				}
			}
			Expect(json.Unmarshal([]byte(data), &chunk)).To(Succeed())
			for _, choice := range chunk.Choices {
				content.WriteString(choice.Delta.Content)
			}
		}
		Expect(content.String()).To(Equal(`one "two" drei ü`))
		Expect(text).To(ContainSubstring("id: 3\n"))
		Expect(text).To(ContainSubstring(`"completion_tokens":3`))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(pipeline.seen.Prompt).To(ContainSubstring("hello"))
	})

	// Guards against endpoints that continue to generate after the caller disconnected.
	It("cancels the pipeline when the caller disconnects", func() {
		pipeline.waitForCancel = true
		pipeline.cancelled = make(chan struct{})
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, "POST", server.URL+"/v1/chat/completions", strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"h"}]}`))
		req.Header.Set("Authorization", "Bearer "+secret)
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		cancel()
		_ = resp.Body.Close()
		Eventually(pipeline.cancelled).Should(BeClosed())
	})

	// Guards against refusals that lose their Retry-After time or their run state.
	It("maps refusals of the pipeline to HTTP responses", func() {
		pipeline.tokens = nil
		pipeline.err = &entry.RefusalError{Type: entry.RefusedOverload, Run: endpoint.NotRun, RetryAfter: 1500 * time.Millisecond, Message: "busy"}
		resp, text := send("POST", "/v1/chat/completions", chatBody)
		Expect(resp.StatusCode).To(Equal(429))
		Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
		Expect(text).To(ContainSubstring(`"run":"not_run"`))
	})

	// Guards against a failed stream that callers cannot tell from a complete one.
	It("reports an error inside a stream and sends no final [DONE] event", func() {
		pipeline.err = &entry.RefusalError{Type: entry.RefusedRetryBudget, Run: endpoint.RunUnknown, Message: "gave up"}
		_, text := send("POST", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[{"role":"user","content":"h"}]}`)
		Expect(text).To(ContainSubstring("event: error\n"))
		Expect(text).NotTo(ContainSubstring("[DONE]"))
	})

	// Guards against a resumed answer that looks whole because its caller has closed the sending half of the connection.
	DescribeTable("breaks off a resumed answer whose caller is gone", func(accept string) {
		journal := entry.NewJournal(&entry.Request{ID: "entry-1.id", Workspace: "ws", Model: "m"})
		journal.Append(1, "one")
		journals.byID["entry-1.id"] = journal
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = io.WriteString(conn, "GET /v1/requests/entry-1.id HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+secret+"\r\nAccept: "+accept+"\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		Expect(err).To(HaveOccurred())
	}, Entry("stream", "text/event-stream"), Entry("JSON", "application/json"))

	// Guards against missing or repeated tokens when a stream is resumed.
	It("continues a stream after the last event ID", func() {
		journal := entry.NewJournal(&entry.Request{ID: "entry-1.r", Workspace: "ws", Model: "m", Chat: true})
		journal.Append(2, "a b")
		journal.Append(1, " c")
		journals.byID["entry-1.r"] = journal
		go func() {
			time.Sleep(20 * time.Millisecond)
			journal.Append(1, " d")
			journal.End(entry.Result{FinishReason: "stop", Usage: endpoint.Usage{GeneratedTokens: 4}}, nil, time.Now())
		}()
		_, text := send("GET", "/v1/requests/entry-1.r", "", "Last-Event-ID", "2")
		Expect(text).NotTo(ContainSubstring("a b"))
		Expect(text).To(ContainSubstring(`"content":" c"`))
		Expect(text).To(ContainSubstring(`"content":" d"`))
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	// Guards against access to the answers of another workspace.
	It("hides requests of other workspaces", func() {
		journals.byID["r"] = entry.NewJournal(&entry.Request{ID: "r", Workspace: "other"})
		resp, text := send("GET", "/v1/requests/r", "")
		Expect(resp.StatusCode).To(Equal(404))
		Expect(errorCode(text)).To(Equal("request_not_found"))
	})

	// Guards against requests that loop between overloaded daemons.
	It("forwards a request at most once", func() {
		seen := make(chan string, 1)
		peerServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header.Get(callerhttp.HeaderForwarded)
			_, _ = io.WriteString(w, "from peer")
		}))
		defer peerServer.Close()
		peerURL = peerServer.URL
		_, text := send("POST", "/v1/chat/completions", chatBody)
		Expect(text).To(Equal("from peer"))
		Expect(<-seen).To(Equal("entry-1"))
		_, text = send("POST", "/v1/chat/completions", chatBody, callerhttp.HeaderForwarded, "entry-2")
		Expect(text).To(ContainSubstring("one"))
	})

	// Guards against an answer that breaks off at a peer and reaches the caller as complete.
	DescribeTable("breaks off what a peer broke off",
		func(length bool) {
			peerServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if length {
					w.Header().Set("Content-Length", "100")
				}
				_, _ = io.WriteString(w, "data: half of ")
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}))
			defer peerServer.Close()
			peerURL = peerServer.URL
			request, err := http.NewRequest("POST", server.URL+"/v1/chat/completions", strings.NewReader(chatBody))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Authorization", "Bearer "+secret)
			resp, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			Expect(err).To(HaveOccurred())
		},
		Entry("of a stream", false),
		Entry("of an answer with a length", true),
	)

	// Guards against a non-idempotent call that is classified as idempotent and
	// could then be repeated.
	DescribeTable("classifies service calls as idempotent or not",
		func(method, path string, idempotent bool) {
			resp, text := send(method, "/services/publishing"+path, "body", "Idempotency-Key", "k1", "X-Own", "v")
			Expect(resp.StatusCode).To(Equal(http.StatusCreated))
			Expect(resp.Header.Get("X-Made")).To(Equal("yes"))
			Expect(text).To(Equal("made"))
			Expect(services.seen.Idempotent).To(Equal(idempotent))
			Expect(services.seen.Key).To(Equal("k1"))
			Expect(services.seen.Path).To(Equal(path))
			Expect(services.seen.Header.Get("X-Own")).To(Equal("v"))
			Expect(services.seen.Header).NotTo(HaveKey("Idempotency-Key"))
			Expect(services.seen.Header).NotTo(HaveKey("Authorization"))
		},
		Entry("read", "GET", "/portfolios/1?full=1", true),
		Entry("draft", "PUT", "/drafts/1", true),
		Entry("publication", "POST", "/portfolios/1", false),
		Entry("no rule", "DELETE", "/elsewhere/a%2Fb", false),
	)
})
