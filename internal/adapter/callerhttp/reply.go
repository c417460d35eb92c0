package callerhttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/entry"
)

// maxBufferedBytes is the size, in bytes, at which buffered events are sent to the caller.
const maxBufferedBytes = 16 << 10

// callerWriteTimeout is how long a write to a caller may block before the
// caller is considered disconnected.
const callerWriteTimeout = 30 * time.Second

// reply writes the answer to one request, as a stream of events or as one JSON
// body. It implements entry.Sink.
type reply struct {
	writer       http.ResponseWriter
	control      *http.ResponseController
	format       completionFormat
	stream       bool
	includeUsage bool
	req          *entry.Request
	started      bool
	text         strings.Builder
	buffer       []byte
	// chunkHead and chunkTail are the encoded parts of a chunk of tokens before
	// and after its text.
	chunkHead, chunkTail []byte
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
	// resumeOffset is the offset of the first token that is sent on this connection.
	resumeOffset int
}

func newReply(w http.ResponseWriter, format completionFormat, body *completionRequest, req *entry.Request) *reply {
	return &reply{
		writer:       w,
		control:      http.NewResponseController(w),
		format:       format,
		stream:       body.Stream,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
		req:          req,
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
	if len(r.buffer) < maxBufferedBytes {
		return nil
	}
	return r.Flush()
}

// start writes the response header and, for a chat completion, buffers the
// chunk with the role.
func (r *reply) start() error {
	if r.started {
		return nil
	}
	r.started = true
	header := r.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	r.writer.WriteHeader(http.StatusOK)
	r.prepareChunkTemplate()
	if _, isChat := r.format.(chatFormat); !isChat {
		return nil
	}
	choice := r.format.deltaChoice("", nil)
	choice.Delta.Role = "assistant"
	return r.appendChunk(r.resumeOffset, choice, nil)
}

// prepareChunkTemplate encodes once the parts that all chunks of tokens have in
// common. Encoding each chunk in full took most of the time per token.
func (r *reply) prepareChunkTemplate() {
	const placeholder = "\x00text\x00"
	chunk := r.newResponse(true)
	chunk.Choices = []chatChoice{r.format.deltaChoice(placeholder, nil)}
	data, err := json.Marshal(chunk)
	if err != nil {
		// Cannot happen: all types of a chunk can be marshalled.
		panic(err)
	}
	quoted, _ := json.Marshal(placeholder)
	head, tail, _ := bytes.Cut(data, quoted)
	r.chunkHead = append([]byte("data: "), head...)
	r.chunkTail = append(tail, "\n\n"...)
}

// appendChunk buffers an event with one chunk. The event ID is the number of
// tokens sent so far.
func (r *reply) appendChunk(id int, choice chatChoice, usage *usageBody) error {
	chunk := r.newResponse(true)
	chunk.Choices = []chatChoice{choice}
	chunk.Usage = usage
	return r.appendEvent(id, chunk)
}

func (r *reply) appendEvent(id int, chunk any) error {
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

// Flush implements entry.Sink. A write that blocks for about callerWriteTimeout
// fails.
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

// extendDeadline extends the write deadline about once a second. Setting it for
// each write took a twelfth of the time of the write.
func (r *reply) extendDeadline(now time.Time) {
	const interval = time.Second
	if now.Sub(r.deadlineSetAt) < interval {
		return
	}
	r.deadlineSetAt = now
	_ = r.control.SetWriteDeadline(now.Add(callerWriteTimeout + interval))
}

func appendEventID(buffer []byte, id int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(id), 10)
	return append(buffer, '\n')
}

// appendJSONString appends a text as a JSON string. Text of printable ASCII
// without special characters is copied unescaped.
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

func (r *reply) newResponse(chunk bool) completionResponse {
	return completionResponse{
		ID:      r.format.idPrefix() + r.req.ID,
		Object:  r.format.object(chunk),
		Created: r.req.Arrived.Unix(),
		Model:   r.req.Model,
	}
}

// finish completes the answer of a successful request.
func (r *reply) finish(result entry.Result) {
	usage := &usageBody{
		PromptTokens:        result.Usage.PromptTokens,
		CompletionTokens:    result.Usage.GeneratedTokens,
		TotalTokens:         result.Usage.PromptTokens + result.Usage.GeneratedTokens,
		PromptTokensDetails: &promptDetails{CachedTokens: result.Usage.CachedTokens},
	}
	if !r.stream {
		r.finishJSON(result, usage)
		return
	}
	if r.start() != nil {
		return
	}
	finish := result.FinishReason
	if r.appendChunk(result.Usage.GeneratedTokens, r.format.deltaChoice("", &finish), nil) != nil {
		return
	}
	if r.includeUsage {
		chunk := r.newResponse(true)
		chunk.Choices = []chatChoice{}
		chunk.Usage = usage
		if r.appendEvent(result.Usage.GeneratedTokens, chunk) != nil {
			return
		}
	}
	r.buffer = append(r.buffer, "data: [DONE]\n\n"...)
	_ = r.Flush()
}

func (r *reply) finishJSON(result entry.Result, usage *usageBody) {
	body := r.newResponse(false)
	body.Choices = []chatChoice{r.format.fullChoice(r.text.String(), result.FinishReason)}
	body.Usage = usage
	r.writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(r.writer).Encode(body)
}

// fail reports an error: as an event if the stream has started, else as the
// response.
func (r *reply) fail(err error) {
	if !r.started {
		writeDescription(r.writer, r.describe(err))
		return
	}
	data, _ := json.Marshal(errorBody{Error: r.describe(err).detail})
	r.buffer = append(r.buffer, "event: error\ndata: "...)
	r.buffer = append(r.buffer, data...)
	r.buffer = append(r.buffer, "\n\n"...)
	_ = r.Flush()
}

// describe describes an error of the request. Its run state includes a run by
// another daemon before.
func (r *reply) describe(err error) errorDescription {
	description := describeError(r.req.ID, err)
	description.detail.Run = string(r.req.RunState(endpoint.RunState(description.detail.Run)))
	return description
}
