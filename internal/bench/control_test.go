package bench

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// BenchmarkControl reports the cost of control traffic per daemon, idle and under load.
func BenchmarkControl(b *testing.B) {
	data, err := os.ReadFile("../../examples/portfolio.json")
	if err != nil {
		b.Fatal(err)
	}
	for _, size := range []struct {
		daemons, endpoints int
		rate               float64
	}{{8, 12, 0}, {8, 12, 80}, {31, 192, 0}, {31, 192, 310}} {
		b.Run(fmt.Sprintf("daemons=%d/endpoints=%d/rate=%.0f", size.daemons, size.endpoints, size.rate), func(b *testing.B) {
			for b.Loop() {
				c, err := MeasureControlCost(context.Background(), ControlCostConfig{
					Document: data, Key: "dev-north", Daemons: size.daemons, Endpoints: size.endpoints, Rate: size.rate, Duration: 15 * time.Second,
				})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(c.SentBytesPerSecond, "sent-B/s")
				b.ReportMetric(c.ReceivedBytesPerSecond, "received-B/s")
				b.ReportMetric(100*c.CPUShare, "%core")
				b.ReportMetric(c.HeapBytes/(1<<20), "MB")
			}
		})
	}
}
