package replica

import (
	"context"
	"errors"
	"time"

	"github.com/boragelead/boragelead/internal/core/ledger"
	"github.com/boragelead/boragelead/internal/core/raft"
	"github.com/boragelead/boragelead/internal/port"
)

// maxWatchWait is the longest wait of one long poll.
const maxWatchWait = 30 * time.Second

type handler func(context.Context, *request) reply

func (r *Replica) handlers() map[string]handler {
	return map[string]handler{
		MethodPropose:  r.handlePropose,
		MethodRead:     r.handleRead,
		MethodWatch:    r.handleWatch,
		MethodIdentify: r.handleIdentify,
		MethodJoin:     r.handleJoin,
		MethodMember:   r.handleMember,
		MethodStatus:   r.handleStatus,
	}
}

func (r *Replica) register() {
	r.opts.Server.Handle(MethodStep, r.network.handleStep)
	r.opts.Server.Handle(MethodSnapshot, r.network.handleSnapshot)
	for method := range r.handlers() {
		r.opts.Server.Handle(method, func(ctx context.Context, params []byte) ([]byte, error) {
			return r.dispatch(ctx, method, params)
		})
	}
}

// dispatch decodes the request of a ledger method, calls its handler and encodes the reply.
func (r *Replica) dispatch(ctx context.Context, method string, params []byte) ([]byte, error) {
	var req request
	if err := unmarshal(params, &req); err != nil {
		return nil, err
	}
	var answer reply
	select {
	case <-r.running:
		answer = r.callHandler(ctx, method, &req)
	default:
		// A replica that belongs to no cluster only answers MethodIdentify.
		answer = reply{Error: &ReplyError{Code: CodeStopped, Reason: "not in a cluster yet"}}
		if method == MethodIdentify {
			answer = r.handleIdentify(ctx, &req)
		}
	}
	return marshal(&answer), nil
}

func (r *Replica) callHandler(ctx context.Context, method string, req *request) reply {
	if req.Group != r.opts.Group {
		return reply{Error: &ReplyError{Code: CodeWrongGroup, Reason: r.opts.Group}}
	}
	handle := r.handlers()[method]
	if handle == nil {
		return reply{Error: &ReplyError{Code: CodeInvalid, Reason: "unknown method " + method}}
	}
	return handle(ctx, req)
}

func (r *Replica) handleIdentify(context.Context, *request) reply {
	return reply{Status: &Status{Group: r.opts.Group, Cluster: r.clusterID.Load(), Address: r.opts.Address}}
}

func (r *Replica) handlePropose(ctx context.Context, req *request) reply {
	p := &proposal{data: req.Command, lease: req.Lease, answer: make(chan reply, 1)}
	if p.lease == nil {
		c, err := ledger.DecodeCommand(p.data)
		if err != nil {
			return reply{Error: &ReplyError{Code: CodeInvalid, Reason: err.Error()}}
		}
		if c.Tick != nil || c.Open != nil || c.Lease != nil {
			return reply{Error: &ReplyError{Code: CodeInvalid, Reason: "command of the leader"}}
		}
	}
	return r.awaitOutcome(ctx, p)
}

// awaitOutcome passes a proposal to the event loop and waits for its outcome.
func (r *Replica) awaitOutcome(ctx context.Context, p *proposal) reply {
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return reply{Error: &ReplyError{Code: CodeBusy, Reason: "queue is full"}}
	case <-r.ctx.Done():
		return reply{Error: &ReplyError{Code: CodeStopped}}
	}
	select {
	case answer := <-p.answer:
		return answer
	case <-ctx.Done():
		return reply{Error: &ReplyError{Code: CodeLost, Reason: "no answer in time"}}
	case <-r.ctx.Done():
		return reply{Error: &ReplyError{Code: CodeLost, Reason: "replica stops"}}
	}
}

// acceptProposal runs in the event loop. It proposes p to raft and records it as pending.
func (r *Replica) acceptProposal(p *proposal) {
	index, term, err := r.propose(p)
	if err != nil {
		p.answer <- reply{Error: r.replyError(err)}
		return
	}
	if index == 0 {
		p.answer <- reply{}
		return
	}
	p.term = term
	r.pending[index] = p
}

// propose proposes p to raft. It returns index 0 for a membership change that is already
// in force.
func (r *Replica) propose(p *proposal) (index, term uint64, err error) {
	switch {
	case p.change != nil:
		s := r.raft.Status()
		if s.Role == raft.Leader && r.raft.ConfigCommitted() && alreadyInForce(&s.Config, *p.change) {
			return 0, 0, nil
		}
		return r.raft.ProposeChange(*p.change)
	case p.lease != nil:
		now := time.Now()
		lease := *p.lease
		lease.Elapsed = max(0, now.Sub(r.timeReplicatedUntil))
		command := ledger.Command{Lease: &lease}
		data, err := command.Encode()
		if err != nil {
			return 0, 0, err
		}
		index, term, err = r.raft.Propose(data)
		if err == nil {
			r.timeReplicatedUntil = now
		}
		return index, term, err
	default:
		return r.raft.Propose(p.data)
	}
}

// replyError converts an error of raft to a ReplyError.
func (r *Replica) replyError(err error) *ReplyError {
	var notLeader *raft.NotLeaderError
	var busy *raft.BusyError
	switch {
	case errors.As(err, &notLeader):
		r.updateLeader()
		return &ReplyError{Code: CodeNotLeader, Leader: r.network.leaderAddress(), Reason: err.Error()}
	case errors.As(err, &busy):
		return &ReplyError{Code: CodeBusy, Reason: err.Error()}
	default:
		return &ReplyError{Code: CodeInvalid, Reason: err.Error()}
	}
}

// updateLeader passes the ID and the address of the current leader to the network.
func (r *Replica) updateLeader() {
	_, _, leader := r.raft.Role()
	if address, ok := r.raft.Address(leader); ok {
		r.network.setAddress(leader, address)
	}
	r.network.setLeader(leader)
}

func (r *Replica) handleRead(ctx context.Context, req *request) reply {
	call := &readCall{answer: make(chan reply, 1), view: func() reply {
		switch req.Read {
		case readHistory:
			return reply{Generations: r.ledger.History(req.Limit)}
		case readRunning:
			return reply{Running: r.ledger.Running()}
		case readRecords:
			return reply{ReadsRecords: true, Records: r.ledger.NewestRecords(req.Prefix)}
		default:
			return reply{Generations: []port.Generation{r.ledger.Current()}}
		}
	}}
	r.submit(func() {
		r.lastReadContext++
		if err := r.raft.ReadIndex(r.lastReadContext); err != nil {
			call.answer <- reply{Error: r.replyError(err)}
			return
		}
		r.reads[r.lastReadContext] = call
	})
	return r.awaitReply(ctx, call.answer)
}

func (r *Replica) awaitReply(ctx context.Context, answer <-chan reply) reply {
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return reply{Error: &ReplyError{Code: CodeBusy, Reason: "no answer in time"}}
	case <-r.ctx.Done():
		return reply{Error: &ReplyError{Code: CodeStopped}}
	}
}

func (r *Replica) handleStatus(ctx context.Context, _ *request) reply {
	answer := make(chan reply, 1)
	r.submit(func() { answer <- reply{Status: r.status()} })
	return r.awaitReply(ctx, answer)
}

// status runs in the event loop.
func (r *Replica) status() *Status {
	s := r.raft.Status()
	r.updateLeader()
	roles := map[raft.Role]string{
		raft.Follower: "follower", raft.PreCandidate: "candidate", raft.Candidate: "candidate", raft.Leader: RoleLeader,
	}
	status := &Status{
		Group: r.opts.Group, Replica: s.ID, Cluster: r.clusterID.Load(), Address: r.opts.Address,
		Role: roles[s.Role], Term: s.Term, Leader: r.network.leaderAddress(), Commit: s.Commit, Applied: s.Applied,
		Config: s.Config, Match: s.Match, Active: s.Active,
		Generation: r.ledger.Current().Number, Claims: r.ledger.ClaimCount(), Syncs: r.wal.Syncs(),
	}
	if s.Role == raft.Follower && s.Config.IsLearner(s.ID) {
		status.Role = "learner"
	}
	return status
}

// ConfirmLeadership returns nil if this replica leads and a majority has acknowledged
// its leadership since the call.
func (r *Replica) ConfirmLeadership(ctx context.Context) error {
	select {
	case <-r.running:
	default:
		return &ReplyError{Code: CodeStopped, Reason: "not in a cluster yet"}
	}
	answer := r.handleRead(ctx, &request{Group: r.opts.Group, Read: readRunning})
	if answer.Error != nil {
		return answer.Error
	}
	return nil
}

// LocalStatus returns the status of this replica.
func (r *Replica) LocalStatus(ctx context.Context) (*Status, error) {
	select {
	case <-r.running:
	default:
		return nil, &ReplyError{Code: CodeStopped, Reason: "not in a cluster yet"}
	}
	answer := r.handleStatus(ctx, nil)
	if answer.Error != nil {
		return nil, answer.Error
	}
	return answer.Status, nil
}
