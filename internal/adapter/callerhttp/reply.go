package callerhttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragelead/boragelead/internal/entry"
)

// maxBuffered bounds the tokens that are collected before they are sent, in bytes.
const maxBuffered = 16 << 10

// callerWriteTimeout is how long a write to a caller may block before the caller counts as gone.
const callerWriteTimeout = 30 * time.Second

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
	// chunkHead and chunkTail enclose the text of a chunk of tokens.
	chunkHead, chunkTail []byte
	// extended is when the write deadline was last moved.
	extended time.Time
	// resumedAt is the offset of the first token that this connection sends.
	resumedAt int
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
	r.buffer = appendEventID(r.buffer, offset+count)
	r.buffer = append(r.buffer, r.chunkHead...)
	r.buffer = appendJSONString(r.buffer, text)
	r.buffer = append(r.buffer, r.chunkTail...)
	if len(r.buffer) < maxBuffered {
		return nil
	}
	return r.Flush()
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
	r.prepareChunk()
	if _, isChat := r.style.(chatStyle); !isChat {
		return nil
	}
	choice := r.style.delta("", nil)
	choice.Delta.Role = "assistant"
	return r.event(r.resumedAt, choice, nil)
}

// prepareChunk encodes what is the same in all chunks of tokens once: encoding
// each chunk in full took most of the time per token.
func (r *reply) prepareChunk() {
	const placeholder = "\x00text\x00"
	chunk := r.envelope(true)
	chunk.Choices = []chatChoice{r.style.delta(placeholder, nil)}
	data, err := json.Marshal(chunk)
	if err != nil {
		// The types of a chunk are all marshalable.
		panic(err)
	}
	quoted, _ := json.Marshal(placeholder)
	head, tail, _ := bytes.Cut(data, quoted)
	r.chunkHead = append([]byte("data: "), head...)
	r.chunkTail = append(tail, "\n\n"...)
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
	r.buffer = appendEventID(r.buffer, id)
	r.buffer = append(r.buffer, "data: "...)
	r.buffer = append(r.buffer, data...)
	r.buffer = append(r.buffer, "\n\n"...)
	return nil
}

// Flush implements entry.Sink. A stalled caller is given a bounded time.
func (r *reply) Flush() error {
	if len(r.buffer) == 0 {
		return nil
	}
	r.extendDeadline(time.Now())
	_, err := r.writer.Write(r.buffer)
	r.buffer = r.buffer[:0]
	if err != nil {
		return err
	}
	return r.control.Flush()
}

// extendDeadline moves the write deadline about once a second: setting it for
// each write took a twelfth of the time of the write.
func (r *reply) extendDeadline(now time.Time) {
	const step = time.Second
	if now.Sub(r.extended) < step {
		return
	}
	r.extended = now
	_ = r.control.SetWriteDeadline(now.Add(callerWriteTimeout + step))
}

func appendEventID(buffer []byte, id int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(id), 10)
	return append(buffer, '\n')
}

// appendJSONString appends a text as a JSON string. Plain ASCII needs no escapes.
func appendJSONString(buffer []byte, text string) []byte {
	for i := range len(text) {
		c := text[i]
		if c < 0x20 || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, _ := json.Marshal(text)
			return append(buffer, quoted...)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
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
	r.buffer = append(r.buffer, "data: [DONE]\n\n"...)
	_ = r.Flush()
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
	r.buffer = append(r.buffer, "event: error\ndata: "...)
	r.buffer = append(r.buffer, data...)
	r.buffer = append(r.buffer, "\n\n"...)
	_ = r.Flush()
}
