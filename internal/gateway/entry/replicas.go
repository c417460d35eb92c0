package entry

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/demand"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/registry"
)

const (
	// pollWait is how long a replica delays its answer to a poll while nothing
	// has changed. It is also the interval at which usage counts are sent: an
	// entry that is killed loses the counts of one interval.
	pollWait = 400 * time.Millisecond
	// partialPollWait replaces pollWait at a replica that not all entries poll.
	// It receives the counts only in case it becomes the next leader.
	partialPollWait = time.Second
	// pollTimeout limits a poll, including the time for which the replica delays it.
	pollTimeout = 1800 * time.Millisecond
	// pollRetryPause is the pause after a failed poll.
	pollRetryPause = 100 * time.Millisecond
	// leaderCallTimeout limits a call to the leader on which a request waits. It is
	// short because a refusal must not be delayed and the answer takes only one
	// round trip.
	leaderCallTimeout = 60 * time.Millisecond
	// spendRetryPause is how long no common quota is requested after a failed
	// request.
	spendRetryPause = 500 * time.Millisecond
	// maxDenialTime limits how long a denial of common quota is reused.
	maxDenialTime = 300 * time.Millisecond
)

// replicaClient polls state replicas and applies their answers.
type replicaClient struct {
	entry *Entry

	mu        sync.Mutex
	directory *registry.Directory
	plan      *followPlan
	// cancelPolls holds, by address, the function that stops the polls of a replica.
	cancelPolls map[string]context.CancelFunc
	// leader is the address of the replica that last answered as the leader; nil
	// before the first such answer.
	leader atomic.Pointer[string]
	// entryCount is the number of entries that the replicas reported last.
	entryCount atomic.Int64
}

// entries returns the number of entries, or 0 before the first report.
func (c *replicaClient) entries() int { return int(c.entryCount.Load()) }

func newReplicaClient(e *Entry) *replicaClient {
	config := e.options.Settings
	return &replicaClient{
		entry: e, directory: registry.NewDirectory(), cancelPolls: make(map[string]context.CancelFunc),
		plan: newFollowPlan(config.Name, link.MaxFollowed, PeerAddresses(config.Seeds, config.PeerPort)),
	}
}

// PeerAddresses replaces the ports of seed addresses by the port for calls between
// daemons.
func PeerAddresses(seeds []string, peerPort int) []string {
	list := make([]string, 0, len(seeds))
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		list = append(list, net.JoinHostPort(host, strconv.Itoa(peerPort)))
	}
	return list
}

func (c *replicaClient) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyPlan()
}

// SetSeeds replaces the seed addresses, after the settings were reloaded.
func (e *Entry) SetSeeds(seeds []string) {
	c := e.replicaClient
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.setSeeds(PeerAddresses(seeds, e.options.Settings.PeerPort))
	c.applyPlan()
}

// applyPlan starts and stops polls according to the plan. The caller must hold mu.
func (c *replicaClient) applyPlan() {
	e := c.entry
	if e.ctx.Err() != nil {
		return
	}
	follow, unfollow := c.plan.update(time.Now())
	for _, address := range unfollow {
		c.cancelPolls[address]()
		delete(c.cancelPolls, address)
		c.directory.Forget(address)
	}
	for _, address := range follow {
		ctx, cancel := context.WithCancel(e.ctx)
		c.cancelPolls[address] = cancel
		e.group.Go(func() { c.poll(ctx, address) })
	}
}

// poll polls one replica until ctx ends.
func (c *replicaClient) poll(ctx context.Context, address string) {
	e := c.entry
	state := &pollState{maxWait: pollWait}
	connected := false
	for ctx.Err() == nil {
		now := time.Now()
		own := ownDemand{workspaces: e.quotas.Demand(now), services: e.rateLimits.demand(now)}
		reply, err := c.sendPoll(ctx, address, state, own)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if connected {
				e.log.Warn("State replica lost.", zap.String("replica", address), zap.Error(err))
			}
			connected = false
			c.noteFailure(address)
			waitBeforeRetry(ctx)
			continue
		}
		if !connected {
			e.log.Info("State replica reached.", zap.String("replica", address))
		}
		connected = true
		c.applyReply(address, reply, own)
	}
}

func (c *replicaClient) noteFailure(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan.noteFailure(address, time.Now())
	c.applyPlan()
}

func waitBeforeRetry(ctx context.Context) {
	select {
	case <-time.After(pollRetryPause):
	case <-ctx.Done():
	}
}

// ownDemand is the demand of this entry that a poll reports.
type ownDemand struct{ workspaces, services map[string]float64 }

// pollState is what an entry and a replica have acknowledged to each other.
type pollState struct {
	// replicaRun identifies the run of the replica's process; the versions are those
	// of its registry, its crash records and its rate limits.
	replicaRun, registryVersion, crashVersion, rateLimitVersion uint64
	// ackedCrashes and ackedRateLimits are the versions of this entry's crash records
	// and of the limits that it read, as far as the replica acknowledged them.
	ackedCrashes, ackedRateLimits uint64
	// ackedCounts holds the number of requests per window that the replica
	// acknowledged.
	ackedCounts map[uint64]int
	// maxWait is how long the replica may delay its answer to the next poll.
	maxWait time.Duration
}

// unackedCounts returns the windows whose counts the replica has not acknowledged,
// and the value of ackedCounts once it has.
func (s *pollState) unackedCounts(windows []meter.Counts) (changed []meter.Counts, ackedCounts map[uint64]int) {
	ackedCounts = make(map[uint64]int, len(windows))
	for _, w := range windows {
		for _, n := range w.Counts {
			ackedCounts[w.Window] += n
		}
		if ackedCounts[w.Window] != s.ackedCounts[w.Window] {
			changed = append(changed, w)
		}
	}
	return changed, ackedCounts
}

func (c *replicaClient) sendPoll(ctx context.Context, address string, state *pollState, own ownDemand) (*link.PollReply, error) {
	e := c.entry
	request := &link.PollRequest{
		Entry: e.options.Settings.Name, Incarnation: e.incarnation, ReplicaRun: state.replicaRun, RegistryVersion: state.registryVersion, CrashVersion: state.crashVersion, RateLimitVersion: state.rateLimitVersion,
		WaitMS: state.maxWait.Milliseconds(), Demand: own.workspaces, ServiceDemand: own.services, Load: e.board.Load(),
	}
	var ackedCounts map[uint64]int
	request.Usage, ackedCounts = state.unackedCounts(e.counter.Report(e.clock.Now()))
	var ackedCrashes uint64
	request.Crashes, ackedCrashes = e.crashes.ownRecords(state.ackedCrashes)
	var ackedRateLimits uint64
	request.RateLimits, ackedRateLimits = e.rateLimits.table.Changes(state.ackedRateLimits, true, time.Now())
	if active := e.active.Load(); active != nil {
		request.Generation = active.generation
	}
	params, err := link.Encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	data, err := e.options.Caller.Call(ctx, address, link.MethodPoll, params)
	if err != nil {
		return nil, err
	}
	reply := &link.PollReply{}
	if err := link.Decode(data, reply); err != nil {
		return nil, err
	}
	if state.replicaRun != 0 && state.replicaRun != reply.ReplicaRun {
		// The replica restarted and lost what it had acknowledged.
		ackedCrashes, ackedRateLimits, ackedCounts = 0, 0, nil
	}
	state.replicaRun, state.registryVersion = reply.ReplicaRun, reply.RegistryVersion
	state.crashVersion, state.rateLimitVersion = reply.CrashVersion, reply.RateLimitVersion
	state.ackedCrashes, state.ackedRateLimits, state.ackedCounts = ackedCrashes, ackedRateLimits, ackedCounts
	state.maxWait = partialPollWait
	if reply.PolledByAll {
		state.maxWait = pollWait
	}
	return reply, nil
}

// noteReplicas records which replicas and which leader a replica reported. The
// common quota counts as unavailable while a majority of the replicas knows no
// leader.
func (c *replicaClient) noteReplicas(address string, reply *link.PollReply) {
	if reply.IsLeader {
		c.leader.Store(&address)
	}
	now := time.Now()
	c.mu.Lock()
	c.plan.noteNamed(reply.Replicas, now)
	c.plan.noteAnswer(address, reply.Leader, now)
	leaderless := c.plan.countLeaderless(now)
	c.applyPlan()
	c.mu.Unlock()
	c.entry.quotas.SetLeaderless(len(reply.Replicas) > 0 && leaderless > len(reply.Replicas)/2)
}

// spend asks the leader for common quota if the local share of this entry cannot
// cover a request. If the leader does not answer in time, the local decision
// stands.
func (c *replicaClient) spend(ctx context.Context, workspace string, cost float64, ownDecision quota.Decision) quota.Decision {
	e := c.entry
	reply := &link.SpendReply{}
	err := c.callLeader(ctx, link.MethodSpend, &link.SpendRequest{Workspace: workspace, Cost: cost}, reply)
	var unknown *UnknownLeaderError
	if errors.As(err, &unknown) {
		return ownDecision
	}
	now := time.Now()
	if err != nil {
		e.log.Warn("Common quota not reached.", zap.String("workspace", workspace), zap.Error(err))
		e.quotas.RecordDenial(workspace, 0, now.Add(spendRetryPause))
		return ownDecision
	}
	if reply.Granted {
		return quota.Decision{Granted: true}
	}
	wait := time.Duration(reply.WaitMS) * time.Millisecond
	e.quotas.RecordDenial(workspace, cost, now.Add(min(wait, maxDenialTime)))
	return quota.Decision{Wait: min(wait, ownDecision.Wait)}
}

// UnknownLeaderError reports that no replica has answered as the leader yet.
type UnknownLeaderError struct{}

// Error implements error.
func (*UnknownLeaderError) Error() string { return "no leading replica is known" }

// callLeader asks the leading replica for a permission that one request needs.
func (c *replicaClient) callLeader(ctx context.Context, method string, request, reply any) error {
	leader := c.leader.Load()
	if leader == nil {
		return &UnknownLeaderError{}
	}
	params, err := link.Encode(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	data, err := c.entry.options.Caller.Call(ctx, *leader, method, params)
	if err != nil {
		return eris.Wrapf(err, "call leader %s", *leader)
	}
	return link.Decode(data, reply)
}

// applyReply applies the changes in the answer of a replica.
func (c *replicaClient) applyReply(address string, reply *link.PollReply, own ownDemand) {
	e := c.entry
	now := time.Now()
	if reply.Generation > 0 {
		e.apply(reply.Generation, reply.Document)
	}
	e.clock.Observe(address, time.Unix(0, reply.TimeNS), bootclock.Now())
	if reply.PolledByAll {
		e.quotas.SetTotal(demand.Total{Entries: reply.Entries, PerS: reply.Demand}, own.workspaces, now)
		e.rateLimits.setTotal(demand.Total{Entries: reply.Entries, PerS: reply.ServiceDemand}, own.services, now)
		e.setEntryCount(reply.Entries)
		c.entryCount.Store(int64(reply.Entries))
	}
	e.crashes.merge(address, reply.Crashes)
	e.rateLimits.merge(address, reply.RateLimits, now)
	// The shares are set after the endpoints, so that a new endpoint has its limit.
	defer e.rateLimits.apply(now)
	c.noteReplicas(address, reply)
	if !reply.FullUpdate && len(reply.Endpoints) == 0 {
		return
	}
	c.mu.Lock()
	if c.cancelPolls[address] == nil {
		c.mu.Unlock()
		return
	}
	c.directory.Apply(address, reply.Endpoints, reply.FullUpdate)
	list := c.directory.Endpoints()
	unusedAddresses := e.board.Update(list)
	c.mu.Unlock()
	e.migrations.moveFromDraining(list)
	e.migrations.forgetUnknown(list)
	for _, unused := range unusedAddresses {
		e.client.Forget(unused)
	}
	for i := range reply.Endpoints {
		view := &reply.Endpoints[i]
		e.log.Info("Endpoint changed.", zap.String("endpoint", view.Endpoint.ID), zap.String("service", view.Endpoint.Service),
			zap.Uint8("state", uint8(view.Endpoint.State)), zap.Bool("expired", view.Expired), zap.Uint64("seq", view.Endpoint.Seq), zap.String("replica", address))
	}
}
