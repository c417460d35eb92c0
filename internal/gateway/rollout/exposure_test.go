package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/boragelead/boragelead/internal/bootclock"
)

// simEntry is a simulated entry: its table, and when it next polls.
type simEntry struct {
	table     *Table
	startedAt time.Time
	pollAt    time.Duration
	// cutUntil is when it reaches the replicas again.
	cutUntil time.Duration
	// heardAt is when it last polled.
	heardAt time.Duration
}

// fleet simulates the entries of a roll-out whose new version is never found bad, but reverted
// at a time.
type fleet struct {
	random  *rand.Rand
	entries []*simEntry
	record  Record
	perS    float64
	// skew is the greatest error of the clock of an entry.
	skew time.Duration
	// bad is the part of the attempts at the new version that break off and go on there.
	bad float64
}

const (
	simStep  = 10 * time.Millisecond
	simOrder = 5 * time.Second
	simReady = 3 * time.Second
	simRoute = "r"
)

func newFleet(seed uint64, entries int, perS float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 3)), perS: perS, skew: 100 * time.Millisecond, bad: 0.3}
	order := Order{Service: "app", To: "v2", Duration: 12 * time.Second}
	// The leader and the entries know too few of the entries.
	f.record = NewRecord(order, 77, Bounds{Share: 0.1, Allowance: 50}, max(entries*3/4, 1), time.Unix(0, 0).Add(simOrder))
	f.record.Revision = 1
	if seed != 1 {
		perEntry := make(map[string]float64)
		for i := range entries {
			perEntry[fmt.Sprint("e", i)] = perS
		}
		f.record.Starters = ChooseStarters(perEntry, f.record.Bounds)
	}
	for i := range entries {
		f.entries = append(f.entries, &simEntry{table: NewTable(fmt.Sprint("e", i)), startedAt: time.Unix(0, 0), pollAt: f.until(400 * time.Millisecond)})
	}
	return f
}

func (f *fleet) until(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// restart replaces the process of an entry. It loses all that it knew.
func (f *fleet) restart(i int, at time.Duration) {
	f.entries[i] = &simEntry{table: NewTable(fmt.Sprint("e", i)), startedAt: time.Unix(0, int64(at)), pollAt: at + f.until(400*time.Millisecond)}
}

// poll gives an entry the record, as a replica that is up to 300 ms behind knows it.
func (f *fleet) poll(e *simEntry, at time.Duration) {
	age := f.until(300 * time.Millisecond)
	e.pollAt = at + 300*time.Millisecond + f.until(200*time.Millisecond)
	if at-age < simOrder {
		return
	}
	e.heardAt = at
	e.table.Apply(Update{Records: []Record{f.record}, KnownAt: bootclock.Instant(at - age), StartedAt: e.startedAt.Add(f.until(f.skew)), Entries: len(f.entries) / 2})
	e.table.SetReady(func(string, string) (int, int) {
		if at < simOrder+simReady {
			return 40, 0
		}
		return 40, 40
	})
}

// run plays until after the deadline, and returns the requests that reached the service
// between the order and the deadline, those that the new version got, and those of them that
// were sent by an entry without word from a replica.
func (f *fleet) run(g *WithT, restarts, cuts float64) (arrived, exposed, unheard int) {
	to := "v2"
	for at := time.Duration(0); at < simOrder+14*time.Second; at += simStep {
		now := time.Unix(0, int64(at))
		for i, e := range f.entries {
			if f.random.Float64() < restarts*simStep.Seconds() {
				f.restart(i, at)
			}
			if f.random.Float64() < cuts*simStep.Seconds() {
				e.cutUntil = at + f.until(6*time.Second)
			}
			if e = f.entries[i]; at >= e.pollAt && at >= e.cutUntil {
				f.poll(e, at)
			}
		}
		for range int(f.perS*simStep.Seconds() + f.random.Float64()) {
			e := f.entries[f.random.IntN(len(f.entries))]
			if at >= simOrder && now.Before(f.record.Deadline()) {
				arrived++
			}
			ticket := e.table.Arrive("app", simRoute, now)
			ask := Attempt{Service: "app", Route: simRoute, Ticket: ticket}
			for range 2 {
				d := e.table.Split(ask, now, bootclock.Instant(at))
				if d.Side == Any && at >= simOrder+2*time.Second && at-e.heardAt < time.Second && e.heardAt > 0 {
					g.Expect(d.Side).NotTo(Equal(Any))
				}
				if d.Side != New {
					break
				}
				if f.random.Float64() < 0.1 {
					// No endpoint is free.
					e.table.Return(d.Exposure)
					break
				}
				exposed++
				if at-e.heardAt > maxSilence {
					unheard++
				}
				if f.random.Float64() > f.bad {
					break
				}
				ask.Bound, ask.Attempts = &to, ask.Attempts+1
			}
		}
	}
	return arrived, exposed, unheard
}

// Guards against a bad version that gets more requests than a tenth of those of its service
// and 50, over all entries, whatever their number, with views of differing age, restarts and
// cuts from the replicas; and against an exposure that leaves most of it unused.
func TestExposureBound(t *testing.T) {
	for _, entries := range []int{1, 9, 94, 370} {
		for _, perS := range []float64{20, 170, 700, 3700} {
			for seed := range uint64(3) {
				g := NewWithT(t)
				f := newFleet(seed, entries, perS)
				disturbance := float64(seed) * 0.1
				arrived, exposed, unheard := f.run(g, disturbance, disturbance)
				bound := 0.1*float64(arrived) + 50
				t.Logf("%d entries, %.0f requests/s, %.1f restarts and cuts per entry and s: %d of %d exposed, bound %.0f", entries, perS, disturbance, exposed, arrived, bound)
				g.Expect(float64(exposed)).To(BeNumerically("<=", bound))
				g.Expect(unheard).To(BeZero())
				if seed == 0 && perS >= 170 {
					// At 170 requests/s and 370 entries, only the allowance makes an exposure.
					g.Expect(exposed).To(BeNumerically(">=", 4))
				}
				if perS/float64(entries) >= 5 && seed == 0 {
					g.Expect(float64(exposed)).To(BeNumerically(">=", 0.07*float64(arrived)))
				}
			}
		}
	}
}

// Guards against a restarted entry that uses its part of the allowance again.
func TestRestartedEntryHasNoAllowance(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 10)
	for range 100 {
		f.restart(0, simOrder)
		e := f.entries[0]
		f.poll(e, simOrder+simReady+time.Second)
		for range 5 {
			ticket := e.table.Arrive("app", simRoute, f.record.OrderedAt())
			d := e.table.Split(Attempt{Service: "app", Route: simRoute, Ticket: ticket}, f.record.OrderedAt(), bootclock.Instant(simOrder+simReady+time.Second))
			g.Expect(d.Side).To(Equal(Old))
		}
	}
}

// Guards against exposed requests that come from one route only.
func TestExposureIsSpreadOverRoutes(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(1, 1, 10)
	e := f.entries[0]
	f.poll(e, simOrder+simReady+time.Second)
	at := f.record.OrderedAt().Add(4 * time.Second)
	exposed := map[string]int{}
	for i := range 10000 {
		route := "often"
		if i%10 == 3 {
			route = "seldom"
		}
		d := e.table.Split(Attempt{Service: "app", Route: route, Ticket: e.table.Arrive("app", route, at)}, at, bootclock.Instant(at.UnixNano()))
		if d.Side == New {
			exposed[route]++
		}
	}
	g.Expect(exposed["seldom"]).To(BeNumerically("~", 100, 10))
	g.Expect(exposed["often"]).To(BeNumerically("~", 900, 40))
}
