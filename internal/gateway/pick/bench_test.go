package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/port"
)

// BenchmarkChoose measures one choice for a prompt of three parts, among 192
// endpoints (one failure domain at the target size) and 2300 (all twelve).
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{192, 2300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var endpoints []registry.Endpoint
			for i := range size {
				endpoints = append(endpoints, registry.Endpoint{
					ID: fmt.Sprint("i-", i), Service: "llm", Address: fmt.Sprint("10.0.", i/250, ".", i%250, ":1"),
					Domain: fmt.Sprint(i % 12), Slots: 64, State: registry.Ready, Born: 1,
				})
			}
			board := NewBoard(rand.Float64)
			board.Update(endpoints)
			request := &Request{Service: "llm", Domain: "3", PromptTokens: 12_000, MaxConnections: 50}
			for b.Loop() {
				request.Now = time.Now()
				request.Prefix = []port.PromptPart{{ID: 1, Tokens: 512}, {ID: rand.Uint64N(400), Tokens: 4870}, {ID: rand.Uint64(), Tokens: 6610}}
				choice, err := board.Choose(request)
				if err != nil {
					b.Fatal(err)
				}
				choice.End()
			}
		})
	}
}

// BenchmarkSetRates measures what each answer of a replica costs while all endpoints
// limit their rate.
func BenchmarkSetRates(b *testing.B) {
	for _, size := range []int{192, 2300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var endpoints []registry.Endpoint
			rates := map[string]float64{}
			for i := range size {
				id := fmt.Sprint("i-", i)
				endpoints = append(endpoints, registry.Endpoint{ID: id, Service: "llm", Address: fmt.Sprint("10.0.", i/250, ".", i%250, ":1"), Born: 1})
				rates[id] = 0.3
			}
			board := NewBoard(rand.Float64)
			board.Update(endpoints)
			for b.Loop() {
				board.SetRates(rates, time.Now())
			}
		})
	}
}
