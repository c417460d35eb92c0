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
	// maxCatchUp bounds the simulated time of one round after the loop was held up.
	maxCatchUp = 100 * time.Millisecond
	// shardSize is the number of streams that one goroutine writes in a round.
	shardSize = 64
)

// emission is what one round writes to one stream.
type emission struct {
	s           *sequence
	from, count int
	// done is the last frame of a complete generation, nil otherwise.
	done *endpoint.Frame
	// other is a frame that a fault adds or puts in place of the tokens.
	other []byte
	skip  bool
	ping  bool
}

// batchLoop advances all generations together. One goroutine wakes once per
// decode step and writes the frames of all streams, which is far cheaper than
// a timer and a wakeup per stream and token.
func (e *Engine) batchLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	last := time.Now()
	var credit credits
	var work []emission
	for {
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		var pause time.Duration
		work, pause = e.round(now, elapsed, &credit, work[:0])
		e.emit(now, work)
		timer.Reset(pause)
		select {
		case <-timer.C:
		case <-e.wake:
		case <-e.ctx.Done():
			return
		}
	}
}

// credits carry fractions of prefill tokens and decode steps between rounds.
type credits struct{ prefill, decode float64 }

// round moves the batch by the elapsed time and returns what to write and the
// pause until the next round.
func (e *Engine) round(now time.Time, elapsed time.Duration, credit *credits, work []emission) ([]emission, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Before(e.stalled) {
		return work, e.stalled.Sub(now)
	}
	e.rounds++
	simulated := float64(min(elapsed, maxCatchUp)) / e.config.TimeScale
	e.compact()
	prefilling, decoding := e.phases()
	work = e.prefill(work, simulated, credit)
	work = e.decode(work, simulated, decoding, credit)
	work = e.pings(work, now)
	e.compact()
	if e.admit() {
		return work, e.config.MinRound
	}
	return work, e.pause(prefilling, decoding, credit)
}

// compact removes ended sequences.
func (e *Engine) compact() {
	kept := e.running[:0]
	for _, s := range e.running {
		if !s.ended {
			kept = append(kept, s)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) phases() (prefilling, decoding int) {
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			prefilling++
		} else {
			decoding++
		}
	}
	return prefilling, decoding
}

// admit fills free slots from the waiting queue and reports whether any
// generation started.
func (e *Engine) admit() bool {
	started := false
	for len(e.running) < e.config.Slots && len(e.waiting) > 0 {
		s := heap.Pop(&e.waiting).(*sequence)
		if s.ended {
			continue
		}
		e.start(s)
		started = true
	}
	return started
}

// start begins to run a generation with the prefix cache applied.
func (e *Engine) start(s *sequence) {
	s.running = true
	if e.config.PoisonMarker != "" && strings.Contains(s.req.Prompt, e.config.PoisonMarker) {
		go e.Crash()
	}
	s.hashes = endpoint.PrefixHashes(s.req.Model, s.req.Adapter, s.req.Prompt)
	s.cached = max(s.cached, e.cache.match(s.hashes)*blockTokens)
	s.cached = min(s.cached, s.total)
	s.prefillLeft = max(s.total-s.cached, 1)
	e.running = append(e.running, s)
	e.config.Ledger.begin(s.req.RequestID, s.req.EmittedTokens > 0, s.total-s.cached, s.cached)
}

// prefill works on prompts in the order of admission. The end of a prefill
// gives the first token.
func (e *Engine) prefill(work []emission, simulated float64, credit *credits) []emission {
	credit.prefill += simulated / float64(time.Second) * e.config.Speed.PrefillTokensPerSecond
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			continue
		}
		part := min(s.prefillLeft, int(credit.prefill))
		credit.prefill -= float64(part)
		s.prefillLeft -= part
		if s.prefillLeft > 0 {
			return work
		}
		s.firstRound = e.rounds
		e.cache.insert(s.hashes, e.cacheCapacity())
		work = e.advance(work, s, 1)
	}
	credit.prefill = 0
	return work
}

// decode gives each generation that was past its prefill as many tokens as
// steps fit into the elapsed time.
func (e *Engine) decode(work []emission, simulated float64, decoding int, credit *credits) []emission {
	if decoding == 0 {
		credit.decode = 0
		return work
	}
	credit.decode += simulated / float64(max(e.config.Speed.step(decoding), 1))
	steps := int(min(credit.decode, float64(e.config.FrameTokens)))
	if steps == 0 {
		return work
	}
	credit.decode = min(credit.decode-float64(steps), 1)
	for _, s := range e.running {
		// A sequence whose prefill ended in this round already has its token.
		if s.prefillLeft == 0 && !s.ended && s.firstRound != e.rounds {
			work = e.advance(work, s, steps)
		}
	}
	return work
}

// advance generates tokens and ends a complete generation.
func (e *Engine) advance(work []emission, s *sequence, steps int) []emission {
	count := max(min(steps, s.req.MaxTokens-s.offset), 0)
	item := emission{s: s, from: s.offset, count: count}
	s.offset += count
	e.generated.Add(int64(count))
	if s.offset >= s.req.MaxTokens {
		item.done = s.doneFrame()
		e.settle(s)
	}
	e.applyFault(&item)
	return append(work, item)
}

// pings keeps streams without tokens alive.
func (e *Engine) pings(work []emission, now time.Time) []emission {
	idle := now.Add(-e.config.PingInterval)
	for _, s := range e.running {
		if s.prefillLeft > 0 && s.idleSince().Before(idle) {
			work = append(work, emission{s: s, from: s.offset, ping: true})
		}
	}
	for _, s := range e.waiting {
		if !s.ended && s.idleSince().Before(idle) {
			work = append(work, emission{s: s, from: s.offset, ping: true})
		}
	}
	return work
}

// pause returns the real time until the next step is due.
func (e *Engine) pause(prefilling, decoding int, credit *credits) time.Duration {
	pause := e.config.PingInterval / 2
	if len(e.running) == 0 && len(e.waiting) == 0 {
		return time.Hour
	}
	if decoding > 0 {
		step := e.config.scaled(e.config.Speed.step(decoding))
		pause = min(pause, time.Duration(float64(step)*max(1-credit.decode, 0)))
	}
	if prefilling > 0 {
		pause = min(pause, e.nextPrefillEnd(credit))
	}
	return max(pause, e.config.MinRound)
}

func (e *Engine) nextPrefillEnd(credit *credits) time.Duration {
	for _, s := range e.running {
		if s.prefillLeft > 0 {
			seconds := (float64(s.prefillLeft) - credit.prefill) / e.config.Speed.PrefillTokensPerSecond
			return e.config.scaled(time.Duration(math.Ceil(seconds * float64(time.Second))))
		}
	}
	return e.config.MinRound
}

// emit writes the frames of a round, in parallel for large batches.
func (e *Engine) emit(now time.Time, work []emission) {
	if len(work) <= shardSize {
		e.emitShard(now, work)
		return
	}
	shards := min((len(work)+shardSize-1)/shardSize, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i := range shards {
		group.Go(func() {
			e.emitShard(now, work[len(work)*i/shards:len(work)*(i+1)/shards])
		})
	}
	group.Wait()
}

func (e *Engine) emitShard(now time.Time, work []emission) {
	for i := range work {
		item := &work[i]
		ok := item.s.write(now, item.fill)
		if !ok || item.done != nil {
			e.end(item.s)
		}
	}
}

// fill appends the frames of the emission.
func (m *emission) fill(buf []byte) []byte {
	if m.ping {
		return m.s.appendPing(buf, m.from)
	}
	if m.count > 0 && !m.skip {
		buf = m.s.appendTokens(buf, m.from, m.count)
	}
	buf = append(buf, m.other...)
	if m.done != nil {
		buf = appendFrame(buf, m.done)
	}
	return buf
}
