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
	// settleTime lets all streams of a memory run begin before memory is read.
	settleTime = 3 * time.Second
	// slowStep keeps the streams of a memory run open.
	slowStep = 200 * time.Millisecond
)

// MeasureStreamMemory returns the bytes that a stream takes in a daemon.
func MeasureStreamMemory(ctx context.Context, document []byte, key string, streams int) (float64, error) {
	r, err := rig.Start(rig.Config{Document: document, Domains: 1, Settings: func(s *settings.Settings) { s.Limits.MaxStreams = 0 }})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	e, err := r.AddEngine(engine.Config{
		FailureDomain: r.Domains()[0], Class: "a100", Slots: manySlots, MaxWaiting: manySlots, KVCapacityTokens: 1 << 30,
		Speed: engine.Speed{PrefillTokensPerSecond: 1e9, DecodeStep: slowStep},
	})
	if err != nil {
		return 0, err
	}
	if err := r.Await(10 * time.Second); err != nil {
		return 0, err
	}
	config := OverheadConfig{Key: key, Streams: streams, Duration: settleTime}
	stream := throughputStream(config, r.Document())
	direct := heapDuring(ctx, &load.EngineTarget{BaseURL: e.BaseURL(), Client: &http.Client{Transport: load.NewTransport()}}, stream)
	entry := heapDuring(ctx, &load.OpenAITarget{BaseURL: "http://" + r.Daemons()[0].CallerAddress(), Client: &http.Client{Transport: load.NewTransport()}}, stream)
	return (entry - direct) / float64(streams), nil
}

// heapDuring returns the live memory of the process while the streams run.
func heapDuring(ctx context.Context, target load.Target, stream load.Stream) float64 {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, target, load.Config{Streams: []load.Stream{stream}, Duration: 2 * settleTime, Seed: 1})
	}()
	time.Sleep(settleTime)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	cancel()
	<-done
	return float64(memory.HeapAlloc + memory.StackInuse)
}
