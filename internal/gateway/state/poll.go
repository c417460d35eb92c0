package state

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/meter"
)

// maxPollWait bounds how long a poll is held.
const maxPollWait = 5 * time.Second

// handlePoll takes what an entry counted and answers with news, at once where
// there is some and otherwise after the wait that the entry asked for.
func (s *State) handlePoll(ctx context.Context, params []byte) ([]byte, error) {
	request := &link.PollRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	now := time.Now()
	s.entries.note(request, now)
	s.usage.Merge(meter.Source{Entry: request.Entry, Incarnation: request.Incarnation}, request.Usage)
	if request.Run != s.run {
		request.Change, request.Marks = 0, 0
	}
	if len(request.Crashes) > 0 {
		if err := s.marks.Merge(request.Crashes, now); err != nil {
			s.log.Warn("Marks of crashes not taken.", zap.String("entry", request.Entry), zap.Error(err))
		}
	}
	return link.Encode(s.await(ctx, request))
}

// handleSpend grants a part of a quota that is not divided among the entries.
func (s *State) handleSpend(_ context.Context, params []byte) ([]byte, error) {
	request := &link.SpendRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	if !s.leads() {
		return nil, &NotLeaderError{}
	}
	table := s.rules()
	if table == nil {
		return nil, &NotLeaderError{}
	}
	workspace := table.Workspace(request.Workspace)
	if workspace == nil {
		return link.Encode(&link.SpendReply{})
	}
	wait, ok := s.common.Take(workspace, request.Cost, time.Now())
	return link.Encode(&link.SpendReply{Granted: ok, WaitMS: wait.Milliseconds()})
}

// NotLeaderError says that the replica does not hold the common quota.
type NotLeaderError struct{}

// Error implements error.
func (*NotLeaderError) Error() string { return "replica does not lead" }

func (s *State) await(ctx context.Context, request *link.PollRequest) *link.PollReply {
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxPollWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		reply, news, document, endpoints := s.news(request)
		if news {
			return reply
		}
		select {
		case <-document:
		case <-endpoints:
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return reply
		}
	}
}

// news returns what an entry does not have yet, and channels that are closed
// when there is more.
func (s *State) news(request *link.PollRequest) (reply *link.PollReply, news bool, document, endpoints <-chan struct{}) {
	generation, document := s.replica.Newest()
	list, change, endpoints := s.registry.Since(request.Change)
	now := time.Now()
	sum := s.entries.totals(now)
	reply = &link.PollReply{
		Run: s.run, Whole: request.Run != s.run, Endpoints: list, Change: change,
		Leads: s.leads(), Leader: s.leaderAddress(), Replicas: s.members(),
		HearsAll: s.hearsAll(), Entries: sum.entries, TimeNS: s.clock.Now().UnixNano(),
	}
	if reply.HearsAll {
		reply.Demand = sum.demand
	}
	reply.Crashes, reply.Marks = s.marksSince(request.Marks, now)
	if generation.Number > request.Generation {
		reply.Generation = generation.Number
		reply.Document = generation.Document
	}
	return reply, reply.Generation > 0 || reply.Whole || len(list) > 0, document, endpoints
}

// marksSince returns the marks that changed after a version.
func (s *State) marksSince(version uint64, now time.Time) (data []byte, next uint64) {
	data, next, err := s.marks.Changes(version, false, now)
	if err != nil {
		s.log.Warn("Marks of crashes not encoded.", zap.Error(err))
		return nil, version
	}
	return data, next
}
