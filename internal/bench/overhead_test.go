package bench

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/boragelead/boragelead/internal/load"
)

// BenchmarkOverhead reports what a daemon adds to direct calls.
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
		b.ReportMetric(100*o.ThroughputOfEntry, "throughput-%")
		load.WriteTable(os.Stderr, []load.Report{o.DirectLatency, o.EntryLatency, o.DirectThroughput, o.EntryThroughput})
	}
}
