package rollout

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// BenchmarkWithoutRecords measures what a request costs while there is no roll-out.
func BenchmarkWithoutRecords(b *testing.B) {
	table := NewTable("e1")
	ask := Attempt{Service: "app", Route: "r"}
	for b.Loop() {
		ask.Ticket = table.Arrive(ask.Service, ask.Route, time.Time{})
		table.Split(ask, time.Time{}, bootclock.Instant(1))
	}
}

// BenchmarkLook measures a look of the leader, and the size of the report of an entry.
func BenchmarkLook(b *testing.B) {
	p := newPlay(2, fault{route: -1})
	record := NewRecord(Order{Service: "app", To: "v2", Duration: p.duration}, 1, Bounds{Share: 0.1, Allowance: 50}, p.entries, time.Unix(0, 0))
	judge := NewJudge(&record)
	evidence, entry := Evidence{}, Evidence{}
	for i, e := range p.events(8*time.Second, 8*time.Second) {
		e.addTo(evidence)
		if i%p.entries == 0 {
			e.addTo(entry)
		}
		if i%200 == 0 {
			judge.Look(evidence, record.OrderedAt().Add(e.knownAt))
		}
	}
	report, err := msgpack.Marshal([]Report{{ID: 1, Service: "app", Revision: 2, Evidence: entry}})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		judge.Look(evidence, record.OrderedAt().Add(7*time.Second))
	}
	b.ReportMetric(float64(len(report)), "report-bytes")
}
