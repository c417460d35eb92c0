package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/demand"
	"github.com/boragelead/boragelead/internal/gateway/rules"
)

const second = time.Second

var tolerance = Tolerance{Window: 8 * second, Overshoot: 0.1, Tokens: 140_000}

// simulation simulates entries that share one common part and lease their shares from its
// leader. Demand reports are delayed.
type simulation struct {
	common    *Common
	leases    *Leases
	limiters  []*Limiter
	workspace rules.Workspace
	now       time.Time
	granted   []grant
	// reported holds the demand that each entry reported last, and reportedAt when.
	reported   []map[string]float64
	reportedAt []time.Time
	// A new leader grants no leases before noLeasesUntil. answerLost loses the answers of polls.
	noLeasesUntil time.Time
	answerLost    bool
}

type grant struct {
	grantedAt time.Time
	cost      float64
}

func newSimulation(entries int, workspace rules.Workspace) *simulation {
	s := &simulation{common: NewCommon(tolerance, time.Unix(0, 0)), leases: NewLeases(), workspace: workspace, now: time.Unix(0, 0)}
	s.limiters, s.reported, s.reportedAt = make([]*Limiter, entries), make([]map[string]float64, entries), make([]time.Time, entries)
	for entry := range entries {
		s.restart(entry)
	}
	return s
}

func (s *simulation) clock() bootclock.Instant { return bootclock.Instant(s.now.UnixNano()) }

// reportDemand polls the leader from all entries at once.
func (s *simulation) reportDemand() {
	for i, limiter := range s.limiters {
		s.reported[i], s.reportedAt[i] = limiter.Demand(s.now), s.now
	}
	for i := range s.limiters {
		s.renewLease(i)
	}
}

// poll polls the leader from one entry.
func (s *simulation) poll(entry int) {
	s.reported[entry], s.reportedAt[entry] = s.limiters[entry].Demand(s.now), s.now
	s.renewLease(entry)
}

// restart replaces an entry by a new process.
func (s *simulation) restart(entry int) {
	s.limiters[entry] = New(tolerance, s.clock, s.now)
	s.limiters[entry].Configure([]rules.Workspace{s.workspace}, s.now)
	s.limiters[entry].SetTotal(demand.Total{Entries: len(s.limiters)})
}

func (s *simulation) renewLease(entry int) {
	if s.now.Before(s.noLeasesUntil) {
		return
	}
	limiter := s.limiters[entry]
	lastID, _ := limiter.LeaseState()
	lease := s.leases.Grant(&LeaseRequest{
		Entry: fmt.Sprint(entry), LastID: lastID, Demand: s.reported[entry], Total: s.total(),
		Workspaces: []string{s.workspace.Name},
	}, s.now)
	if !s.answerLost {
		limiter.SetLease(lease, s.clock(), s.now)
	}
}

func (s *simulation) total() demand.Total {
	total := demand.Total{PerS: map[string]float64{}}
	for entry, reported := range s.reported {
		if s.now.Sub(s.reportedAt[entry]) > 5*second {
			continue
		}
		total.Entries++
		for name, n := range reported {
			total.PerS[name] += n
		}
	}
	return total
}

func (s *simulation) request(entry int, cost float64, reachable bool) {
	decision := s.limiters[entry].Take(s.workspace.Name, cost, s.now)
	switch {
	case decision.AskCommon && reachable:
		spending := s.common.Take(&s.workspace, cost, decision.Offered, s.now)
		s.limiters[entry].Settle(s.workspace.Name, decision.Offered, spending.Taken)
		decision.Granted = spending.Granted
		if !spending.Granted {
			s.limiters[entry].RecordDenial(s.workspace.Name, cost, s.now.Add(spending.Wait))
		}
	case decision.AskCommon:
		s.limiters[entry].Fail(s.workspace.Name, s.now.Add(second/2))
	}
	if decision.Granted {
		s.granted = append(s.granted, grant{s.now, cost})
	}
}

// maxGranted returns the most that was granted within any window.
func (s *simulation) maxGranted() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, g := range s.granted {
		sum += g.cost
		for g.grantedAt.Sub(s.granted[first].grantedAt) >= tolerance.Window {
			sum -= s.granted[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

// allowed returns what may be granted within a window.
func (s *simulation) allowed() float64 {
	return (s.workspace.RatePerS*8+s.workspace.Burst)*(1+tolerance.Overshoot) + tolerance.Tokens
}

// designed returns what both parts of a limit add up to within a window.
func (s *simulation) designed() float64 {
	limit := s.workspace.RatePerS*tolerance.Window.Seconds() + s.workspace.Burst
	return limit*(1+(steadyOvershootShare+commonOvershootShare)*tolerance.Overshoot) + (commonTokenShare+dividedTokenShare+startTokenShare)*tolerance.Tokens
}

// sumOfShares returns what the entries with a lease, and all entries, may use.
func (s *simulation) sumOfShares() (leased, all float64) {
	for _, limiter := range s.limiters {
		share := limiter.share(s.workspace.Name)
		all += share
		if limiter.lease != nil && s.clock().Sub(limiter.leasedAt) <= evenTTL {
			leased += share
		}
	}
	return leased, all
}

// changeLeader replaces the leader; the next one grants leases after the handover.
func (s *simulation) changeLeader() {
	seen := make(map[string]Seen)
	for entry, reportedAt := range s.reportedAt {
		_, even := s.limiters[entry].LeaseState()
		seen[fmt.Sprint(entry)] = Seen{PolledAt: reportedAt, Even: even}
	}
	s.leases.Reset(seen, s.now)
	s.noLeasesUntil = s.now.Add(LeaseTTL)
}

// unequalCost returns costs of 200 to 50,000 tokens, mostly small ones.
func unequalCost(random *rand.Rand) float64 {
	return min(max(1500*math.Exp(1.3*random.NormFloat64()), 200), 50_000)
}
