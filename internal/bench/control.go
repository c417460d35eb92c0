package bench

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/boragelead/boragelead/internal/daemon"
	"github.com/boragelead/boragelead/internal/load"
	"github.com/boragelead/boragelead/internal/rig"
	"github.com/boragelead/boragelead/standin/engine"
)

// ControlConfig describes a measurement of what daemons spend on each other.
type ControlConfig struct {
	Document []byte
	Key      string
	// Daemons and Endpoints of one failure domain.
	Daemons, Endpoints int
	// Rate of requests a second over all daemons; 0 leaves them idle.
	Rate     float64
	Duration time.Duration
}

// Control is the mean per daemon.
type Control struct {
	SentBytesPS     float64 `json:"sent_bytes_per_s"`
	ReceivedBytesPS float64 `json:"received_bytes_per_s"`
	// ProcessorShare is the share of a core. It contains the endpoints and the
	// load generator, which run in the same process.
	ProcessorShare float64 `json:"processor_share"`
	// HeapBytes is the live heap of the process divided by its daemons.
	HeapBytes float64 `json:"heap_bytes"`
}

const (
	// packetHeader is the size of the IP and UDP headers of a datagram in bytes.
	packetHeader = 28
	// controlTokens keep requests of the measurement short.
	controlTokens = 16
	controlSettle = 10 * time.Second
)

// MeasureControl counts datagrams and calls between the daemons of one failure domain.
func MeasureControl(ctx context.Context, config ControlConfig) (*Control, error) {
	r, err := rig.Start(rig.Config{Document: config.Document, Domains: 1, Daemons: config.Daemons})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	for range config.Endpoints {
		_, err := r.AddEngine(engine.Config{FailureDomain: r.Domains()[0], Class: "a100", Slots: 16, AnnounceInterval: 2 * time.Second})
		if err != nil {
			return nil, err
		}
	}
	if err := r.Await(30 * time.Second); err != nil {
		return nil, err
	}
	stop := background(ctx, r, config)
	defer stop()
	time.Sleep(controlSettle)
	return observeControl(r, config), nil
}

func background(ctx context.Context, r *rig.Rig, config ControlConfig) func() {
	if config.Rate <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	target := &load.SpreadTarget{}
	client := &http.Client{Transport: load.NewTransport()}
	for _, d := range r.Daemons() {
		target.Targets = append(target.Targets, &load.OpenAITarget{BaseURL: "http://" + d.CallerAddress(), Client: client})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, target, load.Config{Duration: time.Hour, Seed: 1, Streams: []load.Stream{{
			Name: "background", Rate: config.Rate, PromptBytes: 300,
			Call: load.Call{Key: config.Key, Model: r.Document().Models[0].Name, MaxTokens: controlTokens},
		}}})
	}()
	return func() {
		cancel()
		<-done
	}
}

func observeControl(r *rig.Rig, config ControlConfig) *Control {
	daemons := r.Daemons()
	sent, received := traffic(daemons)
	cpu, start := processorTime(), time.Now()
	time.Sleep(config.Duration)
	elapsed := time.Since(start).Seconds()
	sentAfter, receivedAfter := traffic(daemons)
	cpuAfter := processorTime()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	n := float64(len(daemons))
	return &Control{
		SentBytesPS:     float64(sentAfter-sent) / elapsed / n,
		ReceivedBytesPS: float64(receivedAfter-received) / elapsed / n,
		ProcessorShare:  (cpuAfter - cpu).Seconds() / elapsed / n,
		HeapBytes:       float64(memory.HeapAlloc) / n,
	}
}

// traffic sums the bytes of datagrams, with headers, and of calls.
func traffic(daemons []*daemon.Daemon) (sent, received uint64) {
	for _, d := range daemons {
		datagrams, calls := d.Cluster().Traffic(), d.RPC().Stats()
		sent += datagrams.BytesSent + packetHeader*datagrams.Sent + calls.BytesSent
		received += datagrams.BytesReceived + packetHeader*datagrams.Received + calls.BytesReceived
	}
	return sent, received
}
