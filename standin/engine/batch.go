package engine

import (
	"container/heap"
	"math"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

const (
	// maxCatchUp limits the real time that counts as elapsed in one round. After
	// a longer delay of the loop, the missed time is not made up for.
	maxCatchUp = 100 * time.Millisecond
	// shardSize is the target number of streams that one goroutine writes in a round.
	shardSize = 64
)

// streamWrite describes the frames that one round writes to one stream.
type streamWrite struct {
	s                  *sequence
	startOffset, count int
	// done is the last frame of a complete generation. It is nil if the
	// generation continues.
	done *endpoint.Frame
	// faultFrame is an encoded frame that a simulated fault adds to the stream.
	faultFrame []byte
	skipTokens bool
	ping       bool
}

// batchLoop advances all generations together. One goroutine wakes once per
// decode step and writes the frames of all streams. This is far cheaper than a
// timer per stream that fires for each token.
func (e *Engine) batchLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	last := time.Now()
	var carry carryover
	var writes []streamWrite
	for {
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		var pause time.Duration
		writes, pause = e.round(now, elapsed, &carry, writes[:0])
		e.writeRound(now, writes)
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.ctx.Done():
			return
		}
	}
}

// carryover holds the fractional prefill tokens and decode steps that a round
// could not process. They are added to those of the next round.
type carryover struct{ prefill, decode float64 }

// round advances the batch by the elapsed time. It returns the frames to write
// and the pause until the next round.
func (e *Engine) round(now time.Time, elapsed time.Duration, carry *carryover, writes []streamWrite) ([]streamWrite, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.stalledUntil) {
		return writes, e.stalledUntil.Sub(now)
	}
	e.rounds++
	simulated := float64(min(elapsed, maxCatchUp)) / e.config.TimeScale
	e.removeEnded()
	prefilling, decoding := e.countPhases()
	writes = e.prefill(writes, simulated, carry)
	writes = e.decode(writes, simulated, decoding, carry)
	writes = e.appendPings(writes, now)
	e.removeEnded()
	if e.admitWaiting() {
		return writes, e.config.MinRound
	}
	return writes, e.nextPause(prefilling, decoding, carry)
}

// removeEnded removes the ended sequences from the batch.
func (e *Engine) removeEnded() {
	kept := e.running[:0]
	for _, s := range e.running {
		if !s.ended {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) countPhases() (prefilling, decoding int) {
	for _, s := range e.running {
		if s.prefillRemaining > 0 {
			prefilling++
		} else {
			decoding++
		}
	}
	return prefilling, decoding
}

// admitWaiting fills free slots from the waiting queue. It reports whether any
// generation was started.
func (e *Engine) admitWaiting() bool {
	started := false
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := heap.Pop(&e.waiting).(*sequence)
		if s.ended {
			continue
		}
		e.startSequence(s)
		started = true
	}
	return started
}

// startSequence moves a generation into the batch. Prompt blocks found in the
// prefix cache are not prefilled again.
func (e *Engine) startSequence(s *sequence) {
	s.running = true
	if e.config.PoisonMarker != "" && strings.Contains(s.req.Prompt, e.config.PoisonMarker) {
		go e.Crash()
	}
	s.prefixHashes = endpoint.PrefixHashes(s.req.Model, s.req.Adapter, s.req.Prompt)
	s.cachedTokens = max(s.cachedTokens, e.cache.match(s.prefixHashes)*blockTokens)
	s.cachedTokens = min(s.cachedTokens, s.inputTokens)
	s.prefillRemaining = max(s.inputTokens-s.cachedTokens, 1)
	e.running = append(e.running, s)
	e.config.Ledger.recordStart(s.req.RequestID, s.req.EmittedTokens > 0, s.inputTokens-s.cachedTokens, s.cachedTokens)
}

// prefill processes prompts in the order of admission. A generation gets its
// first token when its prefill is complete.
func (e *Engine) prefill(writes []streamWrite, simulated float64, carry *carryover) []streamWrite {
	carry.prefill += simulated / float64(time.Second) * e.config.Speed.PrefillTokensPerSecond
	for _, s := range e.running {
		if s.prefillRemaining == 0 {
			continue
		}
		part := min(s.prefillRemaining, int(carry.prefill))
		carry.prefill -= float64(part)
		s.prefillRemaining -= part
		if s.prefillRemaining > 0 {
			return writes
		}
		s.prefillEndRound = e.rounds
		e.cache.insert(s.prefixHashes, e.cacheCapacity())
		writes = e.advance(writes, s, 1)
	}
	carry.prefill = 0
	return writes
}

// decode advances each generation whose prefill was complete before this round
// by the number of decode steps that fit into the elapsed time.
func (e *Engine) decode(writes []streamWrite, simulated float64, decoding int, carry *carryover) []streamWrite {
	if decoding == 0 {
		carry.decode = 0
		return writes
	}
	carry.decode += simulated / float64(max(e.config.Speed.decodeStepTime(decoding), 1))
	steps := int(min(carry.decode, float64(e.config.FrameTokens)))
	if steps == 0 {
		return writes
	}
	carry.decode = min(carry.decode-float64(steps), 1)
	for _, s := range e.running {
		// A sequence whose prefill ended in this round has already got its token.
		if s.prefillRemaining == 0 && !s.ended && s.prefillEndRound != e.rounds {
			writes = e.advance(writes, s, steps)
		}
	}
	return writes
}

// advance generates up to steps tokens and finishes the generation if it is complete.
func (e *Engine) advance(writes []streamWrite, s *sequence, steps int) []streamWrite {
	count := max(min(steps, s.req.MaxTokens-s.offset), 0)
	item := streamWrite{s: s, startOffset: s.offset, count: count}
	s.offset += count
	e.generated.Add(int64(count))
	if s.offset >= s.req.MaxTokens {
		item.done = s.doneFrame()
		e.finishLocked(s)
	}
	e.applyFrameFault(&item)
	return append(writes, item)
}

// appendPings adds a keep-alive frame for each stream that waits for a slot or
// for its prefill and has been idle for PingInterval.
func (e *Engine) appendPings(writes []streamWrite, now time.Time) []streamWrite {
	idle := now.Add(-e.config.PingInterval)
	for _, s := range e.running {
		if s.prefillRemaining > 0 && s.idleSince().Before(idle) {
			writes = append(writes, streamWrite{s: s, startOffset: s.offset, ping: true})
		}
	}
	for _, s := range e.waiting {
		if !s.ended && s.idleSince().Before(idle) {
			writes = append(writes, streamWrite{s: s, startOffset: s.offset, ping: true})
		}
	}
	return writes
}

// nextPause returns the real time until the next decode step, end of a prefill
// or check for pings is due.
func (e *Engine) nextPause(prefilling, decoding int, carry *carryover) time.Duration {
	nextPause := e.config.PingInterval / 2
	if len(e.running) == 0 && len(e.waiting) == 0 {
		return time.Hour
	}
	if decoding > 0 {
		decodeStepTime := e.config.realDuration(e.config.Speed.decodeStepTime(decoding))
		nextPause = min(nextPause, time.Duration(float64(decodeStepTime)*max(1-carry.decode, 0)))
	}
	if prefilling > 0 {
		nextPause = min(nextPause, e.timeToPrefillEnd(carry))
	}
	return max(nextPause, e.config.MinRound)
}

func (e *Engine) timeToPrefillEnd(carry *carryover) time.Duration {
	for _, s := range e.running {
		if s.prefillRemaining > 0 {
			seconds := (float64(s.prefillRemaining) - carry.prefill) / e.config.Speed.PrefillTokensPerSecond
			return e.config.realDuration(time.Duration(math.Ceil(seconds * float64(time.Second))))
		}
	}
	return e.config.MinRound
}

// writeRound writes the frames of a round. Large batches are written in parallel.
func (e *Engine) writeRound(now time.Time, writes []streamWrite) {
	if len(writes) <= shardSize {
		e.writeShard(now, writes)
		return
	}
	shards := min((len(writes)+shardSize-1)/shardSize, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i := range shards {
		group.Go(func() {
			e.writeShard(now, writes[len(writes)*i/shards:len(writes)*(i+1)/shards])
		})
	}
	group.Wait()
}

func (e *Engine) writeShard(now time.Time, writes []streamWrite) {
	for i := range writes {
		item := &writes[i]
		ok := item.s.write(now, item.appendFrames)
		if !ok || item.done != nil {
			e.drop(item.s)
		}
	}
}

// appendFrames appends the encoded frames to buf.
func (w *streamWrite) appendFrames(buf []byte) []byte {
	if w.ping {
		return w.s.appendPing(buf, w.startOffset)
	}
	if w.count > 0 && !w.skipTokens {
		buf = w.s.appendTokens(buf, w.startOffset, w.count)
	}
	buf = append(buf, w.faultFrame...)
	if w.done != nil {
		buf = appendFrame(buf, w.done)
	}
	return buf
}
