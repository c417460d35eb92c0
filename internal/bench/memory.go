package bench

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/standin/engine"
)

const (
	// streamWarmup is the time between the start of a memory run and the reading
	// of the memory, in which all streams start.
	streamWarmup = 3 * time.Second
	// slowDecodeStep is long, so that the streams of a memory run stay open.
	slowDecodeStep = 200 * time.Millisecond
)

// MeasureStreamMemory returns the memory that a daemon uses per stream, in bytes.
func MeasureStreamMemory(ctx context.Context, document []byte, key string, streams int) (float64, error) {
	r, err := rig.Start(rig.Config{Document: document, Domains: 1, Settings: func(s *settings.Settings) { s.Limits.MaxStreams = 0 }})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	e, err := r.AddEngine(engine.Config{
		FailureDomain: r.Domains()[0], Class: "a100", Slots: manySlots, MaxWaiting: manySlots, KVCapacityTokens: 1 << 30,
		Speed: engine.Speed{PrefillTokensPerSecond: 1e9, DecodeStep: slowDecodeStep},
	})
	if err != nil {
		return 0, err
	}
	if err := r.Await(10 * time.Second); err != nil {
		return 0, err
	}
	config := OverheadConfig{Key: key, Streams: streams, Duration: streamWarmup}
	stream := throughputStream(config, r.Document())
	directBytes := memoryDuring(ctx, &load.EngineTarget{BaseURL: e.BaseURL(), Client: &http.Client{Transport: load.NewTransport()}}, stream)
	entryBytes := memoryDuring(ctx, &load.OpenAITarget{BaseURL: "http://" + r.Daemons()[0].CallerAddress(), Client: &http.Client{Transport: load.NewTransport()}}, stream)
	return (entryBytes - directBytes) / float64(streams), nil
}

// memoryDuring returns the heap and stack memory of the process in bytes while the streams run.
func memoryDuring(ctx context.Context, target load.Target, stream load.Stream) float64 {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, target, load.Config{Streams: []load.Stream{stream}, Duration: 2 * streamWarmup, Seed: 1})
	}()
	time.Sleep(streamWarmup)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	cancel()
	<-done
	return float64(memory.HeapAlloc + memory.StackInuse)
}
