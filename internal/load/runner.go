package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner sends the calls of one stream.
type runner struct {
	target   Target
	config   *Config
	stream   *Stream
	recorder *recorder
	random   *rand.Rand
	// answers bounds how long answers are waited for.
	answers context.Context
	serial  int
}

func (s *runner) run(arrivals context.Context) {
	if !sleep(arrivals, s.stream.Start) {
		return
	}
	if s.stream.Stop > 0 {
		var cancel context.CancelFunc
		arrivals, cancel = context.WithTimeout(arrivals, s.stream.Stop-s.stream.Start)
		defer cancel()
	}
	if s.stream.Rate > 0 {
		s.openLoop(arrivals)
		return
	}
	s.closedLoop(arrivals)
}

// openLoop sends calls at random moments, whether or not earlier ones were
// answered, as independent callers do.
func (s *runner) openLoop(arrivals context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(s.random.ExpFloat64() / s.stream.Rate * float64(time.Second)))
		if !sleep(arrivals, time.Until(next)) {
			return
		}
		call := s.nextCall()
		group.Go(func() { s.do(call) })
	}
}

func (s *runner) closedLoop(arrivals context.Context) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for range s.stream.Concurrency {
		group.Go(func() {
			for arrivals.Err() == nil {
				mu.Lock()
				call := s.nextCall()
				mu.Unlock()
				s.do(call)
			}
		})
	}
	group.Wait()
}

func (s *runner) do(call Call) {
	observer := &callObserver{start: time.Now(), keepText: s.config.Verify != nil}
	err := s.target.Do(s.answers, call, observer)
	whole := true
	if err == nil && s.config.Verify != nil {
		whole = s.config.Verify(call, observer.text.String())
	}
	s.recorder.record(observer, whole, err)
}

// nextCall builds the next call. Prompts share a prefix, as conversations with
// one system prompt do, and differ after it. A stream whose call has a prompt
// repeats that prompt.
func (s *runner) nextCall() Call {
	s.serial++
	call := s.stream.Call
	if call.Prompt != "" {
		return call
	}
	var prompt strings.Builder
	prompt.WriteString(strings.Repeat("shared ", s.stream.SharedBytes/len("shared ")))
	prompt.WriteString(s.stream.Name + " " + strconv.Itoa(s.serial) + " " + strconv.FormatUint(s.random.Uint64(), 36) + " ")
	for prompt.Len() < s.stream.PromptBytes {
		prompt.WriteString(strconv.FormatUint(s.random.Uint64(), 36) + " ")
	}
	call.Prompt = prompt.String()
	return call
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
