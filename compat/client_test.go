package compat_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/adapter/callerhttp"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/entry"
)

func TestCompat(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "compat")
}

const secret = "compat-secret"

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// completer stands in for the request pipeline.
type completer func(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error)

// Complete implements callerhttp.Completer.
func (c completer) Complete(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
	return c(ctx, req, sink)
}

// say answers with three tokens.
func say(_ context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
	for i, word := range []string{"red", " linen", " \"coat\"\n"} {
		if err := sink.Tokens(i, 1, word); err != nil {
			return entry.Result{}, err
		}
	}
	if err := sink.Flush(); err != nil {
		return entry.Result{}, err
	}
	return entry.Result{FinishReason: "stop", Usage: endpoint.Usage{PromptTokens: req.PromptTokens, GeneratedTokens: 3, CachedTokens: 2}}, nil
}

// serve starts the callers' interface and returns a client of it.
func serve(g Gomega, complete completer, options ...option.RequestOption) (openai.Client, *httptest.Server) {
	data, err := os.ReadFile("../examples/portfolio.json")
	g.Expect(err).NotTo(HaveOccurred())
	doc, err := conf.Parse(data)
	g.Expect(err).NotTo(HaveOccurred())
	doc.Workspaces[0].Keys = append(doc.Workspaces[0].Keys, conf.Key{SHA256: hashOf(secret)})
	store := conf.NewStore()
	store.Install(1, doc, conf.Digest(doc), time.Now())
	var requests atomic.Int64
	newID := func() string { return fmt.Sprint("r-", requests.Add(1)) }
	server := httptest.NewServer(callerhttp.New(callerhttp.Options{
		Name: "entry-1", Config: store, Completer: complete, NewID: newID,
		OverloadPeer: func() string { return "" }, Ready: func() error { return nil },
	}).Handler())
	options = append([]option.RequestOption{option.WithBaseURL(server.URL + "/v1"), option.WithAPIKey(secret), option.WithMaxRetries(0)}, options...)
	return openai.NewClient(options...), server
}

func chat() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "atelier-8b",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("Be brief."), openai.UserMessage("Describe the coat.")},
	}
}

var _ = Describe("OpenAI client", func() {
	var (
		ctx    = context.Background()
		client openai.Client
	)
	use := func(complete completer, options ...option.RequestOption) {
		var server *httptest.Server
		client, server = serve(Default, complete, options...)
		DeferCleanup(server.Close)
	}
	apiError := func(err error) *openai.Error {
		var failed *openai.Error
		ExpectWithOffset(1, errors.As(err, &failed)).To(BeTrue(), fmt.Sprint(err))
		return failed
	}

	// Guards against answers that clients of the public interface cannot decode.
	It("gets a whole chat answer with usage and request ID", func() {
		use(say)
		var response *http.Response
		answer, err := client.Chat.Completions.New(ctx, chat(), option.WithResponseInto(&response))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices).To(HaveLen(1))
		Expect(answer.Choices[0].Message.Content).To(Equal("red linen \"coat\"\n"))
		Expect(string(answer.Choices[0].Message.Role)).To(Equal("assistant"))
		Expect(answer.Choices[0].FinishReason).To(Equal("stop"))
		Expect(answer.Model).To(Equal("atelier-8b"))
		Expect(string(answer.Object)).To(Equal("chat.completion"))
		Expect(answer.Usage.CompletionTokens).To(Equal(int64(3)))
		Expect(answer.Usage.TotalTokens).To(Equal(answer.Usage.PromptTokens + 3))
		Expect(answer.Usage.PromptTokensDetails.CachedTokens).To(Equal(int64(2)))
		Expect(response.Header.Get("X-Request-Id")).To(Equal("r-1"))
	})

	// Guards against chunks that the client's accumulator refuses or that lose tokens.
	It("gets a streamed chat answer with usage", func() {
		use(say)
		params := chat()
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		sum := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			Expect(sum.AddChunk(stream.Current())).To(BeTrue())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(sum.Choices[0].Message.Content).To(Equal("red linen \"coat\"\n"))
		Expect(string(sum.Choices[0].Message.Role)).To(Equal("assistant"))
		Expect(sum.Choices[0].FinishReason).To(Equal("stop"))
		Expect(sum.Usage.CompletionTokens).To(Equal(int64(3)))
	})

	It("gets text completions, streamed or not", func() {
		use(say)
		params := openai.CompletionNewParams{Model: "caption-3b", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Caption:")}}
		whole, err := client.Completions.New(ctx, params)
		Expect(err).NotTo(HaveOccurred())
		Expect(whole.Choices[0].Text).To(Equal("red linen \"coat\"\n"))
		Expect(whole.Usage.CompletionTokens).To(Equal(int64(3)))
		text := ""
		stream := client.Completions.NewStreaming(ctx, params)
		for stream.Next() {
			text += stream.Current().Choices[0].Text
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text).To(Equal(whole.Choices[0].Text))
	})

	It("lists the models of the workspace", func() {
		use(say)
		page, err := client.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Data).To(HaveLen(2))
		Expect(page.Data[0].ID).To(Equal("atelier-8b"))
	})

	// Guards against mistakes of callers that their client shows as something else.
	It("shows a wrong key, an unknown model and invalid values", func() {
		use(say)
		_, err := client.Chat.Completions.New(ctx, chat(), option.WithAPIKey("wrong"))
		Expect(apiError(err)).To(And(HaveField("StatusCode", 401), HaveField("Code", "invalid_api_key"), HaveField("Type", "invalid_request_error")))
		params := chat()
		params.Model = "gpt-4o"
		_, err = client.Chat.Completions.New(ctx, params)
		Expect(apiError(err)).To(And(HaveField("StatusCode", 404), HaveField("Code", "model_not_found"), HaveField("Param", "model")))
		params = chat()
		params.MaxCompletionTokens = openai.Int(0)
		_, err = client.Chat.Completions.New(ctx, params)
		Expect(apiError(err)).To(And(HaveField("StatusCode", 400), HaveField("Param", "max_tokens")))
	})

	// Guards against a refusal without advice, and against clients that come back before the advised time.
	It("shows an overload with Retry-After, and waits that long before it resends", func() {
		var calls atomic.Int32
		refuse := func(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
			if calls.Add(1) == 1 {
				return entry.Result{}, &entry.RefusalError{Type: entry.RefusedOverload, Run: endpoint.NotRun, RetryAfter: 600 * time.Millisecond, Message: "the queue is full"}
			}
			return say(ctx, req, sink)
		}
		use(refuse)
		_, err := client.Chat.Completions.New(ctx, chat())
		failed := apiError(err)
		Expect(failed).To(And(HaveField("StatusCode", 429), HaveField("Code", "overloaded"), HaveField("Message", "the queue is full")))
		Expect(failed.Response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(failed.RawJSON()).To(ContainSubstring(`"run":"not_run"`))
		calls.Store(0)
		started := time.Now()
		_, err = client.Chat.Completions.New(ctx, chat(), option.WithMaxRetries(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(calls.Load()).To(Equal(int32(2)))
		Expect(time.Since(started)).To(BeNumerically(">=", time.Second))
	})

	// Guards against a broken answer that looks like a finished one.
	It("shows an error inside a stream", func() {
		use(func(_ context.Context, _ *entry.Request, sink entry.Sink) (entry.Result, error) {
			Expect(sink.Tokens(0, 1, "red")).To(Succeed())
			return entry.Result{}, &entry.RefusalError{Type: entry.RefusedRetryBudget, Run: endpoint.RunUnknown, Message: "all attempts failed"}
		})
		stream := client.Chat.Completions.NewStreaming(ctx, chat())
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		Expect(text).To(Equal("red"))
		Expect(stream.Err()).To(MatchError(And(ContainSubstring("all attempts failed"), ContainSubstring("unknown"))))
	})

	// Guards against endpoints that go on generating for callers who are gone.
	It("cancels the request when the client closes the stream", func() {
		cancelled := make(chan struct{})
		use(func(ctx context.Context, _ *entry.Request, sink entry.Sink) (entry.Result, error) {
			if err := sink.Tokens(0, 1, "red"); err != nil {
				return entry.Result{}, err
			}
			if err := sink.Flush(); err != nil {
				return entry.Result{}, err
			}
			<-ctx.Done()
			close(cancelled)
			return entry.Result{}, ctx.Err()
		})
		stream := client.Chat.Completions.NewStreaming(ctx, chat())
		Expect(stream.Next()).To(BeTrue())
		Expect(stream.Close()).To(Succeed())
		Eventually(cancelled).WithTimeout(5 * time.Second).Should(BeClosed())
	})
})

// TestQuarantineIsNotResent guards against clients that resend a quarantined
// request at once: they resend after status 409 unless X-Should-Retry forbids it.
func TestQuarantineIsNotResent(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	client, server := serve(g, func(context.Context, *entry.Request, entry.Sink) (entry.Result, error) {
		calls.Add(1)
		return entry.Result{}, &entry.RefusalError{Type: entry.RefusedQuarantine, Run: endpoint.NotRun, Message: "the request crashed endpoints"}
	}, option.WithMaxRetries(2))
	defer server.Close()
	_, err := client.Chat.Completions.New(context.Background(), chat())
	g.Expect(err).To(HaveOccurred())
	g.Expect(calls.Load()).To(Equal(int32(1)))
}
