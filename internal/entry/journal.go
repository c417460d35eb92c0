package entry

import (
	"context"
	"sync"
	"time"
)

// Journal stores the tokens generated for one request, so that the stream can
// be continued on a new connection or by a peer. It is safe for concurrent use.
// Invariant: the tokens are those of the answer, in order and without gaps.
type Journal struct {
	mu      sync.Mutex
	request *Request
	text    []byte
	// frameStarts maps token offsets to positions in text, with one element per
	// frame.
	frameStarts    []frameStart
	tokens         int
	ended          bool
	endedAt        time.Time
	result         Result
	err            error
	readers        int
	changed        chan struct{}
	hasWaiters     bool
	movedTo        string
	resumeDeadline time.Time
	// takenOver is set when a peer handed the request over to this daemon.
	takenOver bool
	// offer identifies the hand-over by which this daemon got the request.
	offer       string
	cancelRun   context.CancelCauseFunc
	handOverRun func(deadline time.Time)
}

// frameStart records that the token at offset starts at position in the text.
type frameStart struct {
	offset, position int
}

// Chunk is a part of an answer.
type Chunk struct {
	// Offset is the index of the first token, Count is the number of tokens.
	Offset, Count int
	Text          string
}

// NewJournal returns an empty journal.
func NewJournal(req *Request) *Journal {
	return &Journal{request: req, changed: make(chan struct{})}
}

// Request returns the request that the journal belongs to.
func (j *Journal) Request() *Request { return j.request }

// setRun sets the functions that cancel the attempts of the request and that
// offer the request to peers.
func (j *Journal) setRun(cancel context.CancelCauseFunc, handOver func(deadline time.Time)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelRun = cancel
	j.handOverRun = handOver
}

// handOver offers the request to peers until the deadline.
func (j *Journal) handOver(deadline time.Time) {
	j.mu.Lock()
	handOver := j.handOverRun
	j.mu.Unlock()
	if handOver != nil {
		handOver(deadline)
	}
}

// cancel cancels the attempts of the request with a cause.
func (j *Journal) cancel(cause error) {
	j.mu.Lock()
	cancel := j.cancelRun
	j.mu.Unlock()
	if cancel != nil {
		cancel(cause)
	}
}

// TakenOver reports whether a peer handed the request over to this daemon.
func (j *Journal) TakenOver() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.takenOver
}

// Append adds tokens at the end.
func (j *Journal) Append(count int, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.frameStarts = append(j.frameStarts, frameStart{offset: j.tokens, position: len(j.text)})
	j.text = append(j.text, text...)
	j.tokens += count
	j.notifyReaders()
}

// End records the outcome. Calls after the first have no effect.
func (j *Journal) End(result Result, err error, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.ended = true
	j.endedAt = now
	j.result = result
	j.err = err
	j.notifyReaders()
}

// MoveTo records that a peer continues the request.
func (j *Journal) MoveTo(peer string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		return
	}
	j.ended = true
	j.endedAt = now
	j.movedTo = peer
	j.notifyReaders()
}

// notifyReaders wakes the waiting readers. It replaces the channel only if a
// reader has taken it. The caller holds the lock.
func (j *Journal) notifyReaders() {
	if !j.hasWaiters {
		return
	}
	close(j.changed)
	j.changed = make(chan struct{})
	j.hasWaiters = false
}

// Snapshot is the state of a journal with the tokens from an offset onwards.
type Snapshot struct {
	Chunk Chunk
	// Ended is set when no token follows the chunk.
	Ended   bool
	Result  Result
	Err     error
	MovedTo string
	// Changed is closed at the next change of the journal.
	Changed <-chan struct{}
}

// Read returns the tokens from the given offset onwards. An offset inside a
// frame is rounded down to the start of that frame; an offset past the end
// returns no tokens.
func (j *Journal) Read(offset int) Snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.hasWaiters = true
	snapshot := Snapshot{Ended: j.ended, Result: j.result, Err: j.err, MovedTo: j.movedTo, Changed: j.changed}
	if offset >= j.tokens {
		snapshot.Chunk.Offset = j.tokens
		return snapshot
	}
	start := j.frameAt(max(offset, 0))
	snapshot.Chunk = Chunk{Offset: start.offset, Count: j.tokens - start.offset, Text: string(j.text[start.position:])}
	return snapshot
}

// frameAt returns the last frame that starts at or before the offset.
func (j *Journal) frameAt(offset int) frameStart {
	low, high := 0, len(j.frameStarts)
	for high-low > 1 {
		middle := (low + high) / 2
		if j.frameStarts[middle].offset <= offset {
			low = middle
		} else {
			high = middle
		}
	}
	return j.frameStarts[low]
}

// Tokens returns the number of tokens so far.
func (j *Journal) Tokens() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tokens
}

// Bytes returns the length of the text so far.
func (j *Journal) Bytes() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.text)
}

// Attach adds a reader. A resumable request without readers continues only
// until its resume deadline.
func (j *Journal) Attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers++
}

// Detach removes a reader and moves the resume deadline to the end of the grace
// period.
func (j *Journal) Detach(now time.Time, grace time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	j.resumeDeadline = now.Add(grace)
}

// Abandoned reports whether the request still runs, has no reader and is past
// its resume deadline. A request that was taken over is never abandoned.
func (j *Journal) Abandoned(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers == 0 && !j.ended && !j.takenOver && now.After(j.resumeDeadline)
}

// Expired reports whether the request ended longer ago than the retention
// period.
func (j *Journal) Expired(now time.Time, retention time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended && now.Sub(j.endedAt) > retention
}
