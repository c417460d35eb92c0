package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// system simulates a roll-out with the tables of all entries, the ledger, the judge and the
// steps of a leader.
type system struct {
	random  *rand.Rand
	record  Record
	entries []*systemEntry
	ledger  *Ledger
	judge   *Judge
	// leaderFrom is when the present leader began to lead, and leaderless until when there is
	// none.
	leaderFrom, leaderless time.Duration
	failures               float64
	// due holds what happens at a later step.
	due map[int][]func(at time.Duration)
	// arrived counts the requests until the deadline, atNew those at the new version, and
	// lastAtNew is the time of the last one.
	arrived, atNew int
	lastAtNew      time.Duration
}

type systemEntry struct {
	table      *Table
	runningOld int
}

const (
	systemStep     = 20 * time.Millisecond
	systemDuration = 12 * time.Second
	systemPerS     = 400
)

func newSystem(seed uint64, failures float64) *system {
	s := &system{random: rand.New(rand.NewPCG(seed, 11)), failures: failures, due: map[int][]func(time.Duration){}}
	const entries = 20
	s.record = NewRecord(Order{Service: "app", To: "v2", Duration: systemDuration}, 5, Bounds{Share: 0.1, Allowance: 50}, entries, time.Unix(0, 0))
	s.record.Revision = 1
	s.ledger, s.judge = NewLedger(), NewJudge(&s.record)
	s.leaderFrom = -time.Minute
	for i := range entries {
		e := &systemEntry{table: NewTable(fmt.Sprint("e", i))}
		s.entries = append(s.entries, e)
		s.after(0, time.Duration(s.random.Int64N(int64(playPoll))), func(at time.Duration) { s.poll(e, at) })
	}
	return s
}

func (s *system) after(at, wait time.Duration, action func(at time.Duration)) {
	step := int((at + max(wait, systemStep)) / systemStep)
	s.due[step] = append(s.due[step], action)
}

// poll reports to the leader, and receives its record 10 to 60 ms later.
func (s *system) poll(e *systemEntry, at time.Duration) {
	s.after(at, 300*time.Millisecond+time.Duration(s.random.Int64N(int64(100*time.Millisecond))), func(at time.Duration) { s.poll(e, at) })
	if at < s.leaderless {
		return
	}
	s.ledger.Observe(e.table.entry, 1, e.table.Reports(func(string, string) int { return e.runningOld }), time.Unix(0, int64(at)))
	record := s.record
	s.after(at, time.Duration(s.random.Int64N(int64(50*time.Millisecond))), func(received time.Duration) {
		e.table.Apply(Update{Records: []Record{record}, KnownAt: bootclock.Instant(at + 1), StartedAt: time.Unix(-60, 0), Entries: len(s.entries)})
		young := 0
		if received >= playStart {
			young = 40
		}
		e.table.SetReady(func(string, string) (int, int) { return 40, young })
	})
}

// request sends one request of a caller.
func (s *system) request(at time.Duration) {
	e := s.entries[s.random.IntN(len(s.entries))]
	now := time.Unix(0, int64(at))
	if at < systemDuration {
		s.arrived++
	}
	id := e.table.ActiveID("app")
	d := e.table.Split(Attempt{Service: "app", Route: "r", Ticket: e.table.Arrive("app", "r", now)}, now, bootclock.Instant(at))
	took := time.Duration(0.2 * math.Exp(0.7*s.random.NormFloat64()) * float64(time.Second))
	sample := Sample{Service: "app", Route: "r", ID: id, Version: "v1", Ended: true, Time: min(took, playTrial)}
	if d.Side == New {
		s.atNew++
		s.lastAtNew = at
		sample.Version = "v2"
		sample.Failed = s.random.Float64() < s.failures
	} else {
		e.runningOld++
		s.after(at, took, func(time.Duration) { e.runningOld-- })
	}
	if id != 0 {
		s.after(at, playTrial, func(time.Duration) { e.table.Record(&sample) })
	}
}

// step is a look of the leader. A changed record is committed at once.
func (s *system) step(at time.Duration) {
	if at < s.leaderless {
		return
	}
	now := time.Unix(0, int64(at))
	in := Input{Now: now, Sums: s.ledger.Sums(&s.record, now), ReadyOld: 40, LeadingFor: at - s.leaderFrom}
	if at >= playStart {
		in.ReadyNew = 40
	}
	in.Verdict = s.judge.Look(in.Sums.Evidence, now)
	if next, changed := Step(s.record, in); changed {
		next.Revision = s.record.Revision + 1
		s.record = next
	}
}

// loseLeader ends the leader. The next one has neither its ledger nor its judge.
func (s *system) loseLeader(at time.Duration) {
	s.leaderless = at + 1200*time.Millisecond
	s.leaderFrom = s.leaderless
	s.ledger, s.judge = NewLedger(), NewJudge(&s.record)
}

// run plays until two seconds after the deadline. It returns when the roll-out ended, and how
// many attempts ran at old endpoints then.
func (s *system) run(loseAt time.Duration) (endedAt time.Duration, runningOld int) {
	for i := range int((systemDuration + 2*time.Second) / systemStep) {
		at := time.Duration(i) * systemStep
		for _, action := range s.due[i] {
			action(at)
		}
		delete(s.due, i)
		if loseAt > 0 && at >= loseAt {
			s.loseLeader(at)
			loseAt = 0
		}
		for range int(systemPerS*systemStep.Seconds() + s.random.Float64()) {
			s.request(at)
		}
		if at%(5*systemStep) == 0 && endedAt == 0 {
			s.step(at)
			if s.record.Ended() {
				endedAt = at
				for _, e := range s.entries {
					runningOld += e.runningOld
				}
			}
		}
	}
	return endedAt, runningOld
}

// leaderLosses are the times at which a leader is lost; 0 means that none is.
var leaderLosses = []time.Duration{0, 2 * time.Second, 5 * time.Second, 7700 * time.Millisecond, 9 * time.Second, 10300 * time.Millisecond}

// Guards against a good roll-out that does not complete by its deadline, or completes while
// requests run at old endpoints, also if the leader is lost at any phase.
func TestGoodRolloutCompletes(t *testing.T) {
	for seed := range uint64(5) {
		for _, loseAt := range leaderLosses {
			t.Run(fmt.Sprint(seed, loseAt), func(t *testing.T) {
				g := NewWithT(t)
				s := newSystem(seed, 0)
				endedAt, runningOld := s.run(loseAt)
				t.Logf("%s after %v: %s", s.record.Phase, endedAt, s.record.Reason)
				g.Expect(s.record.Phase).To(Equal(Completed))
				g.Expect(endedAt).To(And(BeNumerically(">", 0), BeNumerically("<=", systemDuration)))
				if s.record.Reason == ReasonEmpty {
					g.Expect(runningOld).To(BeZero())
				}
				if loseAt == 0 {
					g.Expect(s.record.Reason).To(Equal(ReasonEmpty))
				}
			})
		}
	}
}

// Guards against a bad roll-out that is not reverted, that gets more requests than its bound,
// or gets requests after entries know that it is reverted, also if the leader is lost.
func TestBadRolloutReverts(t *testing.T) {
	for seed := range uint64(5) {
		for _, loseAt := range []time.Duration{0, 2 * time.Second, 3900 * time.Millisecond} {
			t.Run(fmt.Sprint(seed, loseAt), func(t *testing.T) {
				g := NewWithT(t)
				s := newSystem(seed, 0.4)
				endedAt, _ := s.run(loseAt)
				t.Logf("%s after %v, %d of %d at the new version: %s", s.record.Phase, endedAt, s.atNew, s.arrived, s.record.Reason)
				g.Expect(s.record.Phase).To(Equal(Reverted))
				g.Expect(float64(s.atNew)).To(BeNumerically("<=", 0.1*float64(s.arrived)+50))
				g.Expect(s.lastAtNew).To(BeNumerically("<=", endedAt+600*time.Millisecond))
			})
		}
	}
}
