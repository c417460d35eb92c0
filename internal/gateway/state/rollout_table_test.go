package state

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/telemetry"
)

func tableRecord(service string, phase rollout.Phase) rollout.Record {
	r := rollout.NewRecord(rollout.Order{Service: service, To: "v2", Duration: time.Minute}, 7, rollout.Bounds{}, 1, time.Unix(1, 0))
	r.Phase = phase
	return r
}

// Guards against a table that loses a running roll-out with a change of another one, that
// keeps the roll-outs of removed services for good, or whose former value changes.
func TestTableOfRolloutsKeepsWhatIsNeeded(t *testing.T) {
	g := NewWithT(t)
	keep := func(string) bool { return false }
	gone := func(service string) bool { return service != "c" }
	first := (&rolloutTable{}).with(tableRecord("b", rollout.Canary), keep)
	second := first.with(tableRecord("a", rollout.Completed), keep)
	third := second.with(tableRecord("c", rollout.Canary), gone)
	g.Expect(first.records).To(HaveLen(1))
	g.Expect(second.revision).To(BeEquivalentTo(2))
	g.Expect(second.of("a").Revision).To(BeEquivalentTo(2))
	g.Expect(second.of("b").Revision).To(BeEquivalentTo(1))
	g.Expect(third.of("a")).To(BeNil())
	g.Expect(third.of("b")).NotTo(BeNil())
	g.Expect(second.of("a")).NotTo(BeNil())
}

// Guards against a replica that stops, or steps a roll-out that it cannot read, when a newer
// build wrote the table.
func TestUnreadableTableCountsAsEmpty(t *testing.T) {
	g := NewWithT(t)
	value, err := msgpack.Marshal([]rollout.Record{tableRecord("a", rollout.Canary)})
	g.Expect(err).NotTo(HaveOccurred())
	reports := 0
	cache := &rolloutCache{}
	read := func(key uint64, value []byte) rolloutTable {
		return cache.table([]port.RecordRequest{{Series: "usage", Key: 9}, {Series: rolloutSeries, Key: key, Value: value}}, func(error) { reports++ })
	}
	table := read(1, value)
	g.Expect(table.of("a")).NotTo(BeNil())
	table = read(2, []byte("odd"))
	g.Expect(table.records).To(BeEmpty())
	g.Expect(table.revision).To(BeEquivalentTo(2))
	read(2, []byte("odd"))
	g.Expect(reports).To(Equal(1))
	_, err = decodeRollouts([]port.RecordRequest{{Series: rolloutSeries, Key: 2, Value: []byte("odd")}})
	g.Expect(err).To(HaveOccurred())
}

// Guards against a committed step without a log line and a count, because its write got no
// answer; and against a line for a step that never took effect.
func TestUnclearStepIsNotedOnceItIsCommitted(t *testing.T) {
	g := NewWithT(t)
	metrics := telemetry.NewRegistry()
	core, logs := observer.New(zapcore.InfoLevel)
	s := &State{log: zap.New(core), options: Options{Metrics: metrics}, unclearSteps: map[uint64]unclearStep{}}
	keep := func(string) bool { return false }
	before := (&rolloutTable{}).with(tableRecord("a", rollout.Canary), keep)
	after := before.with(tableRecord("a", rollout.Shifting), keep)
	step := unclearStep{from: *before.of("a"), to: *after.of("a")}
	s.unclearSteps[7] = step
	s.noteUnclearSteps(&before)
	g.Expect(logs.Len()).To(BeZero())
	s.noteUnclearSteps(&after)
	s.noteUnclearSteps(&after)
	g.Expect(logs.FilterMessage("Roll-out step.").Len()).To(Equal(1))
	g.Expect(metrics.Counter("state_rollouts_shifted").Value()).To(BeEquivalentTo(1))

	s.unclearSteps[7] = step
	overtaken := before.with(tableRecord("a", rollout.Reverted), keep)
	s.noteUnclearSteps(&overtaken)
	g.Expect(logs.FilterMessage("Roll-out step.").Len()).To(Equal(1))
	g.Expect(s.unclearSteps).To(BeEmpty())
}
