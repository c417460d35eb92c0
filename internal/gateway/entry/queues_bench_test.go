package entry

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/pick"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rules"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/telemetry"
)

// BenchmarkChoiceWithoutWaiting compares the choice of an endpoint with and without the queue of a
// plain service in which no request waits.
func BenchmarkChoiceWithoutWaiting(b *testing.B) {
	e := New(Options{Settings: &settings.Gateway{Name: "e"}, Log: zap.NewNop(), Metrics: telemetry.NewRegistry()})
	defer e.Close()
	var list []registry.Endpoint
	for n := range 2300 {
		list = append(list, registry.Endpoint{ID: fmt.Sprint("i-", n), Service: "app", Slots: 6, State: registry.Ready, Address: fmt.Sprint("10.0.0.1:", n)})
	}
	e.board.Update(list)
	c := &call{entry: e, service: &rules.Service{Name: "app"}}
	request := &pick.Request{Service: "app", Now: time.Now()}
	b.Run("board", func(b *testing.B) {
		for b.Loop() {
			h, _ := c.chooseOnce(request)
			h.choice.End()
		}
	})
	b.Run("queue", func(b *testing.B) {
		for b.Loop() {
			h, _ := e.queues.of("app").choose(c, request)
			h.choice.End()
			e.queues.of("app").ended(true, time.Millisecond, false)
		}
	})
}
