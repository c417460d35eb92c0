package entry

import (
	"context"
	"sync"
	"time"
)

// Journal holds what was generated for one request, so that the stream can be
// continued on a new connection or by a peer. It is safe for concurrent use.
// Invariant: the tokens are those of the answer, in order and without gaps.
type Journal struct {
	mu      sync.Mutex
	request *Request
	text    []byte
	// marks maps token offsets to positions in text, one per frame.
	marks    []mark
	tokens   int
	ended    bool
	endedAt  time.Time
	result   Result
	err      error
	readers  int
	changed  chan struct{}
	watched  bool
	movedTo  string
	resumeBy time.Time
	// takenOver is set when a peer handed the request over.
	takenOver bool
	cancelRun context.CancelCauseFunc
}

// mark says that the token at offset starts at position in the text.
type mark struct {
	offset, position int
}

// Chunk is a part of an answer.
type Chunk struct {
	// Offset is the index of the first token, Count the number of tokens.
	Offset, Count int
	Text          string
}

// NewJournal returns an empty journal.
func NewJournal(req *Request) *Journal {
	return &Journal{request: req, changed: make(chan struct{})}
}

// Request returns the request that the journal belongs to.
func (j *Journal) Request() *Request { return j.request }

// setCancel sets what ends the attempts of the request.
func (j *Journal) setCancel(cancel context.CancelCauseFunc) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cancelRun = cancel
}

// cancel ends the attempts of the request with a cause.
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
	j.marks = append(j.marks, mark{offset: j.tokens, position: len(j.text)})
	j.text = append(j.text, text...)
	j.tokens += count
	j.wake()
}

// End records the outcome. Only the first call counts.
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
	j.wake()
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
	j.wake()
}

// wake tells waiting readers; the channel is only replaced when someone took it.
func (j *Journal) wake() {
	if !j.watched {
		return
	}
	close(j.changed)
	j.changed = make(chan struct{})
	j.watched = false
}

// Snapshot is the state of a journal after a token offset.
type Snapshot struct {
	Chunk Chunk
	// Ended is set when nothing follows the chunk.
	Ended   bool
	Result  Result
	Err     error
	MovedTo string
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

// Read returns the tokens from an offset on. An offset inside a frame is
// rounded down to the start of that frame, an offset past the end gives none.
func (j *Journal) Read(offset int) Snapshot {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.watched = true
	snapshot := Snapshot{Ended: j.ended, Result: j.result, Err: j.err, MovedTo: j.movedTo, Changed: j.changed}
	if offset >= j.tokens {
		snapshot.Chunk.Offset = j.tokens
		return snapshot
	}
	start := j.markAt(max(offset, 0))
	snapshot.Chunk = Chunk{Offset: start.offset, Count: j.tokens - start.offset, Text: string(j.text[start.position:])}
	return snapshot
}

// markAt returns the last mark at or before an offset.
func (j *Journal) markAt(offset int) mark {
	low, high := 0, len(j.marks)
	for high-low > 1 {
		middle := (low + high) / 2
		if j.marks[middle].offset <= offset {
			low = middle
		} else {
			high = middle
		}
	}
	return j.marks[low]
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

// Attach counts a reader. While there is none, a resumable request waits for
// its caller only until the resume deadline.
func (j *Journal) Attach() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers++
}

// Detach ends a reader; the caller may come back within the grace period.
func (j *Journal) Detach(now time.Time, grace time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.readers--
	j.resumeBy = now.Add(grace)
}

// Abandoned reports whether no reader is left and the grace period is over.
func (j *Journal) Abandoned(now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.readers == 0 && !j.ended && !j.takenOver && now.After(j.resumeBy)
}

// Expired reports whether the journal ended longer ago than the retention.
func (j *Journal) Expired(now time.Time, retention time.Duration) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.ended && now.Sub(j.endedAt) > retention
}
