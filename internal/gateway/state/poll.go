package state

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/bootclock"
	"github.com/boragelead/boragelead/internal/core/suspect"
	"github.com/boragelead/boragelead/internal/gateway/demand"
	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/meter"
	"github.com/boragelead/boragelead/internal/gateway/quota"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// maxPollWait bounds how long a poll waits for changes.
	maxPollWait = 5 * time.Second
	// maxReplyEndpoints limits the endpoints in one answer. A fresh entry asks for the
	// others at once.
	maxReplyEndpoints = 256
)

// handlePoll records what an entry reports and replies with the changes since its
// last poll. Without a change it replies when one occurs or when the wait that the
// entry requested has passed.
func (s *State) handlePoll(ctx context.Context, params []byte) ([]byte, error) {
	request := &link.PollRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	now := time.Now()
	s.entries.record(request, now)
	s.usage.Merge(meter.Source{Entry: request.Entry, Incarnation: request.Incarnation}, request.Usage)
	if request.ReplicaRun != s.runID {
		request.RegistryVersion, request.CrashVersion, request.RateLimitVersion = 0, 0, 0
	}
	if len(request.Crashes) > 0 {
		if _, err := s.suspects.Merge(request.Crashes, now); err != nil {
			s.log.Warn("Crash records of an entry not merged.", zap.String("entry", request.Entry), zap.Error(err))
		}
	}
	s.rateLimits.Merge(request.RateLimits, now)
	s.rollouts.Observe(request.Entry, request.Incarnation, request.Rollouts, now)
	reply := s.awaitUpdate(ctx, request)
	reply.GrantsLeases, reply.QuotaLease = true, s.leaseQuotas(request)
	if reply.IsLeader {
		reply.CommonInMS = s.commonQuota.StartsIn(time.Now()).Milliseconds()
	}
	data, err := link.Encode(reply)
	s.options.Metrics.Counter("state_poll_bytes").Add(int64(len(data)))
	return data, err
}

// leaseQuotas grants an entry its shares of the quotas; it returns nil while another replica
// leads or leases of the former leader may be in use.
func (s *State) leaseQuotas(request *link.PollRequest) *quota.Lease {
	table := s.currentRules()
	if table == nil || !s.hasLedFor(leaseHandover) {
		return nil
	}
	now := time.Now()
	totals := s.entries.totals(now)
	return s.leases.Grant(&quota.LeaseRequest{
		Entry: request.Entry, LastID: request.LeaseID, WithoutLeases: !request.UsesLeases, Demand: request.Demand,
		Total: demand.Total{Entries: totals.entries, PerS: totals.demand}, Workspaces: table.LimitedWorkspaces(),
	}, now)
}

// handleSpend grants a request of an entry from the common quota, the part of a
// quota that is not divided among the entries.
func (s *State) handleSpend(_ context.Context, params []byte) ([]byte, error) {
	request := &link.SpendRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	if !s.isLeader() {
		return nil, &NotLeaderError{}
	}
	table := s.currentRules()
	if table == nil {
		return nil, &NotLeaderError{}
	}
	workspace := table.Workspace(request.Workspace)
	if workspace == nil {
		return link.Encode(&link.SpendReply{})
	}
	spending := s.commonQuota.Take(workspace, request.Cost, max(request.Offered, 0), time.Now())
	return link.Encode(&link.SpendReply{Granted: spending.Granted, WaitMS: spending.Wait.Milliseconds(), Taken: spending.Taken})
}

// handlePartProbe grants an entry the probe of a quarantined prompt part.
func (s *State) handlePartProbe(_ context.Context, params []byte) ([]byte, error) {
	request := &link.PartProbeRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	if !s.isLeader() {
		return nil, &NotLeaderError{}
	}
	reply := &link.PartProbeReply{}
	if len(request.Part) == len(suspect.Fingerprint{}) {
		reply.Granted = s.suspects.TakePartProbe(suspect.Fingerprint(request.Part), time.Now())
	}
	return link.Encode(reply)
}

// NotLeaderError reports that the replica cannot grant from the common quota or
// grant a probe, because it is not the leader or has no rules yet.
type NotLeaderError struct{}

// Error implements error.
func (*NotLeaderError) Error() string { return "replica does not lead" }

func (s *State) awaitUpdate(ctx context.Context, request *link.PollRequest) *link.PollReply {
	timer := time.NewTimer(min(time.Duration(request.WaitMS)*time.Millisecond, maxPollWait))
	defer timer.Stop()
	arrivedAt := bootclock.Now()
	leaderChanged := s.leaderChange()
	for {
		crashed, crashReported := s.crashNews.since(request.CrashVersion)
		reply, changed, documentChanged, endpointsChanged := s.update(request)
		urgent, rolloutsChanged := s.addRollouts(request, reply, arrivedAt)
		if changed || crashed || urgent {
			return reply
		}
		select {
		case <-rolloutsChanged:
			continue
		case <-documentChanged:
			continue
		case <-endpointsChanged:
			continue
		case <-crashReported:
			wait.For(ctx, crashReplyDelay)
			continue
		case <-leaderChanged:
		case <-timer.C:
		case <-ctx.Done():
			return reply
		}
		// What the first reply says of the leader and of all entries is as old as the wait.
		reply, _, _, _ = s.update(request)
		s.addRollouts(request, reply, arrivedAt)
		return reply
	}
}

// update returns the reply to a poll, whether it contains anything that the entry
// does not have, and channels that are closed at the next change of the document
// or the endpoints.
func (s *State) update(request *link.PollRequest) (reply *link.PollReply, changed bool, documentChanged, endpointsChanged <-chan struct{}) {
	generation, documentChanged := s.replica.NewestGeneration()
	endpoints, endpointsChanged := s.registry.Since(request.RegistryVersion, maxReplyEndpoints)
	now := time.Now()
	sum := s.entries.totals(now)
	reply = &link.PollReply{
		ReplicaRun: s.runID, FullUpdate: request.ReplicaRun != s.runID,
		Endpoints: endpoints.Views, RegistryVersion: endpoints.Version, EndpointsFollow: endpoints.More,
		IsLeader: s.isLeader(), Leader: s.leaderAddress(), Replicas: s.members(),
		PolledByAll: s.hearsAll(), Entries: sum.entries, TimeNS: s.clock.Now().UnixNano(),
	}
	if reply.PolledByAll {
		reply.Demand, reply.ServiceDemand, reply.Running = sum.demand, sum.serviceDemand, sum.load
		reply.Rank = s.entries.rank(request.Entry)
	}
	reply.Crashes, reply.CrashVersion = s.crashesSince(request.CrashVersion, now)
	reply.RateLimits, reply.RateLimitVersion = s.rateLimits.Changes(request.RateLimitVersion, false, now)
	if peers := s.entries.peersOf(request.Entry); peers.id != request.PeersID {
		reply.Peers, reply.PeersID = peers.list, peers.id
	} else {
		reply.PeersID = request.PeersID
	}
	reply.RecordedMS = now.Sub(s.recordedSince).Milliseconds()
	if reply.FullUpdate {
		reply.PastVersions = s.registry.PastVersions(now)
	}
	if generation.Number > request.Generation {
		reply.Generation = generation.Number
	}
	return reply, reply.Generation > 0 || reply.FullUpdate || len(endpoints.Views) > 0, documentChanged, endpointsChanged
}

// crashesSince returns the encoded crash records that changed after a version, and
// the version that they reach.
func (s *State) crashesSince(version uint64, now time.Time) (data []byte, next uint64) {
	data, next, err := s.suspects.Changes(version, false, now)
	if err != nil {
		s.log.Warn("Crash records not encoded.", zap.Error(err))
		return nil, version
	}
	return data, next
}
