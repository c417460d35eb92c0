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
	// fetchInterval is the interval at which endpoints of other failure domains
	// are looked up for the models that need them.
	fetchInterval = time.Second
	// crashRecoveryMargin is how much later than the crash of an endpoint its
	// announcement must be to show that it is alive: an announcement describes
	// the past.
	crashRecoveryMargin = time.Second
	// fetchTimeout limits the lookup in one failure domain.
	fetchTimeout = 500 * time.Millisecond
)

// directory provides the endpoints of the registry to the request path: a
// snapshot for the router and, for each endpoint, the limiter and the circuit
// breaker.
type directory struct {
	service  *Service
	snapshot atomic.Pointer[route.Snapshot]

	mu sync.Mutex
	// registryList is the list of the registry from which the snapshot was
	// built.
	registryList    []*member.Endpoint
	stale           bool
	remoteEndpoints map[string][]*member.Endpoint
	states          map[string]*endpointState
	// modelGroups maps each model to the name of the group of models that share
	// endpoints with it.
	modelGroups map[string]string
	// roundRobin counts the round-robin choices of the baseline.
	roundRobin int
}

// endpointState is the state of one incarnation of an endpoint as this entry
// knows it.
type endpointState struct {
	id          string
	incarnation uint64
	baseURL     string
	remote      bool
	models      []endpoint.LoadedModel
	state       endpoint.State
	limiter     *limit.Limiter
	breaker     *retry.Breaker
	// crashed is set when the incarnation was found dead, at crashedAt.
	crashed   atomic.Bool
	crashedAt time.Time
	loadAt    time.Time
	// leaving is closed when the endpoint announces that it is leaving, or is
	// removed or replaced by a new incarnation.
	leaving chan struct{}
	// reportedRunning is the number of running generations in the newest load
	// report.
	reportedRunning atomic.Int64
	// freeSlots is the number of slots without a running or waiting generation
	// in the newest load report.
	freeSlots int
	// leaveBy is the local time at which a leaving endpoint stops; nil if
	// unknown.
	leaveBy atomic.Pointer[time.Time]
}

// remainingNotice returns the time until a leaving endpoint stops.
func (e *endpointState) remainingNotice(now time.Time) time.Duration {
	if by := e.leaveBy.Load(); by != nil {
		return max(by.Sub(now), 0)
	}
	return defaultNotice
}

func newDirectory(s *Service) *directory {
	return &directory{service: s, stale: true, remoteEndpoints: make(map[string][]*member.Endpoint), states: make(map[string]*endpointState)}
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

// refresh rebuilds the snapshot if the registry has changed, and updates which
// endpoints are blocked.
func (d *directory) refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.service.options.Registry.List()
	if d.stale || !sameList(list, d.registryList) {
		d.registryList = list
		d.stale = false
		d.rebuild()
	}
	for _, state := range d.states {
		if state.crashed.Load() && state.loadAt.After(state.crashedAt.Add(crashRecoveryMargin)) {
			// The endpoint has announced itself since the presumed crash, so it
			// was only unreachable.
			state.crashed.Store(false)
		}
		blocked := state.crashed.Load() || state.breaker.State(now) == retry.Open
		d.service.router.SetBlocked(state.id, blocked)
	}
}

// sameList compares lists by identity, because the registry creates a new list
// for each change.
func sameList(a, b []*member.Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

func (d *directory) rebuild() {
	known := make(map[string]bool, len(d.registryList))
	candidates := make([]*route.Candidate, 0, len(d.registryList))
	add := func(e *member.Endpoint, remote bool) {
		if e.Kind != endpoint.KindEngine || known[e.ID] {
			return
		}
		known[e.ID] = true
		d.updateState(e, remote)
		candidates = append(candidates, candidateOf(e))
	}
	for _, e := range d.registryList {
		add(e, false)
	}
	for _, list := range d.remoteEndpoints {
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
	d.modelGroups = groupModels(candidates)
	d.snapshot.Store(d.service.router.Snapshot(candidates))
}

// groupModels assigns models that are loaded on the same endpoint to one group.
// A group is named after its alphabetically first model.
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

// modelGroup returns the name of the group of models that share endpoints with
// the given model.
func (d *directory) modelGroup(model string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.modelGroupLocked(model)
}

// modelGroupLocked is modelGroup for callers that hold the lock.
func (d *directory) modelGroupLocked(model string) string {
	if group := d.modelGroups[model]; group != "" {
		return group
	}
	return model
}

// updateState updates the state of an endpoint from the registry. A new
// incarnation starts with a new state.
func (d *directory) updateState(e *member.Endpoint, remote bool) {
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
	state.reportedRunning.Store(int64(e.Load.Running))
	state.freeSlots = max(0, e.Slots-e.Load.Running-e.Load.Waiting)
	state.loadAt = e.LoadAt
	if !e.LeaveBy.IsZero() {
		deadline := e.LeaveBy
		state.leaveBy.Store(&deadline)
	}
	if e.State == endpoint.StateLeaving {
		state.markLeaving()
	}
}

// markLeaving marks the endpoint as leaving, which notifies the attempts that
// run there. The caller holds the lock.
func (e *endpointState) markLeaving() {
	select {
	case <-e.leaving:
	default:
		close(e.leaving)
	}
}

// isLeaving reports whether the endpoint was marked as leaving.
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

// nextRoundRobin selects the live endpoints of a model round-robin, for the
// baseline.
func (d *directory) nextRoundRobin(model string, avoid []string) (route.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*member.Endpoint
	for _, e := range d.registryList {
		candidate := candidateOf(e)
		state := d.states[e.ID]
		if state == nil || state.state != endpoint.StateReady || state.crashed.Load() || slices.Contains(avoid, e.ID) || !candidate.Holds(model, "", "") {
			continue
		}
		live = append(live, e)
	}
	if len(live) == 0 {
		return route.Decision{}, &route.NoEndpointError{Model: model, Known: len(d.registryList)}
	}
	slices.SortFunc(live, func(a, b *member.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	d.roundRobin++
	return route.Decision{Endpoint: candidateOf(live[d.roundRobin%len(live)])}, nil
}

// markCrashed marks an endpoint as crashed and reports whether it was not
// marked before.
func (d *directory) markCrashed(state *endpointState, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	state.crashedAt = now
	return !state.crashed.Swap(true)
}

// find returns the state of an endpoint, or nil if it is unknown.
func (d *directory) find(id string) *endpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.states[id]
}

// endpointCapacity is the capacity that an endpoint offers to the pool of its
// models.
type endpointCapacity struct {
	id, group string
	limit     int
	remote    bool
	// freeSlots is the number of slots without a running or waiting generation
	// in the newest load report.
	freeSlots int
}

// readyCapacities returns the capacities of the ready endpoints.
func (d *directory) readyCapacities() []endpointCapacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]endpointCapacity, 0, len(d.states))
	for _, state := range d.states {
		if state.state != endpoint.StateReady || state.crashed.Load() || len(state.models) == 0 {
			continue
		}
		list = append(list, endpointCapacity{
			id: state.id, group: d.modelGroupLocked(state.models[0].Name), limit: state.limiter.Limit(),
			remote: state.remote, freeSlots: state.freeSlots,
		})
	}
	return list
}

// fetchLoop looks up endpoints of other failure domains for models that need
// more capacity than this domain has, and drops them when they are no longer
// needed.
func (d *directory) fetchLoop(ctx context.Context) {
	d.service.runEvery(fetchInterval, func(now time.Time) {
		wanted := d.service.pools.remoteModels(now)
		d.retainRemote(wanted)
		for _, model := range wanted {
			d.fetchRemote(ctx, model)
		}
	})
}

// retainRemote drops the remote endpoints of all models except the given ones.
func (d *directory) retainRemote(models []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model := range d.remoteEndpoints {
		if !slices.Contains(models, model) {
			delete(d.remoteEndpoints, model)
			d.stale = true
		}
	}
}

// fetchRemote replaces the remote endpoints of a model. The endpoints of a
// failure domain that does not answer are dropped.
func (d *directory) fetchRemote(ctx context.Context, model string) {
	var found []*member.Endpoint
	for _, view := range d.service.options.Cluster.Domains(time.Now()) {
		if !hasReadyEndpoints(&view, model) {
			continue
		}
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		list, err := d.service.options.Cluster.Fetch(fetchCtx, view.Domain, model, "")
		cancel()
		if err != nil {
			if !errors.Is(err, context.Canceled) {
				d.service.log.Debug("Endpoints of another failure domain could not be fetched.", zap.String("failure_domain", view.Domain), zap.Error(err))
			}
			continue
		}
		found = append(found, list...)
	}
	d.mu.Lock()
	d.remoteEndpoints[model] = found
	d.stale = true
	d.mu.Unlock()
}

// hasReadyEndpoints reports whether a failure domain has ready endpoints of a
// model.
func hasReadyEndpoints(view *member.DomainView, model string) bool {
	for i := range view.Models {
		if view.Models[i].Name == model {
			return view.Models[i].Ready > 0
		}
	}
	return false
}
