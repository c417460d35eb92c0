package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms in microseconds, and their precision in
// significant digits.
const (
	histogramMin    = 1
	histogramMax    = 10 * 60 * 1_000_000
	histogramDigits = 3
)

// Stream describes the calls of one kind of caller in a run.
type Stream struct {
	Name string
	Call Call
	// Rate is the mean number of calls per second (open loop with exponentially
	// distributed intervals); 0 means a closed loop with Concurrency callers.
	Rate        float64
	Concurrency int
	// PromptBytes is the minimum length of a prompt. Its first SharedBytes are the
	// same in all prompts of the stream.
	PromptBytes, SharedBytes int
	// FirstTarget and GapTarget are the latency targets of the calls. A target of
	// zero is always met.
	FirstTarget, GapTarget time.Duration
	// Start and Stop are the times since the start of the run between which the
	// stream sends calls. A Stop of zero means the end of the run.
	Start, Stop time.Duration
}

// Config describes a run.
type Config struct {
	Streams  []Stream
	Duration time.Duration
	// Grace limits the wait for answers after Duration.
	Grace time.Duration
	Seed  uint64
	// Verify reports whether the text is the complete answer to a call. If it is
	// nil, answers are not checked.
	Verify func(call Call, text string) bool
	// Progress, if not nil, is called about once per second with the number of finished calls.
	Progress func(done int)
}

// Report holds what the callers of one stream saw. Times are in milliseconds.
// Complete counts complete answers, Wrong answers that failed the check of Verify,
// Broken answers that ended early, and Refused refusals by status, code and run state.
type Report struct {
	Name            string         `json:"name"`
	Calls           int            `json:"calls"`
	Complete        int            `json:"whole"`
	Wrong           int            `json:"wrong"`
	Broken          int            `json:"broken"`
	Refused         map[string]int `json:"refused,omitempty"`
	Tokens          int64          `json:"tokens"`
	Seconds         float64        `json:"seconds"`
	TokensPerSecond float64        `json:"tokens_per_s"`
	FirstMS         Quantiles      `json:"first_token_ms"`
	GapMS           Quantiles      `json:"between_tokens_ms"`
	TotalMS         Quantiles      `json:"total_ms"`
	// WithinFirst counts complete answers whose first token met the target of the
	// stream, WithinGap those whose mean time between tokens met its target, and
	// Within those that met both targets.
	WithinFirst int `json:"within_first"`
	WithinGap   int `json:"within_gap"`
	Within      int `json:"within"`
	// WithinTokens is the number of tokens of the answers in Within.
	WithinTokens int64 `json:"within_tokens"`
	// Errors holds the first maxErrors errors that were not refusals.
	Errors []string `json:"errors,omitempty"`
}

// Quantiles holds quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// maxErrors limits the errors in a report.
const maxErrors = 5

// recorder collects the measurements of one stream.
type recorder struct {
	mu                 sync.Mutex
	report             Report
	stream             *Stream
	first, gaps, total *hdrhistogram.Histogram
}

func newRecorder(stream *Stream) *recorder {
	return &recorder{
		stream: stream,
		report: Report{Name: stream.Name, Refused: map[string]int{}},
		first:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		gaps:   hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		total:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

// callObserver records the tokens of one call and their times.
type callObserver struct {
	start, last time.Time
	first       time.Duration
	gaps        []time.Duration
	tokens      int
	text        strings.Builder
	keepText    bool
}

// Tokens implements Observer.
func (o *callObserver) Tokens(now time.Time, count int, text string) {
	if o.tokens == 0 {
		o.first = now.Sub(o.start)
	} else {
		// The tokens of a frame arrive together, so the time since the previous
		// frame is divided equally among them.
		gap := now.Sub(o.last) / time.Duration(max(count, 1))
		o.gaps = append(o.gaps, gap)
	}
	o.last = now
	o.tokens += count
	if o.keepText {
		o.text.WriteString(text)
	}
}

func (r *recorder) record(observer *callObserver, complete bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Calls++
	r.report.Tokens += int64(observer.tokens)
	if observer.tokens > 0 {
		_ = r.first.RecordValue(observer.first.Microseconds())
	}
	for _, gap := range observer.gaps {
		_ = r.gaps.RecordValue(max(gap.Microseconds(), histogramMin))
	}
	r.recordOutcome(observer, complete, err)
}

func (r *recorder) recordOutcome(observer *callObserver, complete bool, err error) {
	var refused *RefusedError
	switch {
	case err == nil && complete:
		r.report.Complete++
		r.recordTargets(observer)
		_ = r.total.RecordValue(time.Since(observer.start).Microseconds())
	case err == nil:
		r.report.Wrong++
	case errors.As(err, &refused):
		r.report.Refused[strconv.Itoa(refused.Status)+" "+refused.Code+" "+refused.Run]++
	default:
		r.report.Broken++
		if len(r.report.Errors) < maxErrors {
			r.report.Errors = append(r.report.Errors, err.Error())
		}
	}
}

// recordTargets compares a complete answer with the targets of the stream.
func (r *recorder) recordTargets(observer *callObserver) {
	first := r.stream.FirstTarget <= 0 || observer.first <= r.stream.FirstTarget
	gap := r.stream.GapTarget <= 0 || observer.meanGap() <= r.stream.GapTarget
	if first {
		r.report.WithinFirst++
	}
	if gap {
		r.report.WithinGap++
	}
	if first && gap {
		r.report.Within++
		r.report.WithinTokens += int64(observer.tokens)
	}
}

// meanGap returns the mean time between the tokens of the call.
func (o *callObserver) meanGap() time.Duration {
	if o.tokens < 2 {
		return 0
	}
	return (o.last.Sub(o.start) - o.first) / time.Duration(o.tokens-1)
}

func (r *recorder) close(elapsed time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Seconds = elapsed.Seconds()
	r.report.TokensPerSecond = float64(r.report.Tokens) / elapsed.Seconds()
	r.report.FirstMS = quantiles(r.first)
	r.report.GapMS = quantiles(r.gaps)
	r.report.TotalMS = quantiles(r.total)
	return r.report
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	const microsPerMilli = 1000.0
	return Quantiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95: float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
	}
}

// Run sends the calls of all streams to the target and returns a report per stream.
func Run(ctx context.Context, target Target, config Config) []Report {
	arrivalCtx, cancelArrivals := context.WithTimeout(ctx, config.Duration)
	defer cancelArrivals()
	answerCtx, cancelAnswers := context.WithTimeout(ctx, config.Duration+config.Grace)
	defer cancelAnswers()
	start := time.Now()
	recorders := make([]*recorder, len(config.Streams))
	var group sync.WaitGroup
	for i := range config.Streams {
		recorders[i] = newRecorder(&config.Streams[i])
		streamRunner := &runner{
			target: target, config: &config, stream: &config.Streams[i], recorder: recorders[i],
			random: rand.New(rand.NewPCG(config.Seed, uint64(i))), answerCtx: answerCtx,
		}
		group.Go(func() { streamRunner.run(arrivalCtx) })
	}
	stopProgress := reportProgress(config.Progress, recorders)
	group.Wait()
	stopProgress()
	elapsed := time.Since(start)
	reports := make([]Report, 0, len(recorders))
	for _, r := range recorders {
		reports = append(reports, r.close(elapsed))
	}
	return reports
}

func reportProgress(progress func(int), recorders []*recorder) func() {
	if progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				progress(finishedCalls(recorders))
			case <-stop:
				ticker.Stop()
				return
			}
		}
	}()
	return func() { close(stop) }
}

func finishedCalls(recorders []*recorder) int {
	done := 0
	for _, r := range recorders {
		r.mu.Lock()
		done += r.report.Calls
		r.mu.Unlock()
	}
	return done
}
