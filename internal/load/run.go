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

// Bounds of the latency histograms, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = 10 * 60 * 1_000_000
	histogramDigits = 3
)

// Stream is one kind of caller in a run.
type Stream struct {
	Name string
	Call Call
	// Rate is the mean number of arrivals a second (open loop, exponential
	// gaps); 0 means a closed loop of Concurrency callers.
	Rate        float64
	Concurrency int
	// PromptBytes is the length of a prompt; SharedBytes of it are the same in all prompts of the stream.
	PromptBytes, SharedBytes int
	// Targets of the calls; zero counts every call as within target.
	FirstTarget, GapTarget time.Duration
	// Start and Stop bound the stream within the run; Stop 0 means to the end.
	Start, Stop time.Duration
}

// Config describes a run.
type Config struct {
	Streams  []Stream
	Duration time.Duration
	// Grace is how long the run waits for answers after the last arrival.
	Grace time.Duration
	Seed  uint64
	// Verify reports whether the text is the whole answer to a call; nil checks nothing.
	Verify func(call Call, text string) bool
	// Progress, if set, is called about every second with the number of finished calls.
	Progress func(done int)
}

// Report is what the callers of one stream saw. Times are in milliseconds.
type Report struct {
	Name     string         `json:"name"`
	Calls    int            `json:"calls"`
	Whole    int            `json:"whole"`
	Wrong    int            `json:"wrong"`
	Broken   int            `json:"broken"`
	Refused  map[string]int `json:"refused,omitempty"`
	Tokens   int64          `json:"tokens"`
	Seconds  float64        `json:"seconds"`
	TokensPS float64        `json:"tokens_per_s"`
	FirstMS  Quantiles      `json:"first_token_ms"`
	GapMS    Quantiles      `json:"between_tokens_ms"`
	TotalMS  Quantiles      `json:"total_ms"`
	// WithinFirst and WithinGap count whole answers whose first token, and whose
	// mean time between tokens, met the target of the stream. Within counts those that met both.
	WithinFirst int `json:"within_first"`
	WithinGap   int `json:"within_gap"`
	Within      int `json:"within"`
	// WithinTokens counts the tokens of the answers in Within.
	WithinTokens int64 `json:"within_tokens"`
	// Errors holds the first few errors that were not refusals.
	Errors []string `json:"errors,omitempty"`
}

// Quantiles of a latency in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// maxErrors bounds the errors kept for a report.
const maxErrors = 5

// recorder collects what one stream saw.
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

// callObserver sees the tokens of one call.
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
		// A frame of several tokens counts as that many equal gaps.
		gap := now.Sub(o.last) / time.Duration(max(count, 1))
		o.gaps = append(o.gaps, gap)
	}
	o.last = now
	o.tokens += count
	if o.keepText {
		o.text.WriteString(text)
	}
}

func (r *recorder) record(observer *callObserver, whole bool, err error) {
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
	r.recordOutcome(observer, whole, err)
}

func (r *recorder) recordOutcome(observer *callObserver, whole bool, err error) {
	var refused *RefusedError
	switch {
	case err == nil && whole:
		r.report.Whole++
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

// recordTargets compares a whole answer with the targets of the stream.
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
	r.report.TokensPS = float64(r.report.Tokens) / elapsed.Seconds()
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
	arrivals, cancelArrivals := context.WithTimeout(ctx, config.Duration)
	defer cancelArrivals()
	answers, cancelAnswers := context.WithTimeout(ctx, config.Duration+config.Grace)
	defer cancelAnswers()
	start := time.Now()
	recorders := make([]*recorder, len(config.Streams))
	var group sync.WaitGroup
	for i := range config.Streams {
		recorders[i] = newRecorder(&config.Streams[i])
		s := &runner{
			target: target, config: &config, stream: &config.Streams[i], recorder: recorders[i],
			random: rand.New(rand.NewPCG(config.Seed, uint64(i))), answers: answers,
		}
		group.Go(func() { s.run(arrivals) })
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
