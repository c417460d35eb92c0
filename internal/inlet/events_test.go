package inlet

import (
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/boragelead/boragelead/internal/telemetry"
)

// Guards against a flood of clients that becomes a flood of log lines, and against events that
// are not counted.
func TestEventsAreCountedAndLogLinesBounded(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	metrics := telemetry.NewRegistry()
	e := newEvents(zap.New(core), metrics)
	for range 1000 {
		e.record(ReasonStalled, "callers", "127.0.0.1:1")
		e.record(ReasonMemory, "callers", "127.0.0.1:1")
	}
	g.Expect(logs.Len()).To(Equal(2))
	g.Expect(metrics.Counter("inlet_callers_stalled").Value()).To(BeEquivalentTo(1000))
	g.Expect(metrics.Counter("inlet_callers_memory").Value()).To(BeEquivalentTo(1000))
}
