package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
)

// The model: endpoints with one serial prefill and batched decode in steps of
// 5 ms, entries that see load reports late. It stands for no engine; it only
// has queues that grow where work is sent too fast.
const (
	modelStep   = 5 * time.Millisecond
	modelReport = time.Second
)

type modelJob struct {
	prefill, decode float64
	flight          Flight
	group           int
	arrived, first  time.Duration
}

type modelEndpoint struct {
	candidate *Candidate
	speed     Speed
	running   []*modelJob
	waiting   []*modelJob
	// cache lists the prompt groups whose prefix is held, the newest last.
	cache []int
	seq   uint64
}

type model struct {
	endpoints []*modelEndpoint
	routers   []*Router
	snapshots []*Snapshot
	random    *rand.Rand
	at        time.Duration
	naive     bool
	next      int
	sent      map[string]int
	firsts    []float64
	totals    []float64
	request   Request
	// groups of prompts share a prefix; 0 means that no two prompts do.
	groups     int
	recomputed float64
}

func newModel(seed uint64, entries int, candidates []*Candidate, speeds []Speed, options ...Option) *model {
	m := &model{random: seeded(seed), sent: map[string]int{}, request: *testRequest()}
	for i, c := range candidates {
		m.endpoints = append(m.endpoints, &modelEndpoint{candidate: c, speed: speeds[i]})
	}
	for range entries {
		m.routers = append(m.routers, testRouter(options...))
	}
	m.snapshots = make([]*Snapshot, entries)
	return m
}

func (m *model) now() time.Time { return epoch.Add(m.at) }

// run sends perSecond requests a second for the duration.
func (m *model) run(duration time.Duration, perSecond float64) {
	for end := m.at + duration; m.at < end; m.at += modelStep {
		if m.at%modelReport == 0 {
			m.report()
		}
		for due := perSecond * modelStep.Seconds(); m.random.Float64() < due; due-- {
			m.send()
		}
		for _, e := range m.endpoints {
			m.step(e)
		}
	}
}

// report gives every router the load as it is now, which it sees until the
// next report, and the summaries of the others.
func (m *model) report() {
	var list []*Candidate
	for _, e := range m.endpoints {
		c := *e.candidate
		waiting := 0.0
		for _, j := range append(slices.Clone(e.running), e.waiting...) {
			waiting += j.prefill
		}
		c.Load = endpoint.Load{Running: len(e.running), Waiting: len(e.waiting), WaitingTokens: int(waiting)}
		c.LoadAt = m.now()
		list = append(list, &c)
	}
	summaries := make([][]byte, len(m.routers))
	for i, r := range m.routers {
		summaries[i], _ = r.Summary(m.now())
	}
	for i, r := range m.routers {
		for j, data := range summaries {
			if i != j {
				_ = r.MergeSummary(string(rune('a'+j)), data, m.now())
			}
		}
		m.snapshots[i] = r.Snapshot(list)
	}
}

func (m *model) send() {
	i := m.random.IntN(len(m.routers))
	req := m.request
	group := -1
	if m.groups > 0 {
		group = m.random.IntN(m.groups)
		req.PrefixHashes = groupHashes(group)
	}
	var decision Decision
	if m.naive {
		m.next = (m.next + 1) % len(m.endpoints)
		id := m.endpoints[m.next].candidate.ID
		decision = Decision{Endpoint: m.endpoints[m.next].candidate, state: m.routers[i].lookup(id)}
	} else {
		decision, _ = m.routers[i].Route(&req, m.snapshots[i], m.now(), m.random)
	}
	m.sent[decision.Endpoint.ID]++
	job := &modelJob{prefill: float64(req.PromptTokens), decode: float64(req.OutputTokens), group: group, arrived: m.at}
	job.flight = decision.Start(m.now())
	for _, e := range m.endpoints {
		if e.candidate.ID == decision.Endpoint.ID {
			e.waiting = append(e.waiting, job)
		}
	}
}

func (m *model) step(e *modelEndpoint) {
	for len(e.waiting) > 0 && len(e.running) < e.candidate.Slots {
		e.admit(m, e.waiting[0])
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	prefill := modelStep.Seconds() / e.speed.PrefillS
	tokens := modelStep.Seconds() / e.speed.Between(len(e.running))
	kept := e.running[:0]
	for _, j := range e.running {
		if j.prefill > 0 {
			used := min(prefill, j.prefill)
			prefill -= used
			if j.prefill -= used; j.prefill <= 0 {
				j.first = m.at
				j.flight.Tokens(1, m.now())
			}
			kept = append(kept, j)
			continue
		}
		before := int(j.decode)
		if j.decode -= tokens; j.decode > 0 {
			if n := before - int(j.decode); n > 0 {
				j.flight.Tokens(n, m.now())
			}
			kept = append(kept, j)
			continue
		}
		j.flight.Done(m.now())
		m.firsts = append(m.firsts, (j.first - j.arrived).Seconds())
		m.totals = append(m.totals, (m.at - j.arrived).Seconds())
	}
	e.running = kept
}

// Each group shares modelPrefix blocks, and an endpoint holds modelCache groups.
const (
	modelPrefix = 40
	modelCache  = 10
)

func groupHashes(group int) []uint64 {
	hashes := make([]uint64, modelPrefix)
	for i := range hashes {
		hashes[i] = uint64(group*modelPrefix + i)
	}
	return hashes
}

// admit takes the prefix from the cache, or puts it there and tells the routers.
func (e *modelEndpoint) admit(m *model, j *modelJob) {
	if j.group < 0 {
		return
	}
	if i := slices.Index(e.cache, j.group); i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), j.group)
		j.prefill -= modelPrefix * tokensPerBlock
		return
	}
	m.recomputed += modelPrefix * tokensPerBlock
	events := &endpoint.CacheEvents{ID: e.candidate.ID}
	note := func(kind endpoint.CacheEventKind, group int) {
		for _, h := range groupHashes(group) {
			e.seq++
			events.Events = append(events.Events, endpoint.CacheEvent{Seq: e.seq, Kind: kind, Block: h})
		}
	}
	note(endpoint.CacheAdd, j.group)
	e.cache = append(e.cache, j.group)
	if len(e.cache) > modelCache {
		note(endpoint.CacheRemove, e.cache[0])
		e.cache = e.cache[1:]
	}
	for _, r := range m.routers {
		r.CacheEvents(events)
	}
}

// left counts the jobs that have not ended.
func (m *model) left() int {
	n := 0
	for _, e := range m.endpoints {
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
