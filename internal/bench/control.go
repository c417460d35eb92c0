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

// ControlCostConfig describes a measurement of the control traffic between daemons.
type ControlCostConfig struct {
	Document []byte
	Key      string
	// Daemons and Endpoints are the numbers of each in the one failure domain.
	Daemons, Endpoints int
	// Rate is the number of requests per second over all daemons; 0 leaves the daemons idle.
	Rate     float64
	Duration time.Duration
}

// ControlCost is the mean cost of control traffic per daemon.
type ControlCost struct {
	SentBytesPerSecond     float64 `json:"sent_bytes_per_s"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_per_s"`
	// CPUShare is the CPU use as a share of one core. It includes the endpoints
	// and the load generator, which run in the same process.
	CPUShare float64 `json:"processor_share"`
	// HeapBytes is the live heap of the process divided by its daemons.
	HeapBytes float64 `json:"heap_bytes"`
}

const (
	// packetHeaderBytes is the size of the IP and UDP headers of a datagram.
	packetHeaderBytes = 28
	// controlAnswerTokens is the length of an answer. It is small, so that the
	// requests of the measurement stay short.
	controlAnswerTokens = 16
	controlWarmup       = 10 * time.Second
)

// MeasureControlCost measures the datagrams and calls between the daemons of one failure domain.
func MeasureControlCost(ctx context.Context, config ControlCostConfig) (*ControlCost, error) {
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
	stop := startBackgroundLoad(ctx, r, config)
	defer stop()
	time.Sleep(controlWarmup)
	return sampleControlCost(r, config), nil
}

func startBackgroundLoad(ctx context.Context, r *rig.Rig, config ControlCostConfig) func() {
	if config.Rate <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	target := &load.RoundRobinTarget{}
	client := &http.Client{Transport: load.NewTransport()}
	for _, d := range r.Daemons() {
		target.Targets = append(target.Targets, &load.OpenAITarget{BaseURL: "http://" + d.CallerAddress(), Client: client})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, target, load.Config{Duration: time.Hour, Seed: 1, Streams: []load.Stream{{
			Name: "background", Rate: config.Rate, PromptBytes: 300,
			Call: load.Call{Key: config.Key, Model: r.Document().Models[0].Name, MaxTokens: controlAnswerTokens},
		}}})
	}()
	return func() {
		cancel()
		<-done
	}
}

func sampleControlCost(r *rig.Rig, config ControlCostConfig) *ControlCost {
	daemons := r.Daemons()
	sent, received := sumTraffic(daemons)
	cpu, start := cpuTime(), time.Now()
	time.Sleep(config.Duration)
	elapsed := time.Since(start).Seconds()
	sentAfter, receivedAfter := sumTraffic(daemons)
	cpuAfter := cpuTime()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	n := float64(len(daemons))
	return &ControlCost{
		SentBytesPerSecond:     float64(sentAfter-sent) / elapsed / n,
		ReceivedBytesPerSecond: float64(receivedAfter-received) / elapsed / n,
		CPUShare:               (cpuAfter - cpu).Seconds() / elapsed / n,
		HeapBytes:              float64(memory.HeapAlloc) / n,
	}
}

// sumTraffic returns the total bytes of all datagrams, including their headers, and of all calls.
func sumTraffic(daemons []*daemon.Daemon) (sent, received uint64) {
	for _, d := range daemons {
		datagrams, calls := d.Cluster().Traffic(), d.RPC().Stats()
		sent += datagrams.BytesSent + packetHeaderBytes*datagrams.Sent + calls.BytesSent
		received += datagrams.BytesReceived + packetHeaderBytes*datagrams.Received + calls.BytesReceived
	}
	return sent, received
}
