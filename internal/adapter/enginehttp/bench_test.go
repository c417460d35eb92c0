package enginehttp

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/engine"
)

// BenchmarkStreams measures the client with 500 streams from 10 engines. One
// operation is one token. The name of a sub-benchmark is the maximum number of
// tokens per frame.
func BenchmarkStreams(b *testing.B) {
	for _, perFrame := range []int{1, 8} {
		b.Run(strconv.Itoa(perFrame), func(b *testing.B) { benchmarkStreams(b, perFrame) })
	}
}

func benchmarkStreams(b *testing.B, perFrame int) {
	const engines, streams = 10, 500
	var started []*engine.Engine
	for range engines {
		e, err := engine.Start(engine.Config{
			Models: []endpoint.LoadedModel{{Name: model}}, Slots: streams, FrameTokens: perFrame, MinRound: time.Microsecond,
			Speed: engine.Speed{PrefillTokensPerSecond: 1e9, DecodeStep: time.Nanosecond},
		})
		if err != nil {
			b.Fatal(err)
		}
		defer e.Close()
		started = append(started, e)
	}
	tokens := max(b.N/streams, 1)
	client := NewClient()
	defer client.Close()
	var wg sync.WaitGroup
	b.ResetTimer()
	for i := range streams {
		wg.Go(func() {
			stream, err := client.Generate(context.Background(), started[i%engines].BaseURL(), request(strconv.Itoa(i), tokens))
			if err != nil {
				b.Error(err)
				return
			}
			defer stream.Close()
			var frame endpoint.Frame
			for err == nil {
				err = stream.Next(&frame)
			}
			if !errors.Is(err, io.EOF) {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(tokens*streams)/b.Elapsed().Seconds(), "tokens/s")
}
