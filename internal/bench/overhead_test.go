package bench

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/boragelead/boragelead/internal/load"
)

// BenchmarkOverhead reports the latency and CPU time that a daemon adds to direct calls.
func BenchmarkOverhead(b *testing.B) {
	data, err := os.ReadFile("../../examples/portfolio.json")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		o, err := MeasureOverhead(context.Background(), OverheadConfig{Document: data, Key: "dev-north", Rate: 300, Streams: 500, Duration: 5 * time.Second, Engines: 8, FrameTokens: 1, Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(o.AddedP50MS, "added-p50-ms")
		b.ReportMetric(o.AddedP99MS, "added-p99-ms")
		b.ReportMetric(100*o.ThroughputRatio, "throughput-%")
		b.ReportMetric(o.AddedUSPerRequest, "added-us/request")
		b.ReportMetric(o.AddedUSPerToken, "added-us/token")
		load.WriteTable(os.Stderr, []load.Report{o.DirectLatency, o.EntryLatency, o.DirectThroughput, o.EntryThroughput})
	}
}

// BenchmarkStreamMemory reports the memory that a daemon uses per open stream:
// the memory of the process with streams through a daemon minus that with the
// same streams directly to the engine. The client uses the same memory in both cases.
func BenchmarkStreamMemory(b *testing.B) {
	data, err := os.ReadFile("../../examples/portfolio.json")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		bytes, err := MeasureStreamMemory(context.Background(), data, "dev-north", 2000)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(bytes/1024, "KB/stream")
	}
}
