package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
	"github.com/boragelead/boragelead/internal/gateway/quota"
)

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

// notifyLeader sends a message to the leading replica without waiting for an answer.
func (c *replicaClient) notifyLeader(ctx context.Context, method string, message any) error {
	leader := c.leader.Load()
	if leader == nil {
		return &UnknownLeaderError{}
	}
	params, err := link.Encode(message)
	if err != nil {
		return err
	}
	return eris.Wrapf(c.entry.options.Caller.Notify(ctx, *leader, method, params), "notify leader %s", *leader)
}
