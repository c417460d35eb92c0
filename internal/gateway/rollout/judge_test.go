package rollout

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fault is how a simulated version is worse than the old one.
type fault struct {
	name string
	// failures is the part of its answers that fail, and slowed the part that take factor
	// times as long.
	failures, slowed, factor float64
	// from is when the fault begins after the first exposed request.
	from time.Duration
	// route has the fault; -1 means all. underLoad limits the fault to endpoints with more
	// than half their usual load.
	route     int
	underLoad bool
}

// play is a simulated roll-out: entries that answer polls late, endpoints of uneven speed.
type play struct {
	seed     uint64
	random   *rand.Rand
	fault    fault
	perS     []float64
	speeds   []float64
	entries  int
	duration time.Duration
	// ordinary is the part of the answers of both versions that fail.
	ordinary float64
}

// result is how a play ended.
type result struct {
	// foundAt is when the new version was found bad; 0 if it was not.
	foundAt time.Duration
	// inShift is set if it was found after the shift had begun.
	inShift bool
	// late is set if entries may have sent it requests after the allowed time since its 50th
	// bad answer.
	late bool
	// exposed is the number of requests that it got until then.
	exposed int
	reason  string
}

// event is an answer that becomes evidence when its entry polls.
type event struct {
	at, knownAt time.Duration
	route       int
	new         bool
	// faulty is set if the fault of the version made the answer bad.
	failed, faulty bool
	took           time.Duration
}

const (
	playStart = 3 * time.Second
	playLook  = 100 * time.Millisecond
	playPoll  = 400 * time.Millisecond
	// playRollback is the allowed time after the 50th bad answer. Of it, an entry that the
	// record does not reach goes on for maxSilence.
	playRollback = 5 * time.Second
	playCommit   = 300 * time.Millisecond
	// playTrial is the time after which an attempt is counted as evidence.
	playTrial = 700 * time.Millisecond
)

// run plays a roll-out until it would complete. Steps decide when the shift begins, which
// changes the requests that follow: a shift that waits is played again from the start, with the
// same draws until then.
func (p *play) run() result {
	record := NewRecord(Order{Service: "app", To: "v2", Duration: p.duration}, 1, Bounds{Share: 0.1, Allowance: 50}, p.entries, time.Unix(0, 0))
	shift := record.ShiftAt().Sub(record.OrderedAt())
	for {
		again := *p
		again.random = rand.New(rand.NewPCG(p.seed, 8))
		r, suspect := again.runWith(&record, shift)
		if !suspect || shift >= record.latestShift().Sub(record.OrderedAt()) {
			return r
		}
		shift += playLook
	}
}

// runWith plays a roll-out whose shift begins at a time, and reports whether the version was
// suspect then.
func (p *play) runWith(record *Record, shift time.Duration) (r result, suspect bool) {
	end := shift + time.Duration(fallbackShare*float64(p.duration-shift)) + confirmTTL
	judge := NewJudge(record)
	events := p.events(shift, end)
	evidence := Evidence{}
	next := 0
	for look := playStart; look <= end && r.foundAt == 0; look += playLook {
		for ; next < len(events) && events[next].knownAt <= look; next++ {
			events[next].addTo(evidence)
		}
		verdict := judge.Look(evidence, record.OrderedAt().Add(look))
		if look <= shift {
			suspect = verdict.Suspect
		}
		if verdict.Bad {
			r.foundAt, r.inShift, r.reason = look, look > shift, verdict.Reason
		}
	}
	p.judge(&r, events, end)
	return r, suspect && (r.foundAt == 0 || r.inShift)
}

// judge counts the exposed requests and finds the 50th bad answer.
func (p *play) judge(r *result, events []event, end time.Duration) {
	stopped := r.foundAt
	if stopped == 0 {
		stopped = end
	}
	var bad []time.Duration
	for i := range events {
		if e := &events[i]; e.new && e.at <= stopped {
			r.exposed++
			if e.faulty {
				bad = append(bad, e.at+e.took)
			}
		}
	}
	slices.Sort(bad)
	r.late = len(bad) >= 50 && stopped+playCommit+maxSilence > bad[49]+playRollback
}

// arrivals returns the requests of all routes in the order of their arrival.
func (p *play) arrivals(end time.Duration) []event {
	var events []event
	for route, perS := range p.perS {
		for at := time.Duration(0); at < end; at += time.Duration(p.random.ExpFloat64() / perS * float64(time.Second)) {
			events = append(events, event{at: at, route: route})
		}
	}
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return events
}

// events returns the answers of all entries, in the order in which they become known.
func (p *play) events(shift, end time.Duration) []event {
	arrivals := p.arrivals(p.duration)
	events := make([]event, 0, len(arrivals))
	credit, used := initialShare*50.0, 0.0
	// Each endpoint is slowed by 2.5 for 15 in 100 of the time, in intervals of 0.6 s.
	slowed := make(map[[2]int]bool)
	isSlowed := func(endpoint int, at time.Duration) bool {
		key := [2]int{endpoint, int(at / (600 * time.Millisecond))}
		value, known := slowed[key]
		if !known {
			value = p.random.Float64() < 0.15
			slowed[key] = value
		}
		return value
	}
	phases := make([]time.Duration, p.entries)
	for i := range phases {
		phases[i] = time.Duration(p.random.Int64N(int64(playPoll)))
	}
	for n, e := range arrivals {
		if e.at < playStart || e.at >= end {
			continue
		}
		earned := 0.1 * float64(n)
		// Each entry has a part of the credit for one request left.
		left := float64(p.entries) * min(0.5, earned/float64(p.entries))
		endpoint := p.random.IntN(len(p.speeds))
		switch {
		case e.at >= shift:
			e.new = p.random.Float64() < float64(e.at-shift)/float64(maxRamp)
			endpoint += len(p.speeds)
		case credit+earned-left-used >= 1 && p.random.Float64() < paceFactor*0.1:
			used++
			e.new = true
			// Exposed requests go to few endpoints in turns.
			endpoint = (int(e.at/focusTime)*3+p.random.IntN(3))%len(p.speeds) + len(p.speeds)
		}
		took := 0.08 * float64(1+e.route) * math.Exp(0.6*p.random.NormFloat64()) / p.speeds[endpoint%len(p.speeds)]
		if isSlowed(endpoint, e.at) {
			took *= 2.5
		}
		e.failed = p.random.Float64() < p.ordinary
		f := &p.fault
		if e.new && e.at >= playStart+f.from && (f.route < 0 || f.route == e.route) && (!f.underLoad || p.random.Float64() < 0.8) {
			if p.random.Float64() < f.failures {
				e.failed, e.faulty = true, true
			}
			if p.random.Float64() < f.slowed {
				e.faulty = true
				took *= f.factor
			}
		}
		e.took = time.Duration(took * float64(time.Second))
		e.knownAt = p.knownAt(e.at+playTrial, phases[p.random.IntN(p.entries)])
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.knownAt, b.knownAt) })
	return events
}

// knownAt returns when the leader knows of an answer: with the next poll of its entry, of which
// some are late.
func (p *play) knownAt(done, phase time.Duration) time.Duration {
	at := (done-phase+playPoll)/playPoll*playPoll + phase + time.Duration(p.random.Int64N(int64(50*time.Millisecond)))
	if p.random.Float64() < 0.02 {
		at += time.Second
	}
	return at
}

func (e *event) addTo(evidence Evidence) {
	route := fmt.Sprint("r", e.route)
	counts := evidence[route]
	side := &counts.Old
	if e.new {
		side = &counts.New
	}
	side.Answers++
	if e.failed {
		side.Failures++
	} else {
		side.Times[bucketOf(min(e.took, playTrial))]++
	}
	evidence[route] = counts
}

// The services of the plays: model routes and plain ones, in requests/s.
var modelPerS, plainPerS = []float64{144, 148, 253}, []float64{123, 49}

func newPlay(seed uint64, f fault) *play {
	random := rand.New(rand.NewPCG(seed, 7))
	p := &play{seed: seed, random: random, fault: f, duration: 12 * time.Second, ordinary: []float64{0, 0.01, 0.05}[seed/6%3]}
	p.entries = []int{1, 9, 94, 94, 370, 26}[seed%6]
	p.perS = [][]float64{modelPerS, plainPerS, modelPerS, plainPerS, modelPerS, plainPerS}[seed%6]
	for range []int{90, 6}[seed%2] {
		p.speeds = append(p.speeds, 0.6+random.Float64())
	}
	return p
}

// Guards against a judgement that reverts good versions: at most 1 in 100 may be found bad at
// any look, also with uneven endpoints and evidence of differing age.
func TestFalseAlarms(t *testing.T) {
	g := NewWithT(t)
	const plays = 1800
	alarms := 0
	for seed := range uint64(plays) {
		if r := newPlay(seed, fault{route: -1}).run(); r.foundAt > 0 {
			alarms++
			t.Logf("seed %d: %s", seed, r.reason)
		}
	}
	t.Logf("%d false alarms in %d plays", alarms, plays)
	g.Expect(alarms).To(BeNumerically("<=", plays/100))
}

// Guards against a judgement that misses bad versions, or finds them late. The part of the
// plays in which a fault is not found before the shift, and not at all, is as the design note
// states.
func TestBadVersionsAreFound(t *testing.T) {
	const plays = 120
	type limits struct{ inShift, missed, late int }
	for f, limit := range map[fault]limits{
		{name: "fails from the start", failures: 0.3, route: -1}:                     {6, 0, 0},
		{name: "fails seldom", failures: 0.15, route: -1}:                            {12, 12, 0},
		{name: "fails later", failures: 0.5, from: 2 * time.Second, route: -1}:       {6, 0, 0},
		{name: "fails under load", failures: 0.4, underLoad: true, route: -1}:        {6, 0, 0},
		{name: "fails on one route", failures: 0.5, route: 0}:                        {6, 0, 0},
		{name: "slow", slowed: 1, factor: 4, route: -1}:                              {6, 0, 0},
		{name: "partly slow", slowed: 0.5, factor: 6, route: -1}:                     {48, 6, 30},
		{name: "slow later", slowed: 1, factor: 5, from: 2 * time.Second, route: -1}: {18, 0, 0},
		{name: "slow on one route", slowed: 1, factor: 6, route: 0}:                  {6, 0, 0},
	} {
		t.Run(f.name, func(t *testing.T) {
			g := NewWithT(t)
			var found limits
			var times []time.Duration
			var exposed []int
			for seed := range uint64(plays) {
				r := newPlay(seed, f).run()
				exposed = append(exposed, r.exposed)
				if r.late {
					found.late++
				}
				if r.foundAt == 0 {
					found.missed++
					continue
				}
				if r.inShift {
					found.inShift++
				}
				times = append(times, r.foundAt-playStart-f.from)
			}
			slices.Sort(times)
			slices.Sort(exposed)
			t.Logf("of %d: %d found in the shift only, %d missed, %d late; found after %v (median), %v (most); %d exposed (median), %d (most)", plays,
				found.inShift, found.missed, found.late, times[len(times)/2], times[len(times)-1], exposed[len(exposed)/2], exposed[len(exposed)-1])
			g.Expect(found.inShift).To(BeNumerically("<=", limit.inShift))
			g.Expect(found.missed).To(BeNumerically("<=", limit.missed))
			g.Expect(found.late).To(BeNumerically("<=", limit.late))
		})
	}
}
