package admit

import (
	"container/heap"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/boragelead/boragelead/internal/core/conf"
)

const (
	// defaultQueued bounds a queue whose workspace sets no bound.
	defaultQueued  = 100
	defaultQuantum = 512
	defaultMaxWait = 30 * time.Second
	// sweepEvery is the interval after which flows without use are dropped.
	sweepEvery = 10 * time.Second
	// keepHalfLives is how long an idle flow is remembered; its debt is then
	// below 1/16 of what it was.
	keepHalfLives = 4
)

// Admitter admits the requests of one group of endpoints, such as those of a
// model. Its lock is the shard lock of that group. While nothing waits and
// slots are free, a request starts without the lock; see fast.go. It is safe
// for concurrent use.
type Admitter struct {
	counters
	mu       sync.Mutex
	ranks    []*rank
	tenants  map[string]*tenant
	fairness conf.Fairness
	// domain is the number of slots of all entries of the failure domain.
	domain int
	due    deadlines
	rate   serviceRate
	peers  map[string]*peer
	swept  time.Time
}

// rank is the state of one rank.
type rank struct {
	floor   float64
	maxWait time.Duration
	resumed ticketList
	flows   map[string]*workspaceFlow
	ring    ring[*workspaceFlow]
	running atomic.Int64
	waiting int
	tokens  float64
	// occupied is the mean of running over the last seconds.
	occupied   float64
	occupiedAt time.Time
	// peerRunning is what live peers run of this rank.
	peerRunning int
}

// notice is a call of Ready to make once the lock is released.
type notice struct {
	ready func(error)
	err   error
}

// New returns an admitter without capacity.
func New(doc *conf.Document) *Admitter {
	a := &Admitter{tenants: make(map[string]*tenant), peers: make(map[string]*peer)}
	a.Configure(doc)
	return a
}

// Configure takes a new generation. Queued tickets keep their rank index.
func (a *Admitter) Configure(doc *conf.Document) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fairness = doc.Fairness
	if a.fairness.QuantumTokens <= 0 {
		a.fairness.QuantumTokens = defaultQuantum
	}
	for i := range doc.Ranks {
		if i == len(a.ranks) {
			a.ranks = append(a.ranks, &rank{flows: make(map[string]*workspaceFlow)})
		}
		a.ranks[i].floor = doc.Ranks[i].Floor
		a.ranks[i].maxWait = time.Duration(doc.Ranks[i].MaxWaitMS) * time.Millisecond
		if a.ranks[i].maxWait <= 0 {
			a.ranks[i].maxWait = defaultMaxWait
		}
	}
	published := slices.Clone(a.ranks)
	a.published.Store(&published)
	for i := range doc.Workspaces {
		a.tenant(doc.Workspaces[i].Name).configure(&doc.Workspaces[i])
	}
	for _, r := range a.ranks {
		for _, w := range r.flows {
			w.weight = w.tenant.weight
		}
	}
}

func (t *tenant) configure(w *conf.Workspace) {
	if w.Weight > 0 {
		t.weight = w.Weight
	}
	if w.MaxQueued > 0 {
		t.maxQueued = w.MaxQueued
	}
	if w.MaxQueuedPerCaller > 0 {
		t.maxCaller = w.MaxQueuedPerCaller
	}
}

func (a *Admitter) tenant(name string) *tenant {
	t := a.tenants[name]
	if t == nil {
		t = &tenant{name: name, weight: 1, maxQueued: defaultQueued, maxCaller: defaultQueued}
		a.tenants[name] = t
	}
	return t
}

// SetCapacity sets the slots of this entry and those of the failure domain.
// When it shrinks, running work goes on and new work waits.
func (a *Admitter) SetCapacity(own, domain int, now time.Time) {
	a.mu.Lock()
	a.capacity.Store(int64(own))
	a.domain = max(domain, own)
	notices := a.dispatch(now, nil)
	a.mu.Unlock()
	deliver(notices)
}

// Offer asks for admission. It returns a ticket that has started, one that
// waits for its Ready call, or a *RefusedError.
func (a *Admitter) Offer(req Request, now time.Time) (ticket *Ticket, started bool, err error) {
	ranks := *a.published.Load()
	if req.Rank < 0 || req.Rank >= len(ranks) {
		return nil, false, &RefusedError{Reason: UnknownRank, Workspace: req.Workspace}
	}
	t := &Ticket{req: req, cost: float64(max(req.Tokens, 1)), deadline: req.Deadline, heapAt: -1}
	if a.startFast(t, ranks[req.Rank]) {
		return t, true, nil
	}
	a.mu.Lock()
	if t.deadline.IsZero() {
		t.deadline = now.Add(a.ranks[req.Rank].maxWait)
	}
	t.flow = a.callerFlow(&req)
	t.flow.offer(t.cost, a.fairness.CallerExponent, a.halfLife(), now)
	if refused := a.refuse(t, now); refused != nil {
		a.mu.Unlock()
		return nil, false, refused
	}
	a.enqueue(t, now)
	notices := a.dispatch(now, t)
	started = t.state.Load() == running
	a.mu.Unlock()
	deliver(notices)
	return t, started, nil
}

// Done ends a started ticket with the tokens that it really cost. Further
// calls do nothing.
func (a *Admitter) Done(t *Ticket, tokens int, now time.Time) {
	if !t.state.CompareAndSwap(running, ended) {
		return
	}
	fast, dispatch := a.endFast(t)
	if fast && !dispatch {
		return
	}
	a.mu.Lock()
	if !fast {
		a.end(t, float64(tokens), now)
	}
	notices := a.dispatch(now, nil)
	a.mu.Unlock()
	deliver(notices)
}

// end frees the slot of a ticket and charges what it cost beyond its estimate.
func (a *Admitter) end(t *Ticket, tokens float64, now time.Time) {
	r := a.ranks[t.req.Rank]
	r.advance(now)
	r.running.Add(-1)
	a.running.Add(-1)
	charge := tokens - t.cost
	if t.flow == nil {
		t.flow = a.callerFlow(&t.req)
		charge = tokens
	}
	t.flow.charge(charge, now)
	t.flow.workspace.charge(charge, now)
	a.rate.done(tokens, now)
}

// Cancel withdraws a queued ticket, whose Ready is then not called any more.
// It reports false for one that has started or ended.
func (a *Admitter) Cancel(t *Ticket, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.state.Load() != queued {
		return false
	}
	a.dequeue(t, now)
	t.state.Store(ended)
	return true
}

// Tick refuses queued tickets whose deadline has passed and drops old state.
// It is called several times a second.
func (a *Admitter) Tick(now time.Time) {
	a.mu.Lock()
	var notices []notice
	for len(a.due) > 0 && now.After(a.due[0].deadline) {
		notices = append(notices, a.expire(a.due[0], now))
	}
	a.expirePeers(now)
	if now.Sub(a.swept) > sweepEvery {
		a.swept = now
		a.sweep(now)
	}
	notices = append(notices, a.dispatch(now, nil)...)
	a.mu.Unlock()
	deliver(notices)
}

// Load tells how much runs and waits.
func (a *Admitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.running.Load()), int(a.waiting.Load())
}

func deliver(notices []notice) {
	for _, n := range notices {
		if n.ready != nil {
			n.ready(n.err)
		}
	}
}

func (a *Admitter) halfLife() time.Duration {
	return time.Duration(a.fairness.UsageHalfLifeS) * time.Second
}

func (a *Admitter) callerFlow(req *Request) *callerFlow {
	r := a.ranks[req.Rank]
	w := r.flows[req.Workspace]
	if w == nil {
		t := a.tenant(req.Workspace)
		w = &workspaceFlow{flow: flow{weight: t.weight}, tenant: t, callers: make(map[string]*callerFlow)}
		r.flows[req.Workspace] = w
	}
	c := w.callers[req.Caller]
	if c == nil {
		c = &callerFlow{flow: flow{weight: 1}, name: req.Caller, workspace: w}
		w.callers[req.Caller] = c
	}
	return c
}

func (a *Admitter) enqueue(t *Ticket, now time.Time) {
	r, c := a.ranks[t.req.Rank], t.flow
	a.waiting.Add(1)
	r.waiting++
	r.tokens += t.cost
	if t.req.Resumed {
		r.resumed.push(t)
		return
	}
	w := c.workspace
	w.queued++
	c.queued++
	w.tokens += t.cost
	c.tokens += t.cost
	c.queue.push(t)
	w.ring.add(c, a.quantum(), a.halfLife(), now)
	r.ring.add(w, a.quantum(), a.halfLife(), now)
	heap.Push(&a.due, t)
}

func (a *Admitter) dequeue(t *Ticket, now time.Time) {
	r, c := a.ranks[t.req.Rank], t.flow
	a.waiting.Add(-1)
	r.waiting--
	r.tokens -= t.cost
	t.list.remove(t)
	if t.req.Resumed {
		return
	}
	heap.Remove(&a.due, t.heapAt)
	w := c.workspace
	w.queued--
	c.queued--
	w.tokens -= t.cost
	c.tokens -= t.cost
	if c.queue.head == nil {
		w.ring.remove(c, now)
	}
	if len(w.ring.list) == 0 {
		r.ring.remove(w, now)
	}
}

func (a *Admitter) quantum() float64 { return float64(a.fairness.QuantumTokens) }

func (a *Admitter) expire(t *Ticket, now time.Time) notice {
	a.dequeue(t, now)
	t.state.Store(ended)
	refused := &RefusedError{Reason: DeadlinePassed, Workspace: t.req.Workspace, RetryAfter: a.retryAfter(a.wait(t))}
	return notice{ready: t.req.Ready, err: refused}
}

// sweep drops flows that were idle for long.
func (a *Admitter) sweep(now time.Time) {
	keep := max(keepHalfLives*a.halfLife(), sweepEvery)
	for _, r := range a.ranks {
		for name, w := range r.flows {
			for caller, c := range w.callers {
				if !c.active && now.Sub(c.demandAt) > keep && now.Sub(c.usedAt) > keep {
					delete(w.callers, caller)
				}
			}
			if !w.active && len(w.callers) == 0 {
				delete(r.flows, name)
			}
		}
	}
}
