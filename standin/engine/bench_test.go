package engine_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/standin/engine"
)

// BenchmarkStreams measures how many tokens per second the stand-in can write to
// many streams. It shows whether throughput tests would be limited by the
// stand-in. One operation is a token.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{500, 4000} {
		b.Run(strconv.Itoa(streams), func(b *testing.B) { benchmarkStreams(b, streams) })
	}
}

func benchmarkStreams(b *testing.B, streams int) {
	const engines = 10
	var running []*engine.Engine
	for range engines {
		e, err := engine.Start(engine.Config{
			Models: []endpoint.LoadedModel{{Name: model}}, Slots: streams,
			Speed: engine.Speed{PrefillTokensPerSecond: 1e9, DecodeStep: time.Nanosecond},
		})
		if err != nil {
			b.Fatal(err)
		}
		defer e.Close()
		running = append(running, e)
	}
	tokens := max(b.N/streams, 1)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	var group sync.WaitGroup
	b.ResetTimer()
	for i := range streams {
		group.Go(func() {
			e := running[i%engines]
			resp, err := postWith(context.Background(), client, e.BaseURL()+endpoint.PathGenerate, request(strconv.Itoa(i), "x", tokens))
			if err != nil {
				b.Error(err)
				return
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body)
		})
	}
	group.Wait()
	b.ReportMetric(float64(tokens*streams)/b.Elapsed().Seconds(), "tokens/s")
}
