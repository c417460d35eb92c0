package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// writeTimeout ends the stream of a reader that does not read, so that it
// cannot hold up the batch.
const writeTimeout = 5 * time.Second

// sequence is one generation. The fields up to mu are owned by the engine's
// lock; the fields below by mu.
type sequence struct {
	req   *endpoint.GenerateRequest
	seed  uint64
	order uint64
	// total is the number of prompt and emitted tokens to work from.
	total       int
	cached      int
	prefillLeft int
	offset      int
	// firstRound is the round in which the prefill ended.
	firstRound uint64
	hashes     []uint64
	running    bool
	// ended is set when the engine has dropped the sequence from queue and batch.
	ended bool
	// released is set when done is closed.
	released bool
	done     chan struct{}
	// prefix holds the constant start of a token frame, with the attempt ID escaped.
	prefix []byte

	mu       sync.Mutex
	w        http.ResponseWriter
	control  *http.ResponseController
	buf      []byte
	closed   bool
	deadline time.Time
	// lastWrite is when the last frame was written.
	lastWrite time.Time
}

func newSequence(req *endpoint.GenerateRequest, w http.ResponseWriter) *sequence {
	id, _ := json.Marshal(req.AttemptID)
	prefix := append([]byte(`{"a":`), id...)
	return &sequence{
		req:     req,
		seed:    Seed(req.Model, req.Adapter, req.Prompt),
		total:   endpoint.EstimateTokens(req.Prompt) + req.EmittedTokens,
		offset:  req.EmittedTokens,
		done:    make(chan struct{}),
		prefix:  prefix,
		w:       w,
		control: http.NewResponseController(w),
	}
}

// appendTokens appends a token frame.
func (s *sequence) appendTokens(buf []byte, from, count int) []byte {
	buf = append(buf, s.prefix...)
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
	buf = append(buf, s.prefix...)
	buf = append(buf, `,"t":"ping","o":`...)
	buf = strconv.AppendInt(buf, int64(offset), 10)
	return append(buf, "}\n"...)
}

// appendFrame appends any frame by encoding/json.
func appendFrame(buf []byte, frame *endpoint.Frame) []byte {
	data, _ := json.Marshal(frame)
	return append(append(buf, data...), '\n')
}

func (s *sequence) doneFrame() *endpoint.Frame {
	return &endpoint.Frame{
		AttemptID: s.req.AttemptID, Type: endpoint.FrameDone, Offset: s.offset, FinishReason: "length",
		Usage: &endpoint.Usage{PromptTokens: s.total, CachedTokens: s.cached, GeneratedTokens: s.offset - s.req.EmittedTokens},
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

// write sends the content of buf and reports whether the stream still works.
func (s *sequence) write(now time.Time, fill func(buf []byte) []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.buf = fill(s.buf[:0])
	if now.Add(writeTimeout / 2).After(s.deadline) {
		s.deadline = now.Add(writeTimeout)
		_ = s.control.SetWriteDeadline(s.deadline)
	}
	s.lastWrite = now
	if _, err := s.w.Write(s.buf); err != nil {
		return false
	}
	return s.control.Flush() == nil
}

// close waits for a write in progress and forbids further ones.
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

// waitQueue is a heap of waiting sequences by priority, then arrival.
type waitQueue []*sequence

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].req.Priority != q[j].req.Priority {
		return q[i].req.Priority < q[j].req.Priority
	}
	return q[i].order < q[j].order
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
