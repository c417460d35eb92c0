package raft

func (r *Raft) reset(term uint64) {
	if r.term != term {
		r.term = term
		r.vote = 0
	}
	r.leader = 0
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.electionTimeout = r.cfg.ElectionTicks + r.cfg.Rand(r.cfg.ElectionTicks)
	r.votes = nil
	r.progress = nil
	r.transferee = 0
	r.uncommittedBytes = 0
	r.reads = readQueue{}
}

func (r *Raft) becomeFollower(term uint64, leader ID) {
	r.reset(term)
	r.role = Follower
	r.leader = leader
}

// campaign starts an election and requests votes. A pre-candidate requests them
// without entering a new term, so that a node that cannot win does not depose a
// working leader.
func (r *Raft) campaign(role Role, transfer bool) {
	term := r.term
	if role == Candidate {
		term++
	}
	r.reset(term)
	r.role = role
	kind, requestTerm := MsgPreVote, term+1
	if role == Candidate {
		r.vote = r.id
		kind, requestTerm = MsgVote, term
	}
	r.votes = map[ID]bool{r.id: true}
	if r.countVotes() {
		return
	}
	for _, m := range r.config().Voters {
		if m.ID != r.id {
			r.messages = append(r.messages, Message{
				Kind: kind, From: r.id, To: m.ID, Term: requestTerm,
				Index: r.log.last(), LogTerm: r.log.lastTerm(), Transfer: transfer,
			})
		}
	}
}

// countVotes moves to the next role when a majority granted its vote, and back
// to follower when so many refused that a majority can no longer be reached. It
// reports whether the role changed.
func (r *Raft) countVotes() bool {
	granted, refused := 0, 0
	config := r.config()
	for _, m := range config.Voters {
		vote, ok := r.votes[m.ID]
		if ok && vote {
			granted++
		}
		if ok && !vote {
			refused++
		}
	}
	switch {
	case granted >= config.Quorum() && r.role == PreCandidate:
		r.campaign(Candidate, false)
	case granted >= config.Quorum():
		r.becomeLeader()
	case len(config.Voters)-refused < config.Quorum():
		r.becomeFollower(r.term, 0)
	default:
		return false
	}
	return true
}

func (r *Raft) becomeLeader() {
	r.reset(r.term)
	r.role = Leader
	r.leader = r.id
	// The leader keeps its own progress even while its removal is being committed.
	r.progress = map[ID]*progress{r.id: {match: r.log.stable, next: r.log.last() + 1}}
	r.trackMembers()
	// A leader that is gone has been silent for longer than this node leads.
	if p := r.progress[r.lastLeader]; p != nil && r.lastLeader != r.id {
		p.silentTicks = r.leaderSilentTicks
	}
	// Entries of older terms can be committed only together with an entry of this term.
	if _, _, err := r.propose(EntryCommand, nil); err != nil {
		panicInvariant("append the first entry of a term: %v", err)
	}
	r.broadcastHeartbeat()
}

// inLeaderLease reports whether the node is the leader or received a message of
// its leader within the last ElectionTicks. It then grants no vote, except for a
// transfer that the leader itself initiated.
func (r *Raft) inLeaderLease() bool {
	return r.leader != 0 && (r.role == Leader || r.electionElapsed < r.cfg.ElectionTicks)
}

func (r *Raft) handlePreVote(m Message) {
	grant := m.Term > r.term && !r.inLeaderLease() && r.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgPreVoteReply, From: r.id, To: m.From, Term: m.Term}
	if !grant {
		reply.Term, reply.Reject = r.term, true
	}
	r.messages = append(r.messages, reply)
}

func (r *Raft) handleVote(m Message) {
	canVote := r.vote == m.From || r.vote == 0 && r.leader == 0
	grant := canVote && r.log.upToDate(m.Index, m.LogTerm)
	if grant {
		r.vote = m.From
		r.electionElapsed = 0
	}
	r.messages = append(r.messages, Message{
		Kind: MsgVoteReply, From: r.id, To: m.From, Term: r.term, Reject: !grant,
	})
}

func (r *Raft) handleVoteReply(m Message) {
	if r.votes == nil {
		return
	}
	if _, known := r.votes[m.From]; !known {
		r.votes[m.From] = !m.Reject
	}
	r.countVotes()
}

// TransferLeadership starts a transfer of leadership to a voter. The leader
// abandons the transfer after an election timeout.
func (r *Raft) TransferLeadership(to ID) error {
	if err := r.checkAcceptsProposals(); err != nil {
		return err
	}
	if to == r.id || !r.config().IsVoter(to) {
		return &ChangeError{Change: Change{Member: Member{ID: to}}, Reason: "the target is not another voter"}
	}
	r.transferee = to
	r.electionElapsed = 0
	r.finishTransfer(to)
	return nil
}

// finishTransfer asks the transferee to campaign once its log is as long as the leader's.
func (r *Raft) finishTransfer(id ID) {
	if r.transferee != id || r.progress[id].match != r.log.last() {
		return
	}
	r.send(Message{Kind: MsgTimeoutNow, To: id})
}
