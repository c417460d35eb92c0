package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/wait"
)

// runner sends the calls of one stream.
type runner struct {
	target   Target
	config   *Config
	stream   *Stream
	recorder *recorder
	random   *rand.Rand
	// answerCtx limits the wait for answers.
	answerCtx context.Context
	serial    int
}

func (r *runner) run(arrivalCtx context.Context) {
	if !wait.For(arrivalCtx, r.stream.Start) {
		return
	}
	if r.stream.Stop > 0 {
		var cancel context.CancelFunc
		arrivalCtx, cancel = context.WithTimeout(arrivalCtx, r.stream.Stop-r.stream.Start)
		defer cancel()
	}
	if r.stream.Rate > 0 {
		r.openLoop(arrivalCtx)
		return
	}
	r.closedLoop(arrivalCtx)
}

// openLoop sends calls at random times, as independent callers do. It does not
// wait for the answers to earlier calls.
func (r *runner) openLoop(arrivalCtx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	next := time.Now()
	for {
		next = next.Add(time.Duration(r.random.ExpFloat64() / r.stream.Rate * float64(time.Second)))
		if !wait.For(arrivalCtx, time.Until(next)) {
			return
		}
		call := r.nextCall()
		group.Go(func() { r.do(call) })
	}
}

func (r *runner) closedLoop(arrivalCtx context.Context) {
	var group sync.WaitGroup
	var mu sync.Mutex
	for range r.stream.Concurrency {
		group.Go(func() {
			for arrivalCtx.Err() == nil {
				mu.Lock()
				call := r.nextCall()
				mu.Unlock()
				r.do(call)
			}
		})
	}
	group.Wait()
}

func (r *runner) do(call Call) {
	observer := &callObserver{start: time.Now(), keepText: r.config.Verify != nil}
	err := r.target.Do(r.answerCtx, call, observer)
	complete := true
	if err == nil && r.config.Verify != nil {
		complete = r.config.Verify(call, observer.text.String())
	}
	r.recorder.record(observer, complete, err)
}

// nextCall returns the next call. If the call of the stream has a prompt, all calls
// use it. Otherwise the prompts start with the same SharedBytes, like
// conversations with a common system prompt, and continue with random text.
func (r *runner) nextCall() Call {
	r.serial++
	call := r.stream.Call
	if call.Prompt != "" {
		return call
	}
	var prompt strings.Builder
	prompt.WriteString(strings.Repeat("shared ", r.stream.SharedBytes/len("shared ")))
	prompt.WriteString(r.stream.Name + " " + strconv.Itoa(r.serial) + " " + strconv.FormatUint(r.random.Uint64(), 36) + " ")
	for prompt.Len() < r.stream.PromptBytes {
		prompt.WriteString(strconv.FormatUint(r.random.Uint64(), 36) + " ")
	}
	call.Prompt = prompt.String()
	return call
}
