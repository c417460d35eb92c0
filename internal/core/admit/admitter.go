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
	// defaultMaxQueued is the queue limit of a workspace that configures none.
	defaultMaxQueued = 100
	defaultQuantum   = 512
	defaultMaxWait   = 30 * time.Second
	// sweepInterval is the interval between two removals of idle flows.
	sweepInterval = 10 * time.Second
	// idleFlowHalfLives is the retention of an idle flow, in usage half-lives.
	// After 4 half-lives its debt has decayed to 1/16.
	idleFlowHalfLives = 4
)

// Admitter admits the requests of one group of endpoints, such as those of a
// model. Each admitter has its own lock, so that groups don't contend. While no
// request is queued and slots are free, a request starts without the lock; see
// fast.go. An Admitter is safe for concurrent use.
type Admitter struct {
	counters
	mu         sync.Mutex
	ranks      []*rank
	workspaces map[string]*workspaceConfig
	fairness   conf.Fairness
	// domainSlots is the total number of slots of all entries of the failure domain.
	domainSlots      int
	queuedByDeadline deadlineHeap
	rate             serviceRate
	peers            map[string]*peer
	lastSweep        time.Time
}

// rank is the queue and slot state of one rank.
type rank struct {
	floor        float64
	maxWait      time.Duration
	resumed      ticketList
	flows        map[string]*workspaceFlow
	ring         ring[*workspaceFlow]
	running      atomic.Int64
	waiting      int
	queuedTokens float64
	// meanRunning is the exponentially weighted mean of running; see
	// meanRunningHalfLife.
	meanRunning   float64
	meanRunningAt time.Time
	// peerRunning is the number of requests of this rank that run at live peers.
	peerRunning int
}

// readyCall is a call of Request.Ready that is made after the lock is released.
type readyCall struct {
	ready func(error)
	err   error
}

// New returns an admitter without capacity. It admits nothing until SetCapacity
// is called.
func New(doc *conf.Document) *Admitter {
	a := &Admitter{workspaces: make(map[string]*workspaceConfig), peers: make(map[string]*peer)}
	a.Configure(doc)
	return a
}

// Configure applies a new generation of the document. Queued tickets keep their
// rank index.
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
	snapshot := slices.Clone(a.ranks)
	a.publishedRanks.Store(&snapshot)
	for i := range doc.Workspaces {
		a.workspace(doc.Workspaces[i].Name).configure(&doc.Workspaces[i])
	}
	for _, r := range a.ranks {
		for _, w := range r.flows {
			w.weight = w.config.weight
		}
	}
}

func (c *workspaceConfig) configure(w *conf.Workspace) {
	if w.Weight > 0 {
		c.weight = w.Weight
	}
	if w.MaxQueued > 0 {
		c.maxQueued = w.MaxQueued
	}
	if w.MaxQueuedPerCaller > 0 {
		c.maxQueuedPerCaller = w.MaxQueuedPerCaller
	}
}

func (a *Admitter) workspace(name string) *workspaceConfig {
	c := a.workspaces[name]
	if c == nil {
		c = &workspaceConfig{name: name, weight: 1, maxQueued: defaultMaxQueued, maxQueuedPerCaller: defaultMaxQueued}
		a.workspaces[name] = c
	}
	return c
}

// SetCapacity sets the number of slots of this entry and of the failure domain.
// When the capacity shrinks, running requests continue and new requests are
// queued.
func (a *Admitter) SetCapacity(own, domain int, now time.Time) {
	a.mu.Lock()
	a.capacity.Store(int64(own))
	a.domainSlots = max(domain, own)
	calls := a.dispatch(now, nil)
	a.mu.Unlock()
	runReadyCalls(calls)
}

// Offer requests admission. It returns a started ticket, a queued ticket whose
// Ready function is called later, or a *RefusedError.
func (a *Admitter) Offer(req Request, now time.Time) (ticket *Ticket, started bool, err error) {
	ranks := *a.publishedRanks.Load()
	if req.Rank < 0 || req.Rank >= len(ranks) {
		return nil, false, &RefusedError{Reason: UnknownRank, Workspace: req.Workspace}
	}
	t := &Ticket{req: req, cost: float64(max(req.Tokens, 1)), deadline: req.Deadline, heapIndex: -1}
	if a.startFast(t, ranks[req.Rank]) {
		return t, true, nil
	}
	a.mu.Lock()
	if t.deadline.IsZero() {
		t.deadline = now.Add(a.ranks[req.Rank].maxWait)
	}
	t.flow = a.flowOf(&req)
	t.flow.updateDemand(t.cost, a.fairness.CallerExponent, a.halfLife(), now)
	if refused := a.refuse(t, now); refused != nil {
		a.mu.Unlock()
		return nil, false, refused
	}
	a.enqueue(t, now)
	calls := a.dispatch(now, t)
	started = t.state.Load() == stateRunning
	a.mu.Unlock()
	runReadyCalls(calls)
	return t, started, nil
}

// Done ends a started ticket and charges its actual cost in tokens. Further
// calls have no effect.
func (a *Admitter) Done(t *Ticket, tokens int, now time.Time) {
	if !t.state.CompareAndSwap(stateRunning, stateEnded) {
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
	calls := a.dispatch(now, nil)
	a.mu.Unlock()
	runReadyCalls(calls)
}

// end frees the slot of a ticket and charges the difference between its actual
// and its estimated cost.
func (a *Admitter) end(t *Ticket, tokens float64, now time.Time) {
	r := a.ranks[t.req.Rank]
	r.updateMeanRunning(now)
	r.running.Add(-1)
	a.running.Add(-1)
	charge := tokens - t.cost
	if t.flow == nil {
		t.flow = a.flowOf(&t.req)
		charge = tokens
	}
	t.flow.charge(charge, now)
	t.flow.workspace.charge(charge, now)
	a.rate.addServed(tokens, now)
}

// Cancel withdraws a queued ticket and reports whether it did. The Ready
// function of a withdrawn ticket is not called. Cancel returns false for a
// ticket that has started or ended.
func (a *Admitter) Cancel(t *Ticket, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t.state.Load() != stateQueued {
		return false
	}
	a.dequeue(t, now)
	t.state.Store(stateEnded)
	return true
}

// Tick refuses queued tickets whose deadline has passed and removes expired
// peers and idle flows. It must be called several times a second.
func (a *Admitter) Tick(now time.Time) {
	a.mu.Lock()
	var calls []readyCall
	for len(a.queuedByDeadline) > 0 && now.After(a.queuedByDeadline[0].deadline) {
		calls = append(calls, a.expire(a.queuedByDeadline[0], now))
	}
	a.expirePeers(now)
	if now.Sub(a.lastSweep) > sweepInterval {
		a.lastSweep = now
		a.sweep(now)
	}
	calls = append(calls, a.dispatch(now, nil)...)
	a.mu.Unlock()
	runReadyCalls(calls)
}

// Load returns the numbers of running and of queued requests.
func (a *Admitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.running.Load()), int(a.waiting.Load())
}

func runReadyCalls(calls []readyCall) {
	for _, call := range calls {
		if call.ready != nil {
			call.ready(call.err)
		}
	}
}

func (a *Admitter) halfLife() time.Duration {
	return time.Duration(a.fairness.UsageHalfLifeS) * time.Second
}

func (a *Admitter) flowOf(req *Request) *callerFlow {
	r := a.ranks[req.Rank]
	w := r.flows[req.Workspace]
	if w == nil {
		config := a.workspace(req.Workspace)
		w = &workspaceFlow{flow: flow{weight: config.weight}, config: config, callers: make(map[string]*callerFlow)}
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
	r.queuedTokens += t.cost
	if t.req.Resumed {
		r.resumed.push(t)
		return
	}
	w := c.workspace
	w.queued++
	c.queued++
	w.queuedTokens += t.cost
	c.queuedTokens += t.cost
	c.queue.push(t)
	w.ring.add(c, a.quantum(), a.halfLife(), now)
	r.ring.add(w, a.quantum(), a.halfLife(), now)
	heap.Push(&a.queuedByDeadline, t)
}

func (a *Admitter) dequeue(t *Ticket, now time.Time) {
	r, c := a.ranks[t.req.Rank], t.flow
	a.waiting.Add(-1)
	r.waiting--
	r.queuedTokens -= t.cost
	t.list.remove(t)
	if t.req.Resumed {
		return
	}
	heap.Remove(&a.queuedByDeadline, t.heapIndex)
	w := c.workspace
	w.queued--
	c.queued--
	w.queuedTokens -= t.cost
	c.queuedTokens -= t.cost
	if c.queue.head == nil {
		w.ring.remove(c, now)
	}
	if len(w.ring.list) == 0 {
		r.ring.remove(w, now)
	}
}

func (a *Admitter) quantum() float64 { return float64(a.fairness.QuantumTokens) }

func (a *Admitter) expire(t *Ticket, now time.Time) readyCall {
	a.dequeue(t, now)
	t.state.Store(stateEnded)
	refused := &RefusedError{Reason: DeadlinePassed, Workspace: t.req.Workspace, RetryAfter: a.retryAfter(a.estimateWait(t))}
	return readyCall{ready: t.req.Ready, err: refused}
}

// sweep removes flows that have been idle for longer than the retention time.
func (a *Admitter) sweep(now time.Time) {
	retention := max(idleFlowHalfLives*a.halfLife(), sweepInterval)
	for _, r := range a.ranks {
		for name, w := range r.flows {
			for caller, c := range w.callers {
				if !c.active && now.Sub(c.demandAt) > retention && now.Sub(c.usedAt) > retention {
					delete(w.callers, caller)
				}
			}
			if !w.active && len(w.callers) == 0 {
				delete(r.flows, name)
			}
		}
	}
}
