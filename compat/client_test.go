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

const apiKey = "compat-secret"

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// completerFunc implements callerhttp.Completer in place of the request pipeline.
type completerFunc func(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error)

// Complete implements callerhttp.Completer.
func (c completerFunc) Complete(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
	return c(ctx, req, sink)
}

// answerThreeTokens answers every request with the same three tokens.
func answerThreeTokens(_ context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
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

// startServer serves the callers' interface and returns an OpenAI client of it
// and the server.
func startServer(g Gomega, complete completerFunc, options ...option.RequestOption) (openai.Client, *httptest.Server) {
	data, err := os.ReadFile("../examples/portfolio.json")
	g.Expect(err).NotTo(HaveOccurred())
	doc, err := conf.Parse(data)
	g.Expect(err).NotTo(HaveOccurred())
	doc.Workspaces[0].Keys = append(doc.Workspaces[0].Keys, conf.Key{SHA256: sha256Hex(apiKey)})
	store := conf.NewStore()
	store.Install(1, doc, conf.Digest(doc), time.Now())
	var requests atomic.Int64
	newID := func() string { return fmt.Sprint("r-", requests.Add(1)) }
	server := httptest.NewServer(callerhttp.New(callerhttp.Options{
		Name: "entry-1", Config: store, Completer: complete, NewID: newID,
		OverloadPeer: func() string { return "" }, Ready: func() error { return nil },
	}).Handler())
	options = append([]option.RequestOption{option.WithBaseURL(server.URL + "/v1"), option.WithAPIKey(apiKey), option.WithMaxRetries(0)}, options...)
	return openai.NewClient(options...), server
}

func chatParams() openai.ChatCompletionNewParams {
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
	startClient := func(complete completerFunc, options ...option.RequestOption) {
		var server *httptest.Server
		client, server = startServer(Default, complete, options...)
		DeferCleanup(server.Close)
	}
	apiError := func(err error) *openai.Error {
		var apiErr *openai.Error
		ExpectWithOffset(1, errors.As(err, &apiErr)).To(BeTrue(), fmt.Sprint(err))
		return apiErr
	}

	// Guards against answers that OpenAI clients cannot decode.
	It("decodes a complete chat answer with usage and request ID", func() {
		startClient(answerThreeTokens)
		var response *http.Response
		answer, err := client.Chat.Completions.New(ctx, chatParams(), option.WithResponseInto(&response))
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

	// Guards against chunks that the client's accumulator rejects, and against lost tokens.
	It("decodes a streamed chat answer with usage", func() {
		startClient(answerThreeTokens)
		params := chatParams()
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(ctx, params)
		accumulator := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			Expect(accumulator.AddChunk(stream.Current())).To(BeTrue())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(accumulator.Choices[0].Message.Content).To(Equal("red linen \"coat\"\n"))
		Expect(string(accumulator.Choices[0].Message.Role)).To(Equal("assistant"))
		Expect(accumulator.Choices[0].FinishReason).To(Equal("stop"))
		Expect(accumulator.Usage.CompletionTokens).To(Equal(int64(3)))
	})

	It("decodes text completions, streamed or not", func() {
		startClient(answerThreeTokens)
		params := openai.CompletionNewParams{Model: "caption-3b", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Caption:")}}
		completion, err := client.Completions.New(ctx, params)
		Expect(err).NotTo(HaveOccurred())
		Expect(completion.Choices[0].Text).To(Equal("red linen \"coat\"\n"))
		Expect(completion.Usage.CompletionTokens).To(Equal(int64(3)))
		text := ""
		stream := client.Completions.NewStreaming(ctx, params)
		for stream.Next() {
			text += stream.Current().Choices[0].Text
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text).To(Equal(completion.Choices[0].Text))
	})

	It("lists the models of the workspace", func() {
		startClient(answerThreeTokens)
		page, err := client.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Data).To(HaveLen(2))
		Expect(page.Data[0].ID).To(Equal("atelier-8b"))
	})

	// Guards against errors of the caller that the client reports as other errors.
	It("reports a wrong key, an unknown model and an invalid value", func() {
		startClient(answerThreeTokens)
		_, err := client.Chat.Completions.New(ctx, chatParams(), option.WithAPIKey("wrong"))
		Expect(apiError(err)).To(And(HaveField("StatusCode", 401), HaveField("Code", "invalid_api_key"), HaveField("Type", "invalid_request_error")))
		params := chatParams()
		params.Model = "gpt-4o"
		_, err = client.Chat.Completions.New(ctx, params)
		Expect(apiError(err)).To(And(HaveField("StatusCode", 404), HaveField("Code", "model_not_found"), HaveField("Param", "model")))
		params = chatParams()
		params.MaxCompletionTokens = openai.Int(0)
		_, err = client.Chat.Completions.New(ctx, params)
		Expect(apiError(err)).To(And(HaveField("StatusCode", 400), HaveField("Param", "max_tokens")))
	})

	// Guards against overload answers without Retry-After, and against clients
	// that retry before that time has passed.
	It("reports an overload with Retry-After and waits that long before a retry", func() {
		var calls atomic.Int32
		refuseFirst := func(ctx context.Context, req *entry.Request, sink entry.Sink) (entry.Result, error) {
			if calls.Add(1) == 1 {
				return entry.Result{}, &entry.RefusalError{Type: entry.RefusedOverload, Run: endpoint.NotRun, RetryAfter: 600 * time.Millisecond, Message: "the queue is full"}
			}
			return answerThreeTokens(ctx, req, sink)
		}
		startClient(refuseFirst)
		_, err := client.Chat.Completions.New(ctx, chatParams())
		apiErr := apiError(err)
		Expect(apiErr).To(And(HaveField("StatusCode", 429), HaveField("Code", "overloaded"), HaveField("Message", "the queue is full")))
		Expect(apiErr.Response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(apiErr.RawJSON()).To(ContainSubstring(`"run":"not_run"`))
		calls.Store(0)
		start := time.Now()
		_, err = client.Chat.Completions.New(ctx, chatParams(), option.WithMaxRetries(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(calls.Load()).To(Equal(int32(2)))
		Expect(time.Since(start)).To(BeNumerically(">=", time.Second))
	})

	// Guards against a truncated answer that the client takes for a complete one.
	It("reports an error in the middle of a stream", func() {
		startClient(func(_ context.Context, _ *entry.Request, sink entry.Sink) (entry.Result, error) {
			Expect(sink.Tokens(0, 1, "red")).To(Succeed())
			return entry.Result{}, &entry.RefusalError{Type: entry.RefusedRetryBudget, Run: endpoint.RunUnknown, Message: "all attempts failed"}
		})
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams())
		text := ""
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		Expect(text).To(Equal("red"))
		Expect(stream.Err()).To(MatchError(And(ContainSubstring("all attempts failed"), ContainSubstring("unknown"))))
	})

	// Guards against endpoints that keep generating after the caller has disconnected.
	It("cancels the request when the client closes the stream", func() {
		cancelled := make(chan struct{})
		startClient(func(ctx context.Context, _ *entry.Request, sink entry.Sink) (entry.Result, error) {
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
		stream := client.Chat.Completions.NewStreaming(ctx, chatParams())
		Expect(stream.Next()).To(BeTrue())
		Expect(stream.Close()).To(Succeed())
		Eventually(cancelled).WithTimeout(5 * time.Second).Should(BeClosed())
	})
})

// TestQuarantineIsNotResent guards against clients that retry a quarantined
// request at once. The OpenAI client retries after status 409 unless the header
// X-Should-Retry forbids it.
func TestQuarantineIsNotResent(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int32
	client, server := startServer(g, func(context.Context, *entry.Request, entry.Sink) (entry.Result, error) {
		calls.Add(1)
		return entry.Result{}, &entry.RefusalError{Type: entry.RefusedQuarantine, Run: endpoint.NotRun, Message: "the request crashed endpoints"}
	}, option.WithMaxRetries(2))
	defer server.Close()
	_, err := client.Chat.Completions.New(context.Background(), chatParams())
	g.Expect(err).To(HaveOccurred())
	g.Expect(calls.Load()).To(Equal(int32(1)))
}
