package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/core/limit"
	"github.com/boragelead/boragelead/internal/core/member"
	"github.com/boragelead/boragelead/internal/core/retry"
	"github.com/boragelead/boragelead/internal/core/route"
)

const (
	// fetchInterval is how often endpoints of other failure domains are looked
	// up for models that need them.
	fetchInterval = time.Second
	// aliveAgain is how much newer than its crash an announcement must be to
	// count as a sign of life: reports describe the past.
	aliveAgain = time.Second
	// fetchTimeout bounds the lookup in one failure domain.
	fetchTimeout = 500 * time.Millisecond
)

// directory shows the registry to the request path: a snapshot for the router
// and, per endpoint, the limiter and the circuit breaker.
type directory struct {
	service  *Service
	snapshot atomic.Pointer[route.Snapshot]

	mu sync.Mutex
	// listed is the registry's list that the snapshot was built from.
	listed []*member.Endpoint
	stale  bool
	remote map[string][]*member.Endpoint
	states map[string]*endpointState
	// groups names, for each model, the models that share endpoints with it.
	groups map[string]string
	// turn counts the choices of the baseline.
	turn int
}

// endpointState is what this entry learned about one incarnation of an endpoint.
type endpointState struct {
	id          string
	incarnation uint64
	baseURL     string
	remote      bool
	models      []endpoint.LoadedModel
	state       endpoint.State
	limiter     *limit.Limiter
	breaker     *retry.Breaker
	// crashed is set once the incarnation was found dead, at crashedAt.
	crashed   atomic.Bool
	crashedAt time.Time
	loadAt    time.Time
	// leaving is closed when the endpoint announces that it leaves.
	leaving chan struct{}
	// reported is the number of generations running there by the newest report.
	reported atomic.Int64
	// free is the number of slots without a generation by the newest report.
	free int
	// leaveBy is the local time at which a leaving endpoint stops; zero if unknown.
	leaveBy atomic.Pointer[time.Time]
}

// noticeLeft returns the time until a leaving endpoint stops.
func (e *endpointState) noticeLeft(now time.Time) time.Duration {
	if by := e.leaveBy.Load(); by != nil {
		return max(by.Sub(now), 0)
	}
	return unknownNotice
}

func newDirectory(s *Service) *directory {
	return &directory{service: s, stale: true, remote: make(map[string][]*member.Endpoint), states: make(map[string]*endpointState)}
}

// current returns the newest snapshot.
func (d *directory) current() *route.Snapshot {
	if snapshot := d.snapshot.Load(); snapshot != nil {
		return snapshot
	}
	d.refresh(time.Now())
	return d.snapshot.Load()
}

// invalidate makes the next refresh build a new snapshot.
func (d *directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stale = true
}

// refresh rebuilds the snapshot when the registry changed.
func (d *directory) refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.service.options.Registry.List()
	if d.stale || !sameList(list, d.listed) {
		d.listed = list
		d.stale = false
		d.rebuild()
	}
	for _, state := range d.states {
		if state.crashed.Load() && state.loadAt.After(state.crashedAt.Add(aliveAgain)) {
			// It announced itself since: it was only out of reach.
			state.crashed.Store(false)
		}
		blocked := state.crashed.Load() || state.breaker.State(now) == retry.Open
		d.service.router.SetBlocked(state.id, blocked)
	}
}

// sameList compares lists by identity: the registry makes a new one for each change.
func sameList(a, b []*member.Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (d *directory) rebuild() {
	known := make(map[string]bool, len(d.listed))
	candidates := make([]*route.Candidate, 0, len(d.listed))
	add := func(e *member.Endpoint, remote bool) {
		if e.Kind != endpoint.KindEngine || known[e.ID] {
			return
		}
		known[e.ID] = true
		d.note(e, remote)
		candidates = append(candidates, candidateOf(e))
	}
	for _, e := range d.listed {
		add(e, false)
	}
	for _, list := range d.remote {
		for _, e := range list {
			add(e, true)
		}
	}
	for id, state := range d.states {
		if !known[id] {
			state.markLeaving()
			delete(d.states, id)
			d.service.router.Forget(id)
		}
	}
	d.groups = groupModels(candidates)
	d.snapshot.Store(d.service.router.Snapshot(candidates))
}

// groupModels joins models that stand together on an endpoint. A group is
// named after its first model.
func groupModels(candidates []*route.Candidate) map[string]string {
	parent := make(map[string]string)
	root := func(model string) string {
		for parent[model] != "" && parent[model] != model {
			model = parent[model]
		}
		return model
	}
	for _, c := range candidates {
		for i := range c.Models {
			first, other := root(c.Models[0].Name), root(c.Models[i].Name)
			parent[max(first, other)] = min(first, other)
		}
	}
	groups := make(map[string]string, len(parent))
	for model := range parent {
		groups[model] = root(model)
	}
	return groups
}

// group returns the name of the models that share endpoints with a model.
func (d *directory) group(model string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.groupName(model)
}

func (d *directory) groupName(model string) string {
	if group := d.groups[model]; group != "" {
		return group
	}
	return model
}

// note keeps the state of an endpoint; a new incarnation starts afresh.
func (d *directory) note(e *member.Endpoint, remote bool) {
	state := d.states[e.ID]
	if state == nil || state.incarnation != e.Incarnation {
		if state != nil {
			state.markLeaving()
		}
		state = &endpointState{
			id: e.ID, incarnation: e.Incarnation, baseURL: e.BaseURL,
			limiter: limit.NewLimiter(max(e.Slots, 1), limit.Target{}), breaker: new(retry.Breaker), leaving: make(chan struct{}),
		}
		d.states[e.ID] = state
		d.service.pools.setTarget(state)
	}
	state.remote = remote
	state.models = e.Models
	state.state = e.State
	state.reported.Store(int64(e.Load.Running))
	state.free = max(0, e.Slots-e.Load.Running-e.Load.Waiting)
	state.loadAt = e.LoadAt
	if !e.LeaveBy.IsZero() {
		by := e.LeaveBy
		state.leaveBy.Store(&by)
	}
	if e.State == endpoint.StateLeaving {
		state.markLeaving()
	}
}

// markLeaving tells the attempts that run there. It is called with the lock held.
func (e *endpointState) markLeaving() {
	select {
	case <-e.leaving:
	default:
		close(e.leaving)
	}
}

// isLeaving reports whether the endpoint announced that it leaves.
func (e *endpointState) isLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

func candidateOf(e *member.Endpoint) *route.Candidate {
	return &route.Candidate{
		ID: e.ID, Incarnation: e.Incarnation, BaseURL: e.BaseURL, FailureDomain: e.FailureDomain,
		Class: e.Class, Role: e.Role, State: e.State, Models: e.Models, Slots: e.Slots,
		Reclaimable: e.Reclaimable, Load: e.Load, LoadAt: e.LoadAt, Expires: e.Expires,
	}
}

// nextInTurn takes the live endpoints of a model in turn, for the baseline.
func (d *directory) nextInTurn(model string, avoid []string) (route.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*member.Endpoint
	for _, e := range d.listed {
		candidate := candidateOf(e)
		state := d.states[e.ID]
		if state == nil || state.state != endpoint.StateReady || state.crashed.Load() || slices.Contains(avoid, e.ID) || !candidate.Holds(model, "", "") {
			continue
		}
		live = append(live, e)
	}
	if len(live) == 0 {
		return route.Decision{}, &route.NoEndpointError{Model: model, Known: len(d.listed)}
	}
	slices.SortFunc(live, func(a, b *member.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	d.turn++
	return route.Decision{Endpoint: candidateOf(live[d.turn%len(live)])}, nil
}

// noteCrash marks an endpoint as dead and reports whether that is new.
func (d *directory) noteCrash(state *endpointState, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	state.crashedAt = now
	return !state.crashed.Swap(true)
}

// find returns the state of an endpoint, or nil.
func (d *directory) find(id string) *endpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.states[id]
}

// supply is what an endpoint offers to the pool of its models.
type supply struct {
	id, group string
	limit     int
	remote    bool
	// free is the number of slots without a generation by the newest report.
	free int
}

// supplies lists the ready endpoints.
func (d *directory) supplies() []supply {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]supply, 0, len(d.states))
	for _, state := range d.states {
		if state.state != endpoint.StateReady || state.crashed.Load() || len(state.models) == 0 {
			continue
		}
		list = append(list, supply{
			id: state.id, group: d.groupName(state.models[0].Name), limit: state.limiter.Limit(),
			remote: state.remote, free: state.free,
		})
	}
	return list
}

// fetchLoop looks up endpoints of other failure domains for models whose own
// domain does not have enough, and forgets them once it has.
func (d *directory) fetchLoop(ctx context.Context) {
	d.service.every(fetchInterval, func(now time.Time) {
		wanted := d.service.pools.remoteModels(now)
		d.keepRemote(wanted)
		for _, model := range wanted {
			d.fetch(ctx, model)
		}
	})
}

func (d *directory) keepRemote(models []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model := range d.remote {
		if !slices.Contains(models, model) {
			delete(d.remote, model)
			d.stale = true
		}
	}
}

// fetch replaces the remote endpoints of a model. A failure domain that does
// not answer keeps none.
func (d *directory) fetch(ctx context.Context, model string) {
	var found []*member.Endpoint
	for _, view := range d.service.options.Cluster.Domains(time.Now()) {
		if !offers(&view, model) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
		list, err := d.service.options.Cluster.Fetch(bounded, view.Domain, model, "")
		cancel()
		if err != nil {
			if !errors.Is(err, context.Canceled) {
				d.service.log.Debug("Endpoints of another failure domain not fetched.", zap.String("failure_domain", view.Domain), zap.Error(err))
			}
			continue
		}
		found = append(found, list...)
	}
	d.mu.Lock()
	d.remote[model] = found
	d.stale = true
	d.mu.Unlock()
}

func offers(view *member.DomainView, model string) bool {
	for i := range view.Models {
		if view.Models[i].Name == model {
			return view.Models[i].Ready > 0
		}
	}
	return false
}
