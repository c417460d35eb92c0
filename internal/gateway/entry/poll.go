package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/gateway/demand"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/wait"
)

// ownDemand is the demand of this entry that a poll reports, and the time of the poll.
type ownDemand struct {
	workspaces, services map[string]float64
	// running is the number of running attempts by service.
	running  map[string]int
	polledAt bootclock.Instant
}

// pollState is what an entry and a replica have acknowledged to each other.
type pollState struct {
	// replicaRun identifies the run of the replica's process; the versions are those
	// of its registry, its crash records and its rate limits.
	replicaRun, registryVersion, crashVersion, rateLimitVersion uint64
	// peersID is that of the list of peers that the replica sent last.
	peersID uint64
	// rolloutVersion is that of the roll-out records that the replica sent last.
	rolloutVersion uint64
	// generation is that of the newest document that the replica offered.
	generation uint64
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

// poll polls one replica until ctx ends.
func (c *replicaClient) poll(ctx context.Context, address string) {
	e := c.entry
	state := &pollState{maxWait: pollWait}
	connected := false
	for ctx.Err() == nil {
		now := time.Now()
		own := ownDemand{workspaces: e.quotas.Demand(now), services: e.rateLimits.demand(now), running: e.board.Load(), polledAt: bootclock.Now()}
		reply, err := c.sendPoll(ctx, address, state, own)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.metrics.pollsFailed.Inc()
			if connected {
				e.log.Warn("State replica lost.", zap.String("replica", address), zap.Int64("ms", time.Since(now).Milliseconds()), zap.Error(err))
			}
			connected = false
			c.noteFailure(address)
			wait.For(ctx, pollRetryPause)
			continue
		}
		if !connected {
			e.log.Info("State replica reached.", zap.String("replica", address))
		}
		connected = true
		c.applyReply(address, reply, own)
	}
}

func (c *replicaClient) sendPoll(ctx context.Context, address string, state *pollState, own ownDemand) (*link.PollReply, error) {
	e := c.entry
	request := &link.PollRequest{
		Entry: e.options.Settings.Name, Incarnation: e.incarnation, ReplicaRun: state.replicaRun, RegistryVersion: state.registryVersion, CrashVersion: state.crashVersion, RateLimitVersion: state.rateLimitVersion,
		WaitMS: state.maxWait.Milliseconds(), Demand: own.workspaces, UsesLeases: true, ServiceDemand: own.services, Load: own.running, Work: e.board.Work(time.Now()),
		Offer: e.forwarding.offer(), PeersID: state.peersID,
		Rollouts: e.rollouts.Reports(e.board.RunningAtOthers), RolloutVersion: state.rolloutVersion,
	}
	var ackedCounts map[uint64]int
	request.LeaseID, request.LeaseEven = e.quotas.LeaseState()
	request.Usage, ackedCounts = state.unackedCounts(e.counter.Report(e.clock.Now()))
	var ackedCrashes uint64
	request.Crashes, ackedCrashes = e.crashes.ownRecords(state.ackedCrashes)
	var ackedRateLimits uint64
	request.RateLimits, ackedRateLimits = e.rateLimits.table.Changes(state.ackedRateLimits, true, time.Now())
	request.Generation = state.generation
	if active := e.active.Load(); active != nil {
		request.Generation = max(state.generation, active.generation)
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
	e.metrics.pollBytes.Add(int64(len(data)))
	reply := &link.PollReply{}
	if err := link.Decode(data, reply); err != nil {
		return nil, err
	}
	if state.replicaRun != 0 && state.replicaRun != reply.ReplicaRun {
		// The replica restarted and lost what it had acknowledged.
		ackedCrashes, ackedRateLimits, ackedCounts = 0, 0, nil
		state.generation = 0
	}
	state.generation = max(state.generation, reply.Generation)
	state.replicaRun, state.registryVersion = reply.ReplicaRun, reply.RegistryVersion
	state.rolloutVersion = reply.RolloutVersion
	state.crashVersion, state.rateLimitVersion = reply.CrashVersion, reply.RateLimitVersion
	if reply.PeersID != state.peersID {
		state.peersID = reply.PeersID
		c.updatePeers(address, reply.Peers)
	}
	state.ackedCrashes, state.ackedRateLimits, state.ackedCounts = ackedCrashes, ackedRateLimits, ackedCounts
	state.maxWait = partialPollWait
	if reply.PolledByAll {
		state.maxWait = pollWait
	}
	return reply, nil
}

// applyReply applies the changes in the answer of a replica.
func (c *replicaClient) applyReply(address string, reply *link.PollReply, own ownDemand) {
	e := c.entry
	now := time.Now()
	if reply.Generation > 0 {
		e.documents.offer(address, reply.Generation)
	}
	e.clock.Observe(address, time.Unix(0, reply.TimeNS), bootclock.Now())
	c.applyRollouts(address, reply, own.polledAt.Add(time.Duration(max(reply.RolloutHeldMS, 0))*time.Millisecond))
	defer func() { e.rollouts.SetReady(e.board.CountVersions) }()
	c.applyLease(reply, own, now)
	if reply.PolledByAll {
		e.rateLimits.setTotal(demand.Total{Entries: reply.Entries, Rank: reply.Rank, PerS: reply.ServiceDemand}, own.services, now)
		e.board.SetRunning(reply.Running, now)
		e.queues.setSums(reply.Running, own.running, now)
		e.setEntryCount(reply.Entries)
		c.entryCount.Store(int64(reply.Entries))
	}
	e.crashes.merge(address, reply.Crashes)
	e.rateLimits.merge(address, reply.RateLimits, now)
	// The shares are set after the endpoints, so that a new endpoint has its limit.
	defer e.rateLimits.apply(now)
	c.noteReplicas(address, reply)
	e.origins.noteRun(address, reply.ReplicaRun)
	c.dropInvalid(address, reply, now)
	c.mu.Lock()
	part := registry.Part{
		Views: reply.Endpoints, Full: reply.FullUpdate, More: reply.EndpointsFollow,
		Past: reply.PastVersions, Recorded: time.Duration(reply.RecordedMS) * time.Millisecond,
	}
	if c.cancelPolls[address] == nil || !c.directory.Apply(address, part, now) {
		c.mu.Unlock()
		return
	}
	list := c.directory.Endpoints()
	e.noteVersions(list)
	unusedAddresses := e.departures.updateBoard(list, now)
	e.noteWithdrawn(reply.Endpoints)
	c.mu.Unlock()
	e.queues.wakeAll()
	e.migrations.moveFromDraining(list)
	e.migrations.drains.forgetUnknown(list, time.Now())
	for _, unused := range unusedAddresses {
		e.client.Forget(unused)
	}
	for i := range reply.Endpoints {
		view := &reply.Endpoints[i]
		e.log.Info("Endpoint changed.", zap.String("endpoint", view.Endpoint.ID), zap.String("service", view.Endpoint.Service),
			zap.Uint8("state", uint8(view.Endpoint.State)), zap.Bool("expired", view.Expired), zap.String("software_version", view.Endpoint.SoftwareVersion), zap.Uint64("seq", view.Endpoint.Seq), zap.String("replica", address))
	}
}

// applyLease takes over the lease of quotas in the answer of a leader. A leader of a build
// without leases leaves the division to the entries: this one then takes the smaller of an
// even share and its part of the demand.
func (c *replicaClient) applyLease(reply *link.PollReply, own ownDemand, now time.Time) {
	total := demand.Total{Entries: reply.Entries, PerS: reply.Demand}
	c.entry.quotas.SetTotal(total)
	lease := reply.QuotaLease
	if reply.IsLeader && reply.PolledByAll && !reply.GrantsLeases {
		lease = quota.SelfLease(total, own.workspaces)
	}
	if lease != nil && lease.Even > 0 {
		c.entry.quotas.SetLease(lease, own.polledAt, now)
	}
}

// updatePeers applies the peers that a replica named, unless it is no longer polled. Those
// that cannot be used are left out; the others hold.
func (c *replicaClient) updatePeers(address string, list []link.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelPolls[address] == nil {
		return
	}
	list = slices.DeleteFunc(list, func(peer link.Peer) bool {
		usable := peer.IsUsable()
		if !usable {
			c.entry.log.Warn("Peer ignored.", zap.String("replica", address), zap.String("peer", peer.Name), zap.String("address", peer.Address))
		}
		return !usable
	})
	for _, unused := range c.entry.peers.Update(address, list) {
		c.entry.peerClient.Forget(unused)
	}
}

// dropInvalid removes endpoints that cannot be used from an answer, which a replica of
// another version may list. The others hold.
func (c *replicaClient) dropInvalid(address string, reply *link.PollReply, now time.Time) {
	reply.Endpoints = slices.DeleteFunc(reply.Endpoints, func(view registry.View) bool {
		err := view.Endpoint.Check(now)
		if err != nil {
			c.entry.log.Warn("Endpoint ignored.", zap.String("replica", address), zap.Error(err))
		}
		return err != nil
	})
}

// noteWithdrawn records which endpoints withdrew. The board must have been updated before.
func (e *Entry) noteWithdrawn(views []registry.View) {
	for i := range views {
		if endpoint := &views[i].Endpoint; endpoint.State == registry.Gone {
			e.board.RecordWithdrawn(endpoint.ID, endpoint.Born)
		}
	}
}
