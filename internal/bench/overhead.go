package bench

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/standin/engine"
)

// OverheadConfig describes a measurement of the overhead that a daemon adds to calls.
type OverheadConfig struct {
	Document []byte
	Key      string
	// Rate is the number of calls per second in the latency run (open loop).
	// Streams is the number of concurrent streams in the throughput run.
	Rate    float64
	Streams int
	// Duration is the length of each of the four runs.
	Duration time.Duration
	// Engines is the number of engines. Each engine runs its decode steps on one core.
	Engines int
	// FrameTokens limits the tokens in one frame of an engine; 0 uses the engine's default.
	FrameTokens int
	Seed        uint64
}

// Overhead compares calls through a daemon with direct calls to the same engines in the same run.
type Overhead struct {
	DirectLatency    load.Report `json:"direct_latency"`
	EntryLatency     load.Report `json:"entry_latency"`
	DirectThroughput load.Report `json:"direct_throughput"`
	EntryThroughput  load.Report `json:"entry_throughput"`
	AddedP50MS       float64     `json:"added_first_token_p50_ms"`
	AddedP99MS       float64     `json:"added_first_token_p99_ms"`
	ThroughputRatio  float64     `json:"throughput_of_entry"`
	// AddedUSPerRequest and AddedUSPerToken are the CPU time of the daemon in
	// microseconds: the CPU time of the process in the runs through the daemon
	// minus that in the direct runs.
	AddedUSPerRequest float64 `json:"added_us_per_request"`
	AddedUSPerToken   float64 `json:"added_us_per_token"`
}

const (
	// latencyAnswerTokens and overheadPromptBytes are the sizes of a short call.
	latencyAnswerTokens = 32
	overheadPromptBytes = 600
	// throughputAnswerTokens is large, so that the cost per token dominates.
	throughputAnswerTokens = 512
	// manySlots is so large that admission control does not affect the comparison.
	manySlots     = 4096
	overheadGrace = 30 * time.Second
)

// instantSpeed makes an engine generate tokens about as fast as the machine can write them.
var instantSpeed = engine.Speed{PrefillTokensPerSecond: 1e9, DecodeStep: 200 * time.Microsecond, DecodeStepPerSequence: 0}

// MeasureOverhead sends the same load to the engines directly and through a daemon.
func MeasureOverhead(ctx context.Context, config OverheadConfig) (*Overhead, error) {
	r, err := rig.Start(rig.Config{Document: config.Document, Domains: 1, Settings: func(s *settings.Settings) { s.Limits.MaxStreams = 0 }})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	direct := &load.RoundRobinTarget{}
	client := &http.Client{Transport: load.NewTransport()}
	for range max(config.Engines, 1) {
		e, err := r.AddEngine(engine.Config{
			FailureDomain: r.Domains()[0], Class: "a100", Slots: manySlots, MaxWaiting: manySlots, Speed: instantSpeed,
			KVCapacityTokens: 1 << 30, FrameTokens: config.FrameTokens,
		})
		if err != nil {
			return nil, err
		}
		direct.Targets = append(direct.Targets, &load.EngineTarget{BaseURL: e.BaseURL(), Client: client})
	}
	if err := r.Await(10 * time.Second); err != nil {
		return nil, err
	}
	entry := &load.OpenAITarget{BaseURL: "http://" + r.Daemons()[0].CallerAddress(), Client: client}
	o := &Overhead{}
	var cpu [4]time.Duration
	o.DirectLatency, cpu[0] = runStream(ctx, direct, config, latencyStream(config, r.Document()))
	o.EntryLatency, cpu[1] = runStream(ctx, entry, config, latencyStream(config, r.Document()))
	o.DirectThroughput, cpu[2] = runStream(ctx, direct, config, throughputStream(config, r.Document()))
	o.EntryThroughput, cpu[3] = runStream(ctx, entry, config, throughputStream(config, r.Document()))
	o.AddedUSPerToken = perUnit(cpu[3], o.EntryThroughput.Tokens) - perUnit(cpu[2], o.DirectThroughput.Tokens)
	o.AddedUSPerRequest = perUnit(cpu[1], int64(o.EntryLatency.Calls)) - perUnit(cpu[0], int64(o.DirectLatency.Calls))
	o.AddedP50MS = o.EntryLatency.FirstMS.P50 - o.DirectLatency.FirstMS.P50
	o.AddedP99MS = o.EntryLatency.FirstMS.P99 - o.DirectLatency.FirstMS.P99
	o.ThroughputRatio = o.EntryThroughput.TokensPerSecond / o.DirectThroughput.TokensPerSecond
	return o, nil
}

// runStream runs a stream and returns its report and the CPU time that the process used meanwhile.
func runStream(ctx context.Context, target load.Target, config OverheadConfig, stream load.Stream) (load.Report, time.Duration) {
	before := cpuTime()
	report := load.Run(ctx, target, load.Config{Streams: []load.Stream{stream}, Duration: config.Duration, Grace: overheadGrace, Seed: config.Seed})[0]
	return report, cpuTime() - before
}

// cpuTime returns the CPU time of the process so far, in user and system mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// perUnit returns the CPU time per unit in microseconds.
func perUnit(cpu time.Duration, units int64) float64 {
	return float64(cpu.Microseconds()) / float64(max(units, 1))
}

func latencyStream(config OverheadConfig, doc *conf.Document) load.Stream {
	return load.Stream{
		Name: "latency", Rate: config.Rate, PromptBytes: overheadPromptBytes,
		Call: load.Call{Key: config.Key, Model: doc.Models[0].Name, MaxTokens: latencyAnswerTokens},
	}
}

func throughputStream(config OverheadConfig, doc *conf.Document) load.Stream {
	return load.Stream{
		Name: "throughput", Concurrency: config.Streams, PromptBytes: overheadPromptBytes,
		Call: load.Call{Key: config.Key, Model: doc.Models[0].Name, MaxTokens: throughputAnswerTokens},
	}
}
