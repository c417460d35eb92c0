package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// writeTimeout ends the stream of a caller that does not read, so that it
// cannot block the batch loop.
const writeTimeout = 5 * time.Second

// sequence is one generation. The fields above mu are guarded by Engine.mu, the
// fields below mu by mu.
type sequence struct {
	req     *endpoint.GenerateRequest
	seed    uint64
	arrival uint64
	// inputTokens is the number of tokens of the prompt and of the answer emitted
	// by earlier attempts.
	inputTokens      int
	cachedTokens     int
	prefillRemaining int
	offset           int
	// prefillEndRound is the number of the round in which the prefill ended.
	prefillEndRound uint64
	prefixHashes    []uint64
	running         bool
	// ended is set when the generation is complete or was dropped. The batch
	// loop then removes the sequence from the queue or the batch.
	ended bool
	// doneClosed is set when done has been closed.
	doneClosed bool
	done       chan struct{}
	// framePrefix is the beginning of all token and ping frames, which contains
	// the escaped attempt ID.
	framePrefix []byte

	mu            sync.Mutex
	w             http.ResponseWriter
	control       *http.ResponseController
	buf           []byte
	closed        bool
	writeDeadline time.Time
	// lastWrite is the time at which the last frame was written.
	lastWrite time.Time
}

func newSequence(req *endpoint.GenerateRequest, w http.ResponseWriter) *sequence {
	id, _ := json.Marshal(req.AttemptID)
	framePrefix := append([]byte(`{"a":`), id...)
	return &sequence{
		req:         req,
		seed:        Seed(req.Model, req.Adapter, req.Prompt),
		inputTokens: endpoint.EstimateTokens(req.Prompt) + req.EmittedTokens,
		offset:      req.EmittedTokens,
		done:        make(chan struct{}),
		framePrefix: framePrefix,
		w:           w,
		control:     http.NewResponseController(w),
	}
}

// appendTokens appends an encoded token frame.
func (s *sequence) appendTokens(buf []byte, from, count int) []byte {
	buf = append(buf, s.framePrefix...)
	buf = append(buf, `,"t":"tokens","o":`...)
	buf = strconv.AppendInt(buf, int64(from), 10)
	buf = append(buf, `,"n":`...)
	buf = strconv.AppendInt(buf, int64(count), 10)
	buf = append(buf, `,"x":"`...)
	for i := from; i < from+count; i++ {
		buf = AppendToken(buf, s.seed, i)
	}
	return append(buf, "\"}\n"...)
}

func (s *sequence) appendPing(buf []byte, offset int) []byte {
	buf = append(buf, s.framePrefix...)
	buf = append(buf, `,"t":"ping","o":`...)
	buf = strconv.AppendInt(buf, int64(offset), 10)
	return append(buf, "}\n"...)
}

// appendFrame appends a frame of any type, encoded with encoding/json.
func appendFrame(buf []byte, frame *endpoint.Frame) []byte {
	data, _ := json.Marshal(frame)
	return append(append(buf, data...), '\n')
}

func (s *sequence) doneFrame() *endpoint.Frame {
	return &endpoint.Frame{
		AttemptID: s.req.AttemptID, Type: endpoint.FrameDone, Offset: s.offset, FinishReason: "length",
		Usage: &endpoint.Usage{PromptTokens: s.inputTokens, CachedTokens: s.cachedTokens, GeneratedTokens: s.offset - s.req.EmittedTokens},
	}
}

func (s *sequence) errorFrame(code endpoint.ErrorCode, message string) *endpoint.Frame {
	run := endpoint.RunUnknown
	if !s.running {
		run = endpoint.NotRun
	}
	return &endpoint.Frame{
		AttemptID: s.req.AttemptID, Type: endpoint.FrameError, Offset: s.offset, Error: message, Code: code, Run: run,
	}
}

// write sends the frames that fill appends to an empty buffer. It reports
// whether the stream is still usable.
func (s *sequence) write(now time.Time, fill func(buf []byte) []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.buf = fill(s.buf[:0])
	if now.Add(writeTimeout / 2).After(s.writeDeadline) {
		s.writeDeadline = now.Add(writeTimeout)
		_ = s.control.SetWriteDeadline(s.writeDeadline)
	}
	s.lastWrite = now
	if _, err := s.w.Write(s.buf); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

// close waits for a write in progress and prevents further writes.
func (s *sequence) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
}

func (s *sequence) idleSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWrite
}

// waitQueue is a heap of waiting sequences, ordered by priority and then by
// order of arrival.
type waitQueue []*sequence

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].req.Priority != q[j].req.Priority {
		return q[i].req.Priority < q[j].req.Priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
