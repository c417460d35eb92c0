package state

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/registry"
	"github.com/boragelead/boragelead/internal/gateway/rollout"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/settings"
	"github.com/boragelead/boragelead/internal/wait"
)

const (
	// rolloutRetryPause is the pause between attempts to carry out an order, for example
	// while there is no leader.
	rolloutRetryPause = 25 * time.Millisecond
	// rolloutCallTimeout bounds one attempt to pass an order to the leader.
	rolloutCallTimeout = 800 * time.Millisecond
	// maxRolloutConflicts bounds the compare-and-set attempts of one order.
	maxRolloutConflicts = 16
)

// StartRollout carries out an order of an operator, or acknowledges it if the newest roll-out
// of the service has the same order. It returns after the record is committed to the log.
// The error is a *rollout.UnknownServiceError, a *rollout.RunningError or a
// *port.NoQuorumError, after which the order may still take effect.
func (s *State) StartRollout(ctx context.Context, order rollout.Order, operator string) (rollout.Record, error) {
	return s.sendOrderToLeader(ctx, &link.RolloutRequest{
		Service: order.Service, To: order.To, DurationMS: order.Duration.Milliseconds(), Operator: operator,
	})
}

// AbortRollout reverts the roll-out of a service that runs. It changes nothing if the newest
// one is reverted already. The error is a *rollout.NoneError, a *rollout.EndedError or a
// *port.NoQuorumError.
func (s *State) AbortRollout(ctx context.Context, service, operator string) (rollout.Record, error) {
	return s.sendOrderToLeader(ctx, &link.RolloutRequest{Service: service, Abort: true, Operator: operator})
}

// Rollout returns the newest roll-out of a service by a linearizable read. The error is a
// *rollout.NoneError or one of the ledger.
func (s *State) Rollout(ctx context.Context, service string) (rollout.Record, error) {
	table, err := s.readRollouts(ctx)
	if err != nil {
		return rollout.Record{}, err
	}
	if r := table.of(service); r != nil {
		return *r, nil
	}
	return rollout.Record{}, &rollout.NoneError{Service: service}
}

// sendOrderToLeader passes an order to the leader, which knows the entries, until it is
// answered or ctx ends.
func (s *State) sendOrderToLeader(ctx context.Context, request *link.RolloutRequest) (rollout.Record, error) {
	failure := &port.NoQuorumError{Group: "main", Err: &NotLeaderError{}}
	for {
		reply, err := s.passOrder(ctx, request)
		if err == nil {
			return reply.Record, refusalError(request, reply)
		}
		failure.Err, failure.Proposed = err, true
		if !wait.For(ctx, rolloutRetryPause) {
			return rollout.Record{}, failure
		}
	}
}

// passOrder makes one attempt to have the order carried out by the leader that this replica
// knows.
func (s *State) passOrder(ctx context.Context, request *link.RolloutRequest) (*link.RolloutReply, error) {
	leader := s.leaderAddress()
	if leader == s.address {
		return s.carryOutOrder(ctx, request)
	}
	if leader == "" {
		return nil, &NotLeaderError{}
	}
	params, err := link.Encode(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	data, err := s.options.RPC.Call(ctx, leader, link.MethodRollout, params)
	if err != nil {
		return nil, err
	}
	reply := &link.RolloutReply{}
	return reply, link.Decode(data, reply)
}

// refusalError returns the typed error of a refused order, or nil.
func refusalError(request *link.RolloutRequest, reply *link.RolloutReply) error {
	switch reply.Refusal {
	case link.RolloutAccepted:
		return nil
	case link.RolloutUnknownService:
		return &rollout.UnknownServiceError{Service: request.Service}
	case link.RolloutRunning:
		return &rollout.RunningError{Service: request.Service, To: reply.Record.To}
	case link.RolloutEnded:
		return &rollout.EndedError{Service: request.Service, To: reply.Record.To}
	case link.RolloutNone:
		return &rollout.NoneError{Service: request.Service}
	}
	return &port.NoQuorumError{Group: "main", Err: &UnknownRefusalError{Refusal: reply.Refusal}}
}

// UnknownRefusalError reports a refusal that a leader of a newer build gave.
type UnknownRefusalError struct{ Refusal link.RolloutRefusal }

// Error implements error.
func (*UnknownRefusalError) Error() string { return "leader refused the order for an unknown reason" }

// handleRollout carries out an order that another replica passes on.
func (s *State) handleRollout(ctx context.Context, params []byte) ([]byte, error) {
	request := &link.RolloutRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	reply, err := s.carryOutOrder(ctx, request)
	if err != nil {
		return nil, err
	}
	return link.Encode(reply)
}

// carryOutOrder carries out an order at the leader.
func (s *State) carryOutOrder(ctx context.Context, request *link.RolloutRequest) (*link.RolloutReply, error) {
	if !s.isLeader() || !s.options.Settings.Bounds.OffersRollouts() {
		return nil, &NotLeaderError{}
	}
	if err := s.awaitVoters(ctx); err != nil {
		return nil, err
	}
	for range maxRolloutConflicts {
		table, err := s.readRollouts(ctx)
		if err != nil {
			return nil, err
		}
		reply, err := s.decideOrder(request, &table)
		if err != nil || reply.Refusal != link.RolloutAccepted || reply.Record.Revision != 0 {
			return reply, err
		}
		next := table.with(reply.Record, s.isServiceGone)
		err = s.writeRollouts(ctx, &next)
		var conflict *RolloutConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			return nil, err
		}
		reply.Record = *next.of(request.Service)
		s.log.Info("Roll-out ordered.", append(recordFields(&reply.Record), zap.Bool("abort", request.Abort), zap.String("operator", request.Operator))...)
		return reply, nil
	}
	return nil, &port.NoQuorumError{Group: "main", Err: errTooManyChanges}
}

// decideOrder returns the answer to an order. A record with revision 0 in an accepted answer
// still has to be written. The error is a *NotLeaderError while this replica does not know
// enough to decide.
func (s *State) decideOrder(request *link.RolloutRequest, table *rolloutTable) (*link.RolloutReply, error) {
	newest := table.of(request.Service)
	if request.Abort {
		return s.decideAbort(newest), nil
	}
	order := rollout.Order{Service: request.Service, To: request.To, Duration: time.Duration(request.DurationMS) * time.Millisecond}
	switch {
	case newest != nil && newest.Repeats(order):
		return &link.RolloutReply{Record: *newest}, nil
	case newest != nil && !newest.Ended():
		return &link.RolloutReply{Refusal: link.RolloutRunning, Record: *newest}, nil
	}
	rules := s.currentRules()
	if rules == nil || !s.knowsFleet() {
		return nil, &NotLeaderError{}
	}
	if s.isServiceGone(request.Service) {
		return &link.RolloutReply{Refusal: link.RolloutUnknownService}, nil
	}
	now := s.clock.Now()
	bounds := rollout.Bounds{Share: s.options.Settings.Bounds.ExposureShare, Allowance: s.options.Settings.Bounds.ExposureAllowance}
	record := rollout.NewRecord(order, newRolloutID(), bounds, s.entries.totals(time.Now()).entries, now)
	if starters := rollout.ChooseStarters(s.entries.demandFor(order.Service, time.Now()), bounds); len(starters) > 0 {
		record.Starters = starters
	}
	if servesAlone(s.registry.Live(), order.Service, order.To) {
		record = record.End(rollout.Completed, rollout.ReasonSoleVersion, now)
	}
	return &link.RolloutReply{Record: record}, nil
}

// decideAbort returns the answer to an order to revert the newest roll-out of a service.
func (s *State) decideAbort(newest *rollout.Record) *link.RolloutReply {
	switch {
	case newest == nil:
		return &link.RolloutReply{Refusal: link.RolloutNone}
	case newest.Phase == rollout.Completed:
		return &link.RolloutReply{Refusal: link.RolloutEnded, Record: *newest}
	case newest.Phase == rollout.Reverted:
		return &link.RolloutReply{Record: *newest}
	}
	record := newest.End(rollout.Reverted, rollout.ReasonAborted, s.clock.Now())
	record.Revision = 0
	return &link.RolloutReply{Record: record}
}

// registryHeartbeats is the number of heartbeat intervals after its start in which a replica
// hears from all live endpoints.
const registryHeartbeats = 2

// knowsFleet reports whether this replica has had the time to hear from all entries and
// endpoints.
func (s *State) knowsFleet() bool {
	return s.hearsAll() && time.Since(s.started) > registryHeartbeats*settings.Millis(s.options.Settings.Bounds.HeartbeatMS)
}

// isServiceGone reports whether the rules in force do not have a service. Without rules it
// reports false.
func (s *State) isServiceGone(service string) bool {
	table := s.currentRules()
	if table == nil {
		return false
	}
	for i := range table.Document.Services {
		if table.Document.Services[i].Name == service {
			return false
		}
	}
	return true
}

// servesAlone reports whether a service has endpoints, and all of them have the version.
func servesAlone(live []registry.Endpoint, service, version string) bool {
	found := false
	for i := range live {
		if live[i].Service != service {
			continue
		}
		if live[i].SoftwareVersion != version {
			return false
		}
		found = true
	}
	return found
}

// newRolloutID returns a random ID, which is not 0.
func newRolloutID() uint64 { return rand.Uint64() | 1 }

// recordFields returns the fields that describe a roll-out in log lines.
func recordFields(r *rollout.Record) []zap.Field {
	return []zap.Field{
		zap.String("service", r.Service), zap.String("to", r.To), zap.Stringer("state", r.Phase), zap.String("reason", r.Reason),
		zap.Uint64("id", r.ID), zap.Uint64("revision", r.Revision), zap.Int64("duration_ms", r.DurationMS), zap.Int("entries", r.Entries),
	}
}
