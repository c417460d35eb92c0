package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// The simulation has endpoints with serial prefill and batched decode, advanced
// in steps of 5 ms, and entries that receive load reports once a second. It does
// not represent a specific model engine: its queues grow if work arrives faster
// than an endpoint processes it.
const (
	simStep           = 5 * time.Millisecond
	simReportInterval = time.Second
)

type simJob struct {
	prefill, decode float64
	flight          Flight
	group           int
	arrived, first  time.Duration
}

type simEndpoint struct {
	candidate *Candidate
	speed     Speed
	running   []*simJob
	waiting   []*simJob
	// cache lists the prompt groups whose prefix is cached, the most recently
	// used last.
	cache []int
	seq   uint64
}

type simulation struct {
	endpoints    []*simEndpoint
	routers      []*Router
	snapshots    []*Snapshot
	random       *rand.Rand
	elapsed      time.Duration
	roundRobin   bool
	nextEndpoint int
	sent         map[string]int
	firsts       []float64
	totals       []float64
	request      Request
	// groups is the number of groups of prompts that share a prefix, 0 for none.
	groups     int
	recomputed float64
}

func newSimulation(seed uint64, entries int, candidates []*Candidate, speeds []Speed, options ...Option) *simulation {
	s := &simulation{random: seeded(seed), sent: map[string]int{}, request: *testRequest()}
	for i, c := range candidates {
		s.endpoints = append(s.endpoints, &simEndpoint{candidate: c, speed: speeds[i]})
	}
	for range entries {
		s.routers = append(s.routers, testRouter(options...))
	}
	s.snapshots = make([]*Snapshot, entries)
	return s
}

func (s *simulation) now() time.Time { return epoch.Add(s.elapsed) }

// run sends perSecond requests a second for the given duration.
func (s *simulation) run(duration time.Duration, perSecond float64) {
	for end := s.elapsed + duration; s.elapsed < end; s.elapsed += simStep {
		if s.elapsed%simReportInterval == 0 {
			s.report()
		}
		for due := perSecond * simStep.Seconds(); s.random.Float64() < due; due-- {
			s.send()
		}
		for _, e := range s.endpoints {
			s.advance(e)
		}
	}
}

// report gives every router the current load, which it uses until the next
// report, and the summaries of the other routers.
func (s *simulation) report() {
	var list []*Candidate
	for _, e := range s.endpoints {
		c := *e.candidate
		waiting := 0.0
		for _, j := range append(slices.Clone(e.running), e.waiting...) {
			waiting += j.prefill
		}
		c.Load = endpoint.Load{Running: len(e.running), Waiting: len(e.waiting), WaitingTokens: int(waiting)}
		c.LoadAt = s.now()
		list = append(list, &c)
	}
	summaries := make([][]byte, len(s.routers))
	for i, r := range s.routers {
		summaries[i], _ = r.Summary(s.now())
	}
	for i, r := range s.routers {
		for j, data := range summaries {
			if i != j {
				_ = r.MergeSummary(string(rune('a'+j)), data, s.now())
			}
		}
		s.snapshots[i] = r.Snapshot(list)
	}
}

func (s *simulation) send() {
	i := s.random.IntN(len(s.routers))
	req := s.request
	group := -1
	if s.groups > 0 {
		group = s.random.IntN(s.groups)
		req.PrefixHashes = groupHashes(group)
	}
	var decision Decision
	if s.roundRobin {
		s.nextEndpoint = (s.nextEndpoint + 1) % len(s.endpoints)
		id := s.endpoints[s.nextEndpoint].candidate.ID
		decision = Decision{Endpoint: s.endpoints[s.nextEndpoint].candidate, state: s.routers[i].lookup(id)}
	} else {
		decision, _ = s.routers[i].Route(&req, s.snapshots[i], s.now(), s.random)
	}
	s.sent[decision.Endpoint.ID]++
	job := &simJob{prefill: float64(req.PromptTokens), decode: float64(req.OutputTokens), group: group, arrived: s.elapsed}
	job.flight = decision.Start(s.now())
	for _, e := range s.endpoints {
		if e.candidate.ID == decision.Endpoint.ID {
			e.waiting = append(e.waiting, job)
		}
	}
}

func (s *simulation) advance(e *simEndpoint) {
	for len(e.waiting) > 0 && len(e.running) < e.candidate.Slots {
		e.admit(s, e.waiting[0])
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	prefill := simStep.Seconds() / e.speed.PrefillS
	tokens := simStep.Seconds() / e.speed.TokenInterval(len(e.running))
	remaining := e.running[:0]
	for _, j := range e.running {
		if j.prefill > 0 {
			used := min(prefill, j.prefill)
			prefill -= used
			if j.prefill -= used; j.prefill <= 0 {
				j.first = s.elapsed
				j.flight.Tokens(1, s.now())
			}
			remaining = append(remaining, j)
			continue
		}
		before := int(j.decode)
		if j.decode -= tokens; j.decode > 0 {
			if n := before - int(j.decode); n > 0 {
				j.flight.Tokens(n, s.now())
			}
			remaining = append(remaining, j)
			continue
		}
		j.flight.Done(s.now())
		s.firsts = append(s.firsts, (j.first - j.arrived).Seconds())
		s.totals = append(s.totals, (s.elapsed - j.arrived).Seconds())
	}
	e.running = remaining
}

// The prompts of a group share groupPrefixBlocks blocks. An endpoint caches up to
// maxCachedGroups groups.
const (
	groupPrefixBlocks = 40
	maxCachedGroups   = 10
)

func groupHashes(group int) []uint64 {
	hashes := make([]uint64, groupPrefixBlocks)
	for i := range hashes {
		hashes[i] = uint64(group*groupPrefixBlocks + i)
	}
	return hashes
}

// admit uses the prefix from the cache, or adds it to the cache and sends cache
// events to the routers.
func (e *simEndpoint) admit(s *simulation, j *simJob) {
	if j.group < 0 {
		return
	}
	if i := slices.Index(e.cache, j.group); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), j.group)
		j.prefill -= groupPrefixBlocks * tokensPerBlock
		return
	}
	s.recomputed += groupPrefixBlocks * tokensPerBlock
	events := &endpoint.CacheEvents{ID: e.candidate.ID}
	addEvents := func(kind endpoint.CacheEventKind, group int) {
		for _, h := range groupHashes(group) {
			e.seq++
			events.Events = append(events.Events, endpoint.CacheEvent{Seq: e.seq, Kind: kind, Block: h})
		}
	}
	addEvents(endpoint.CacheAdd, j.group)
	e.cache = append(e.cache, j.group)
	if len(e.cache) > maxCachedGroups {
		addEvents(endpoint.CacheRemove, e.cache[0])
		e.cache = e.cache[1:]
	}
	for _, r := range s.routers {
		r.CacheEvents(events)
	}
}

// unfinished returns the number of jobs that have not ended.
func (s *simulation) unfinished() int {
	n := 0
	for _, e := range s.endpoints {
		n += len(e.running) + len(e.waiting)
	}
	return n
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

func average(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}
