package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func testRecord() Record {
	r := NewRecord(Order{Service: "app", To: "v2", Duration: 10 * time.Second}, 1, Bounds{Share: 0.1, Allowance: 50}, 2, time.Unix(100, 0))
	r.Revision = 4
	return r
}

// testInput is that of a good version at a time after the order.
func testInput(after time.Duration) Input {
	counts := RouteCounts{Old: Counts{Answers: 900}, New: Counts{Answers: 100}}
	return Input{Now: time.Unix(100, 0).Add(after), ReadyOld: 10, ReadyNew: 10, LeadingFor: time.Minute, Sums: Sums{Evidence: Evidence{"r": counts}}}
}

// Guards against a roll-out that ends in the wrong phase, early, or not by its deadline.
func TestSteps(t *testing.T) {
	shifting := testRecord()
	shifting.Phase, shifting.PhaseAtNS = Shifting, shifting.ShiftAt().UnixNano()
	for name, test := range map[string]struct {
		from   Record
		after  time.Duration
		change func(in *Input)
		phase  Phase
		reason string
	}{
		"waits for the shift":              {testRecord(), 6 * time.Second, nil, Canary, ReasonOrdered},
		"shifts":                           {testRecord(), 6500 * time.Millisecond, nil, Shifting, ReasonTrusted},
		"waits while suspect":              {testRecord(), 7 * time.Second, func(in *Input) { in.Verdict.Suspect = true }, Canary, ReasonOrdered},
		"shifts a suspect version":         {testRecord(), 8 * time.Second, func(in *Input) { in.Verdict.Suspect = true }, Shifting, ReasonTrusted},
		"waits for endpoints":              {testRecord(), 7 * time.Second, func(in *Input) { in.ReadyNew = 4 }, Canary, ReasonOrdered},
		"reverts without endpoints":        {testRecord(), 9800 * time.Millisecond, func(in *Input) { in.ReadyNew = 4 }, Reverted, ReasonNoEndpoints},
		"reverts without answers":          {testRecord(), 9800 * time.Millisecond, func(in *Input) { in.Sums.Evidence["r"] = RouteCounts{Old: Counts{Answers: 900}} }, Reverted, ReasonUntested},
		"shifts a service without traffic": {testRecord(), 7 * time.Second, func(in *Input) { in.Sums.Evidence = nil }, Shifting, ReasonTrusted},
		"reverts a bad version":            {testRecord(), time.Second, func(in *Input) { in.Verdict = Verdict{Bad: true, Reason: "bad"} }, Reverted, "bad"},
		"reverts a bad version late":       {shifting, 7 * time.Second, func(in *Input) { in.Verdict = Verdict{Bad: true, Reason: "bad"} }, Reverted, "bad"},
		"reverts a removed service":        {shifting, 7 * time.Second, func(in *Input) { in.Removed = true }, Reverted, ReasonRemoved},
		"is too late to shift":             {testRecord(), 9500 * time.Millisecond, nil, Canary, ReasonOrdered},
		"reverts after the deadline":       {testRecord(), 20 * time.Second, nil, Reverted, ReasonDeadline},
		"runs empty":                       {shifting, 9 * time.Second, nil, Completed, ReasonEmpty},
		"may still use old endpoints":      {shifting, 8 * time.Second, nil, Shifting, ReasonOrdered},
		"waits for running requests":       {shifting, 9 * time.Second, func(in *Input) { in.Sums.RunningOld = 1 }, Shifting, ReasonOrdered},
		"waits for entries":                {shifting, 9 * time.Second, func(in *Input) { in.Sums.Unconfirmed = 1 }, Shifting, ReasonOrdered},
		"waits as a new leader":            {shifting, 9 * time.Second, func(in *Input) { in.LeadingFor = time.Second }, Shifting, ReasonOrdered},
		"completes by the deadline":        {shifting, 9800 * time.Millisecond, func(in *Input) { in.Sums.RunningOld = 1 }, Completed, ReasonDeadline},
		"completes after the deadline":     {shifting, 30 * time.Second, func(in *Input) { in.LeadingFor = 0 }, Completed, ReasonDeadline},
		"lost the new endpoints":           {shifting, 9800 * time.Millisecond, func(in *Input) { in.ReadyNew = 0 }, Reverted, ReasonNoEndpoints},
		"stays as it ended":                {testRecord().End(Completed, ReasonEmpty, time.Unix(108, 0)), 9 * time.Second, func(in *Input) { in.Verdict.Bad = true }, Completed, ReasonEmpty},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			in := testInput(test.after)
			if test.change != nil {
				test.change(&in)
			}
			next, changed := Step(test.from, in)
			g.Expect(next.Phase).To(Equal(test.phase))
			g.Expect(next.Reason).To(Equal(test.reason))
			g.Expect(changed).To(Equal(test.phase != test.from.Phase))
			if changed {
				g.Expect(next.PhaseAt()).To(Equal(in.Now))
			}
		})
	}
}

// Guards against a roll-out that completes while an entry may still use old endpoints, and
// against evidence that is lost with an entry or counted twice.
func TestLedger(t *testing.T) {
	g := NewWithT(t)
	record := testRecord()
	now := time.Unix(0, 0)
	report := func(revision uint64, answers int64, running int) []Report {
		return []Report{{ID: 1, Service: "app", Revision: revision, RunningOld: running, Exposed: 2, Evidence: Evidence{"r": {New: Counts{Answers: answers}}}}}
	}
	l := NewLedger()
	l.Observe("a", 1, report(4, 10, 1), now)
	l.Observe("b", 1, report(3, 5, 0), now)
	l.Observe("c", 1, nil, now)
	sums := l.Sums(&record, now)
	g.Expect([]int64{sums.Evidence.Total().New.Answers, sums.Exposed, int64(sums.RunningOld), int64(sums.Unconfirmed)}).To(Equal([]int64{15, 4, 1, 2}))
	// The newer incarnation of a runs nothing; an older report of b changes nothing.
	l.Observe("a", 2, report(4, 1, 0), now)
	l.Observe("b", 1, report(4, 6, 0), now)
	l.Observe("b", 1, report(3, 5, 0), now)
	l.Observe("c", 1, report(4, 0, 0), now)
	sums = l.Sums(&record, now)
	g.Expect([]int64{sums.Evidence.Total().New.Answers, sums.Exposed, int64(sums.RunningOld), int64(sums.Unconfirmed)}).To(Equal([]int64{17, 8, 0, 0}))
	g.Expect(l.Sums(&record, now.Add(confirmTTL+1)).Unconfirmed).To(Equal(3))
	sums = l.Sums(&record, now.Add(forgetEntryAfter+1))
	g.Expect(sums.Unconfirmed).To(BeZero())
	g.Expect(sums.Evidence.Total().New.Answers).To(Equal(int64(17)))
	l.Retain(nil)
	g.Expect(l.Sums(&record, now).Evidence).To(BeEmpty())
}
