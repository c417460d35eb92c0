package telemetry_test

import (
	"context"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// BenchmarkRequest measures the total cost of telemetry for one request: four
// spans, an explain record with five events, three counters and two latencies.
func BenchmarkRequest(b *testing.B) {
	for _, ratio := range []float64{-1, 0, 0.01, 1} {
		name := "trace=off"
		if ratio >= 0 {
			name = "sampled=" + strconv.FormatFloat(ratio, 'g', -1, 64)
		}
		b.Run(name, func(b *testing.B) {
			var tracing *telemetry.Tracing
			if ratio >= 0 {
				var err error
				tracing, err = telemetry.NewTracing(settings.Trace{File: filepath.Join(b.TempDir(), "s"), SampleRatio: ratio}, "d", "a")
				if err != nil {
					b.Fatal(err)
				}
			}
			registry, explainer := telemetry.NewRegistry(), telemetry.NewExplainer(10000)
			started, finished, tokens := registry.Counter("s"), registry.Counter("f"), registry.Counter("t")
			first, gap := registry.Latency("first"), registry.Latency("gap")
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					recordRequest(tracing, explainer, i)
					started.Inc()
					finished.Inc()
					tokens.Add(20)
					first.Record(time.Duration(i%1000) * time.Millisecond)
					gap.Record(time.Duration(i%50) * time.Millisecond)
				}
			})
			_ = tracing.Close(context.Background())
		})
	}
}

func recordRequest(tracing *telemetry.Tracing, explainer *telemetry.Explainer, i int) {
	now := time.Now()
	ctx, caller := tracing.Start(context.Background(), telemetry.HopCaller)
	record := explainer.Begin(telemetry.Subject{RequestID: strconv.Itoa(i), Arrived: now})
	for _, hop := range []telemetry.Hop{telemetry.HopAdmission, telemetry.HopRouting, telemetry.HopAttempt} {
		_, span := tracing.Start(ctx, hop)
		record.Add(now, telemetry.Event{Type: telemetry.EventRouted, Endpoint: "e"})
		span.Text("endpoint", "e")
		span.End()
	}
	record.Add(now, telemetry.Event{Type: telemetry.EventAttemptEnded})
	record.Add(now, telemetry.Event{Type: telemetry.EventFinished})
	caller.End()
}

func BenchmarkLatencyRecord(b *testing.B) {
	latency := new(telemetry.Latency)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			latency.Record(25 * time.Millisecond)
		}
	})
}
