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

// OverheadConfig describes a measurement of what a daemon adds.
type OverheadConfig struct {
	Document []byte
	Key      string
	// Rate and Streams are the open-loop rate per second of the latency run and
	// the concurrent streams of the throughput run.
	Rate    float64
	Streams int
	// Duration of each of the four runs.
	Duration time.Duration
	// Engines is the number of engines, each of which steps on one core.
	Engines int
	// FrameTokens bounds the tokens of one frame of the engine; 0 takes its default.
	FrameTokens int
	Seed        uint64
}

// Overhead is what a daemon adds to direct calls of the same engine in the same run.
type Overhead struct {
	DirectLatency     load.Report `json:"direct_latency"`
	EntryLatency      load.Report `json:"entry_latency"`
	DirectThroughput  load.Report `json:"direct_throughput"`
	EntryThroughput   load.Report `json:"entry_throughput"`
	AddedP50MS        float64     `json:"added_first_token_p50_ms"`
	AddedP99MS        float64     `json:"added_first_token_p99_ms"`
	ThroughputOfEntry float64     `json:"throughput_of_entry"`
	// AddedUSPerRequest and AddedUSPerToken are processor time of the daemon in
	// microseconds: that of the entry runs less that of the direct ones.
	AddedUSPerRequest float64 `json:"added_us_per_request"`
	AddedUSPerToken   float64 `json:"added_us_per_token"`
}

const (
	// overheadTokens and overheadPrompt are those of a short answer.
	overheadTokens = 32
	overheadPrompt = 600
	// throughputTokens make the per-token cost dominate.
	throughputTokens = 512
	// manySlots keep admission out of the comparison.
	manySlots = 4096
	grace     = 30 * time.Second
)

// instantSpeed makes an engine generate as fast as the machine can write.
var instantSpeed = engine.Speed{PrefillTokensPerSecond: 1e9, DecodeStep: 200 * time.Microsecond, DecodeStepPerSequence: 0}

// MeasureOverhead runs the same load against an engine directly and through a daemon.
func MeasureOverhead(ctx context.Context, config OverheadConfig) (*Overhead, error) {
	r, err := rig.Start(rig.Config{Document: config.Document, Domains: 1, Settings: func(s *settings.Settings) { s.Limits.MaxStreams = 0 }})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	direct := &load.SpreadTarget{}
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
	o.DirectLatency, cpu[0] = one(ctx, direct, config, latencyStream(config, r.Document()))
	o.EntryLatency, cpu[1] = one(ctx, entry, config, latencyStream(config, r.Document()))
	o.DirectThroughput, cpu[2] = one(ctx, direct, config, throughputStream(config, r.Document()))
	o.EntryThroughput, cpu[3] = one(ctx, entry, config, throughputStream(config, r.Document()))
	o.AddedUSPerToken = perUnit(cpu[3], o.EntryThroughput.Tokens) - perUnit(cpu[2], o.DirectThroughput.Tokens)
	o.AddedUSPerRequest = perUnit(cpu[1], int64(o.EntryLatency.Calls)) - perUnit(cpu[0], int64(o.DirectLatency.Calls))
	o.AddedP50MS = o.EntryLatency.FirstMS.P50 - o.DirectLatency.FirstMS.P50
	o.AddedP99MS = o.EntryLatency.FirstMS.P99 - o.DirectLatency.FirstMS.P99
	o.ThroughputOfEntry = o.EntryThroughput.TokensPS / o.DirectThroughput.TokensPS
	return o, nil
}

// one runs one stream and returns the processor time of the process with the report.
func one(ctx context.Context, target load.Target, config OverheadConfig, stream load.Stream) (load.Report, time.Duration) {
	before := processorTime()
	report := load.Run(ctx, target, load.Config{Streams: []load.Stream{stream}, Duration: config.Duration, Grace: grace, Seed: config.Seed})[0]
	return report, processorTime() - before
}

// processorTime is the time that the process spent in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// perUnit returns microseconds per unit.
func perUnit(cpu time.Duration, units int64) float64 {
	return float64(cpu.Microseconds()) / float64(max(units, 1))
}

func latencyStream(config OverheadConfig, doc *conf.Document) load.Stream {
	return load.Stream{
		Name: "latency", Rate: config.Rate, PromptBytes: overheadPrompt,
		Call: load.Call{Key: config.Key, Model: doc.Models[0].Name, MaxTokens: overheadTokens},
	}
}

func throughputStream(config OverheadConfig, doc *conf.Document) load.Stream {
	return load.Stream{
		Name: "throughput", Concurrency: config.Streams, PromptBytes: overheadPrompt,
		Call: load.Call{Key: config.Key, Model: doc.Models[0].Name, MaxTokens: throughputTokens},
	}
}
