package waiting

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// The simulation plays callers, entries and the endpoints of one plain service. An entry either
// polls the endpoints for each request, as before there was a queue, or uses Queue and Gate.

// simSite describes a service and its load.
type simSite struct {
	entries, endpoints, slots, places int
	// perS is the load of all entries; burst multiplies it between burstFrom and burstTo.
	perS, burst        float64
	burstFrom, burstTo time.Duration
	end                time.Duration
	work               time.Duration
	target, deadline   time.Duration
	// ranks is the share of each rank.
	ranks []float64
	// flood multiplies the load of workspace 0 during the burst; 0 means no flood.
	flood float64
	// sumsEvery is the time between two polls, and sumsAge how old the sums in them are.
	// Without sumsEvery there are no sums.
	sumsEvery, sumsAge time.Duration
	// polling plays entries without a queue.
	polling bool
	// moves lets half of the callers of the first quarter of the entries go to the second quarter
	// during the burst.
	moves bool
	// workspaces is the number of workspaces, of which the first is the largest.
	workspaces int
}

// simResult is what callers got of the requests that arrived during the burst and 2 s after it.
type simResult struct {
	offered, onTime, served, sends, rejections int
	byRank                                     [maxRank + 1][3]int // offered, on time, served
	byWorkspace                                map[int]*[2]int     // offered, on time
	byQuarter                                  [4][2]int           // offered, on time, by the quarter of the first entry
	// idle is the slot time that was free while requests waited at entries, in seconds.
	idle, credit float64
	// estimated and waited are the sums of the estimated and the true waits of the requests
	// that waited, in seconds.
	estimated, waited float64
	// refused counts the requests that were refused at once, and expired those that had waited.
	refused, expired int
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simRequest struct {
	rank, workspace int
	born            time.Duration
	// quarter is that of the entry which the caller came to first, -1 before that.
	quarter  int
	attempts int
	tried    []int
	// estimate is the expected wait.
	estimate time.Duration
	// work is the time that it takes at an endpoint.
	work    time.Duration
	counted bool
}

type simEndpoint struct {
	running int
	queue   []func()
}

type simEntry struct {
	id       int
	queue    *Queue
	gate     Gate
	inFlight int
	perEnd   []int
	paused   []time.Duration
	ticking  bool
}

type sim struct {
	simSite
	// arrivals draws what callers do, so that all entries are compared with the same load, and
	// random everything else.
	arrivals, random *rand.Rand
	events           simEvents
	now              time.Duration
	seq              int
	endpoints        []*simEndpoint
	entries          []*simEntry
	result           simResult
	waiting          int
	history          []simSums
}

type simSums struct {
	at      time.Duration
	running []int
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *sim) clock() time.Time { return simStart.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func playSim(site simSite, seed uint64) *simResult {
	s := &sim{simSite: site, arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2))}
	s.result.byWorkspace = map[int]*[2]int{}
	for range site.endpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{})
	}
	for i := range site.entries {
		e := &simEntry{id: i, queue: NewQueue(Limits{Requests: 512, Bytes: 1 << 30}), perEnd: make([]int, site.endpoints), paused: make([]time.Duration, site.endpoints)}
		s.entries = append(s.entries, e)
		if site.sumsEvery > 0 {
			s.after(time.Duration(s.random.Float64()*float64(site.sumsEvery)), func() { s.poll(e) })
		}
	}
	if site.sumsEvery > 0 {
		s.after(0, s.sample)
	}
	s.after(0, func() { s.arrive(false) })
	if site.flood > 0 {
		s.after(site.burstFrom, func() { s.arrive(true) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.countIdle(e.at)
		s.now = e.at
		e.do()
	}
	return &s.result
}

func (s *sim) countIdle(until time.Duration) {
	if s.waiting == 0 {
		return
	}
	free := 0
	for _, e := range s.endpoints {
		free += s.slots - e.running
	}
	s.result.idle += float64(min(free, s.waiting)) * (until - s.now).Seconds()
}

// sample records the running requests of all entries, from which the sums are made.
func (s *sim) sample() {
	running := make([]int, s.simSite.entries)
	for i, e := range s.entries {
		running[i] = e.inFlight
	}
	s.history = append(s.history, simSums{s.now, running})
	if s.now < s.end+10*time.Second {
		s.after(50*time.Millisecond, s.sample)
	}
}

func (s *sim) poll(e *simEntry) {
	var used simSums
	for i := len(s.history) - 1; i >= 0; i-- {
		if used = s.history[i]; used.at <= s.now-s.sumsAge {
			break
		}
	}
	total := 0
	for _, n := range used.running {
		total += n
	}
	if used.running != nil {
		e.gate.SetSlots(s.endpointsSlots())
		e.gate.SetSums(Sums{Running: total, Own: used.running[e.id], Share: 1 / float64(s.simSite.entries)}, s.clock().Add(-s.sumsAge))
		s.pump(e)
	}
	if s.now < s.end+10*time.Second {
		s.after(s.sumsEvery, func() { s.poll(e) })
	}
}

func (s *sim) endpointsSlots() int { return s.simSite.endpoints * s.slots }

func (s *sim) inBurst() bool { return s.now >= s.burstFrom && s.now < s.burstTo }

// arrive lets a caller send a request; flood is set for the further load of a flooding workspace.
func (s *sim) arrive(flood bool) {
	perS := s.perS
	switch {
	case flood && !s.inBurst(), s.now >= s.end:
		return
	case flood:
		perS *= s.workspaceShare(0) * (s.flood - 1)
	case s.inBurst() && s.burst > 0:
		perS *= s.burst
	}
	r := &simRequest{born: s.now, quarter: -1, work: time.Duration(s.arrivals.ExpFloat64() * float64(s.work)), counted: s.now >= s.burstFrom && s.now < s.burstTo+2*time.Second}
	if !flood {
		x := s.arrivals.Float64()
		for r.workspace = 0; r.workspace < s.workspaces-1 && x > s.workspaceShare(r.workspace); r.workspace++ {
			x -= s.workspaceShare(r.workspace)
		}
	}
	x := s.arrivals.Float64()
	for r.rank = 0; r.rank < len(s.ranks)-1 && x > s.ranks[r.rank]; r.rank++ {
		x -= s.ranks[r.rank]
	}
	if r.counted {
		s.result.offered++
		s.result.byRank[r.rank][0]++
		w := s.result.byWorkspace[r.workspace]
		if w == nil {
			w = &[2]int{}
			s.result.byWorkspace[r.workspace] = w
		}
		w[0]++
	}
	s.offer(r)
	s.after(time.Duration(s.arrivals.ExpFloat64()/perS*float64(time.Second)), func() { s.arrive(flood) })
}

// workspaceShare returns the usual share of a workspace: a few are large.
func (s *sim) workspaceShare(i int) float64 {
	sum := 0.0
	for k := range max(s.workspaces, 1) {
		sum += 1 / float64(k+2)
	}
	return 1 / float64(i+2) / sum
}

// offer sends a request of a caller to an entry.
func (s *sim) offer(r *simRequest) {
	r.attempts, r.tried = 0, nil
	n := len(s.entries)
	i := s.random.IntN(n)
	if s.moves && s.inBurst() && 4*i < n && s.random.IntN(2) == 0 {
		i += n / 4
	}
	if r.quarter < 0 {
		r.quarter = 4 * i / n
		if r.counted {
			s.result.byQuarter[r.quarter][0]++
		}
	}
	e := s.entries[i]
	if s.polling {
		s.pollFor(e, r, s.now+time.Duration(0.12*float64(s.target)))
		return
	}
	s.enqueue(e, r)
}

// choose returns an endpoint that is not paused and was not tried, or -1.
func (s *sim) choose(e *simEntry, r *simRequest) int {
	best, ties := -1, 0
	for i := range s.endpoints {
		if e.paused[i] > s.now || containsInt(r.tried, i) {
			continue
		}
		switch {
		case best < 0 || e.perEnd[i] < e.perEnd[best]:
			best, ties = i, 1
		case e.perEnd[i] == e.perEnd[best]:
			if ties++; s.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func containsInt(list []int, x int) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

// pollFor plays an entry without a queue.
func (s *sim) pollFor(e *simEntry, r *simRequest, until time.Duration) {
	if i := s.choose(e, r); i >= 0 {
		s.send(e, r, i, func() { s.pollFor(e, r, s.now+time.Duration(0.12*float64(s.target))) })
		return
	}
	if s.now > until {
		s.refuse(r, min(600*time.Millisecond, s.returnLimit(r)))
		return
	}
	s.waiting++
	s.after(15*time.Millisecond, func() { s.waiting--; s.pollFor(e, r, until) })
}

func (s *sim) returnLimit(r *simRequest) time.Duration {
	return time.Duration(0.3 * float64(r.born+s.deadline-s.now))
}

// refuse tells the caller to return after a time, if its deadline allows it.
func (s *sim) refuse(r *simRequest, after time.Duration) {
	if s.now+after+20*time.Millisecond < r.born+s.deadline && after > 0 {
		s.after(after, func() { s.offer(r) })
	}
}

// enqueue plays an entry with a queue.
func (s *sim) enqueue(e *simEntry, r *simRequest) {
	if e.queue.Len() == 0 {
		if i := s.open(e, r); i >= 0 {
			s.start(e, r, i)
			return
		}
	}
	request := Request{
		Workspace: string(rune('a' + r.workspace)), Rank: r.rank, Target: simStart.Add(r.born + s.target),
		Deadline: simStart.Add(r.born + s.deadline), Work: e.gate.Work(), Selective: len(r.tried) > 0,
	}
	r.estimate = e.queue.Estimate(&request, s.clock())
	_, displaced, err := e.queue.Add(request, r, s.clock())
	for _, t := range displaced {
		s.refuseTicket(e, t, Displaced)
	}
	if err != nil {
		refused := err.(*RefusedError)
		s.result.refused++
		s.refuse(r, ReturnAfter(max(refused.Drain, 600*time.Millisecond), s.returnLimit(r), s.random.Float64()))
		return
	}
	s.waiting++
	s.pump(e)
}

func (s *sim) refuseTicket(e *simEntry, t *Ticket, reason Reason) {
	s.waiting--
	refused := e.queue.Refusal(reason, t, s.clock())
	r := t.Owner.(*simRequest)
	s.refuse(r, ReturnAfter(max(refused.Drain, 600*time.Millisecond), s.returnLimit(r), s.random.Float64()))
}

func (s *sim) open(e *simEntry, r *simRequest) int {
	if !e.gate.Open(s.clock()) {
		return -1
	}
	return s.choose(e, r)
}

func (s *sim) start(e *simEntry, r *simRequest, i int) {
	e.gate.Start(s.clock())
	started := s.now
	s.sendGated(e, r, i, func(rejected bool) {
		e.gate.End(s.now-started, rejected, s.random.Float64(), s.clock())
		if rejected && r.attempts < 2 {
			s.enqueue(e, r)
		} else if rejected {
			s.refuse(r, ReturnAfter(600*time.Millisecond, s.returnLimit(r), s.random.Float64()))
		}
		s.pump(e)
	})
}

func (s *sim) pump(e *simEntry) {
	for _, t := range e.queue.Expire(s.clock()) {
		s.result.expired++
		s.refuseTicket(e, t, Expired)
	}
	e.queue.Dispatch(s.clock(), func(t *Ticket) bool {
		r := t.Owner.(*simRequest)
		i := s.open(e, r)
		if i < 0 {
			return false
		}
		s.waiting--
		if r.estimate > 0 {
			s.result.estimated += r.estimate.Seconds()
			s.result.waited += t.Waited(s.clock()).Seconds()
		}
		s.start(e, r, i)
		return true
	})
	if e.queue.Len() > 0 && !e.ticking {
		e.ticking = true
		s.after(15*time.Millisecond, func() { e.ticking = false; s.pump(e) })
	}
}

// send plays an attempt of an entry without a queue.
func (s *sim) send(e *simEntry, r *simRequest, i int, again func()) {
	s.sendGated(e, r, i, func(rejected bool) {
		if rejected && r.attempts < 2 {
			again()
		} else if rejected {
			s.refuse(r, min(600*time.Millisecond, s.returnLimit(r)))
		}
	})
}

const simTrip = time.Millisecond

func (s *sim) sendGated(e *simEntry, r *simRequest, i int, ended func(rejected bool)) {
	s.result.sends++
	r.attempts++
	r.tried = append(r.tried, i)
	e.inFlight++
	e.perEnd[i]++
	end := func(rejected bool) {
		e.inFlight--
		e.perEnd[i]--
		if rejected {
			e.paused[i] = s.now + 50*time.Millisecond
		} else {
			s.answer(r)
		}
		ended(rejected)
	}
	endpoint := s.endpoints[i]
	s.after(simTrip, func() {
		run := func() {
			endpoint.running++
			s.after(r.work, func() {
				endpoint.running--
				if len(endpoint.queue) > 0 {
					next := endpoint.queue[0]
					endpoint.queue = endpoint.queue[1:]
					next()
				}
				end(false)
			})
		}
		switch {
		case endpoint.running < s.slots:
			run()
		case len(endpoint.queue) < s.places:
			endpoint.queue = append(endpoint.queue, run)
		default:
			s.result.rejections++
			s.after(simTrip, func() { end(true) })
		}
	})
}

// answer counts what the caller gets.
func (s *sim) answer(r *simRequest) {
	if !r.counted || s.now > r.born+s.deadline {
		return
	}
	s.result.served++
	s.result.byRank[r.rank][2]++
	late := max(s.now-r.born-s.target, 0)
	s.result.credit += math.Max(1-float64(late)/float64(s.deadline-s.target), 0)
	if late == 0 {
		s.result.onTime++
		s.result.byRank[r.rank][1]++
		s.result.byWorkspace[r.workspace][1]++
		s.result.byQuarter[r.quarter][1]++
	}
}
