package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
)

// quotaSource tells which part of a quota covered a request.
type quotaSource string

const (
	quotaFromShare  quotaSource = "share"
	quotaFromCommon quotaSource = "common"
)

// quotaCharge is what was charged to a quota for a request.
type quotaCharge struct {
	source quotaSource
	// cost is in units of the quota.
	cost float64
}

// takeQuota spends the cost of a request from the quota of its workspace: from the share
// of this entry, or from the common quota of the leader together with what is left of the
// share. denied is nil if the request is covered.
func (e *Entry) takeQuota(ctx context.Context, workspace string, cost float64) (source quotaSource, denied *QuotaError) {
	decision := e.quotas.Take(workspace, cost, time.Now())
	if decision.Granted {
		return quotaFromShare, nil
	}
	denied = &QuotaError{Workspace: workspace, Cost: cost, Wait: decision.Wait}
	if decision.AskCommon && e.replicaClient.spend(ctx, denied, decision.Offered) {
		return quotaFromCommon, nil
	}
	denied.Basis = e.quotas.Basis(workspace)
	return "", denied
}

// spend asks the leader for common quota and offers it a part of the share of this entry. If
// the leader denies it, spend records the leader and when the request could be granted.
func (c *replicaClient) spend(ctx context.Context, r *QuotaError, offered float64) (granted bool) {
	e := c.entry
	request := &link.SpendRequest{Workspace: r.Workspace, Cost: r.Cost, Offered: offered}
	reply := &link.SpendReply{}
	// The answer settles the offer also if the caller leaves meanwhile.
	leader, err := c.callLeader(context.WithoutCancel(ctx), link.MethodSpend, request, reply)
	var unknown *UnknownLeaderError
	if errors.As(err, &unknown) {
		e.quotas.Settle(r.Workspace, offered, 0)
		return false
	}
	now := time.Now()
	if err != nil {
		e.log.Warn("Common quota not reached.", zap.String("workspace", r.Workspace), zap.Float64("offered", offered), zap.Error(err))
		e.quotas.Fail(r.Workspace, now.Add(spendRetryPause))
		return false
	}
	e.quotas.Settle(r.Workspace, offered, reply.Taken)
	if reply.Granted {
		return true
	}
	wait := time.Duration(reply.WaitMS) * time.Millisecond
	e.quotas.RecordDenial(r.Workspace, r.Cost, now.Add(min(wait, maxDenialTime)))
	r.Leader, r.Wait = leader, min(wait, r.Wait)
	return false
}

// UnknownLeaderError reports that no replica has answered as the leader yet.
type UnknownLeaderError struct{}

// Error implements error.
func (*UnknownLeaderError) Error() string { return "no leading replica is known" }

// callLeader asks the leading replica for a permission that one request needs, and
// returns its address.
func (c *replicaClient) callLeader(ctx context.Context, method string, request, reply any) (leader string, err error) {
	return c.callLeaderWithin(ctx, leaderCallTimeout, method, request, reply)
}

// callLeaderWithin calls the leading replica, which may delay its answer, and returns its
// address.
func (c *replicaClient) callLeaderWithin(ctx context.Context, timeout time.Duration, method string, request, reply any) (leader string, err error) {
	known := c.leader.Load()
	if known == nil {
		return "", &UnknownLeaderError{}
	}
	leader = *known
	params, err := link.Encode(request)
	if err != nil {
		return leader, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := c.entry.options.Caller.Call(ctx, leader, method, params)
	if err != nil {
		return leader, eris.Wrapf(err, "call leader %s", leader)
	}
	return leader, link.Decode(data, reply)
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
