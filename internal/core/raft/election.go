package raft

func (r *Raft) reset(term uint64) {
	if r.term != term {
		r.term = term
		r.vote = 0
	}
	r.leader = 0
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.timeout = r.cfg.ElectionTicks + r.cfg.Rand(r.cfg.ElectionTicks)
	r.votes = nil
	r.progress = nil
	r.transferee = 0
	r.uncommitted = 0
	r.reads = readQueue{}
}

func (r *Raft) becomeFollower(term uint64, leader ID) {
	r.reset(term)
	r.role = Follower
	r.leader = leader
}

// campaign asks for votes. A pre-candidate asks without entering a new term, so
// that a node that cannot win does not disturb the others.
func (r *Raft) campaign(role Role, transfer bool) {
	term := r.term
	if role == Candidate {
		term++
	}
	r.reset(term)
	r.role = role
	kind, asked := MsgPreVote, term+1
	if role == Candidate {
		r.vote = r.id
		kind, asked = MsgVote, term
	}
	r.votes = map[ID]bool{r.id: true}
	if r.countVotes() {
		return
	}
	for _, m := range r.config().Voters {
		if m.ID != r.id {
			r.messages = append(r.messages, Message{
				Kind: kind, From: r.id, To: m.ID, Term: asked,
				Index: r.log.last(), LogTerm: r.log.lastTerm(), Transfer: transfer,
			})
		}
	}
}

// countVotes moves to the next role when a majority granted, or back when one refused.
func (r *Raft) countVotes() bool {
	granted, refused := 0, 0
	config := r.config()
	for _, m := range config.Voters {
		answer, ok := r.votes[m.ID]
		if ok && answer {
			granted++
		}
		if ok && !answer {
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
	// The leader tracks itself also while its own removal is being committed.
	r.progress = map[ID]*progress{r.id: {match: r.log.stable, next: r.log.last() + 1}}
	r.trackMembers()
	// Entries of older terms are committed only through one of this term.
	if _, _, err := r.propose(EntryCommand, nil); err != nil {
		invariant("open term: %v", err)
	}
	r.heartbeat()
}

// leased reports whether the node heard its leader so recently that it refuses to help replace it.
func (r *Raft) leased() bool {
	return r.leader != 0 && (r.role == Leader || r.electionElapsed < r.cfg.ElectionTicks)
}

func (r *Raft) handlePreVote(m Message) {
	grant := m.Term > r.term && !r.leased() && r.log.upToDate(m.Index, m.LogTerm)
	reply := Message{Kind: MsgPreVoteReply, From: r.id, To: m.From, Term: m.Term}
	if !grant {
		reply.Term, reply.Reject = r.term, true
	}
	r.messages = append(r.messages, reply)
}

func (r *Raft) handleVote(m Message) {
	free := r.vote == m.From || r.vote == 0 && r.leader == 0
	grant := free && r.log.upToDate(m.Index, m.LogTerm)
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

// Transfer makes the leader hand its role to a voter. It is given up after an election timeout.
func (r *Raft) Transfer(to ID) error {
	if err := r.accepting(); err != nil {
		return err
	}
	if to == r.id || !r.config().IsVoter(to) {
		return &ChangeError{Change: Change{Member: Member{ID: to}}, Reason: "not another voter"}
	}
	r.transferee = to
	r.electionElapsed = 0
	r.finishTransfer(to)
	return nil
}

// finishTransfer tells the transferee to campaign once it holds the whole log.
func (r *Raft) finishTransfer(id ID) {
	if r.transferee != id || r.progress[id].match != r.log.last() {
		return
	}
	r.send(Message{Kind: MsgTimeoutNow, To: id})
}
