package callerhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/boragelead/boragelead/internal/entry"
)

// reply writes the answer of one request, streamed or whole. It implements entry.Sink.
type reply struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	style   style
	stream  bool
	usage   bool
	req     *entry.Request
	started bool
	text    strings.Builder
	buffer  []byte
}

func newReply(w http.ResponseWriter, style style, body *completionRequest, req *entry.Request) *reply {
	return &reply{
		writer:  w,
		control: http.NewResponseController(w),
		style:   style,
		stream:  body.Stream,
		usage:   body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
		req:     req,
	}
}

// Tokens implements entry.Sink.
func (r *reply) Tokens(offset, count int, text string) error {
	if !r.stream {
		r.text.WriteString(text)
		return nil
	}
	if err := r.start(); err != nil {
		return err
	}
	return r.event(offset+count, r.style.delta(text, nil), nil)
}

// start sends the header and, for a chat, the chunk that names the role.
func (r *reply) start() error {
	if r.started {
		return nil
	}
	r.started = true
	header := r.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	r.writer.WriteHeader(http.StatusOK)
	if _, isChat := r.style.(chatStyle); !isChat {
		return nil
	}
	choice := r.style.delta("", nil)
	choice.Delta.Role = "assistant"
	return r.event(0, choice, nil)
}

// event sends one chunk. The event ID is the number of tokens sent so far.
func (r *reply) event(id int, choice chatChoice, usage *usageBody) error {
	chunk := r.envelope(true)
	chunk.Choices = []chatChoice{choice}
	chunk.Usage = usage
	return r.send(id, chunk)
}

func (r *reply) send(id int, chunk any) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	r.buffer = append(r.buffer[:0], "id: "...)
	r.buffer = strconv.AppendInt(r.buffer, int64(id), 10)
	r.buffer = append(r.buffer, "\ndata: "...)
	r.buffer = append(r.buffer, data...)
	r.buffer = append(r.buffer, "\n\n"...)
	if _, err := r.writer.Write(r.buffer); err != nil {
		return err
	}
	return r.control.Flush()
}

func (r *reply) envelope(chunk bool) completionResponse {
	return completionResponse{
		ID:      r.style.idPrefix() + r.req.ID,
		Object:  r.style.object(chunk),
		Created: r.req.Arrived.Unix(),
		Model:   r.req.Model,
	}
}

// finish ends a whole answer.
func (r *reply) finish(result entry.Result) {
	usage := &usageBody{
		PromptTokens:        result.Usage.PromptTokens,
		CompletionTokens:    result.Usage.GeneratedTokens,
		TotalTokens:         result.Usage.PromptTokens + result.Usage.GeneratedTokens,
		PromptTokensDetails: &promptDetails{CachedTokens: result.Usage.CachedTokens},
	}
	if !r.stream {
		r.finishWhole(result, usage)
		return
	}
	if r.start() != nil {
		return
	}
	finish := result.FinishReason
	if r.event(result.Usage.GeneratedTokens, r.style.delta("", &finish), nil) != nil {
		return
	}
	if r.usage {
		chunk := r.envelope(true)
		chunk.Choices = []chatChoice{}
		chunk.Usage = usage
		if r.send(result.Usage.GeneratedTokens, chunk) != nil {
			return
		}
	}
	_, _ = r.writer.Write([]byte("data: [DONE]\n\n"))
	_ = r.control.Flush()
}

func (r *reply) finishWhole(result entry.Result, usage *usageBody) {
	body := r.envelope(false)
	body.Choices = []chatChoice{r.style.whole(r.text.String(), result.FinishReason)}
	body.Usage = usage
	r.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(r.writer).Encode(body)
}

// fail reports an error: as the whole answer, or inside a stream that has begun.
func (r *reply) fail(err error) {
	if !r.started {
		writeError(r.writer, r.req.ID, err)
		return
	}
	_, detail, _ := describe(err)
	detail.RequestID = r.req.ID
	data, _ := json.Marshal(errorBody{Error: detail})
	_, _ = r.writer.Write([]byte("event: error\ndata: " + string(data) + "\n\n"))
	_ = r.control.Flush()
}
