package raft

// Step takes a message from another node. Messages for another identity are dropped.
func (r *Raft) Step(m Message) {
	if m.To != r.id || m.From == r.id || m.From == 0 {
		return
	}
	if m.Term > r.term && !r.stepHigher(m) {
		return
	}
	if m.Term < r.term {
		r.stepLower(m)
		return
	}
	r.stepSame(m)
}

// stepHigher takes over a higher term. It reports whether the message is still to be handled.
func (r *Raft) stepHigher(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		r.handlePreVote(m)
		return false
	case MsgPreVoteReply:
		if m.Reject {
			r.becomeFollower(m.Term, 0)
			return false
		}
		if r.role == PreCandidate && m.Term == r.term+1 {
			r.handleVoteReply(m)
		}
		return false
	case MsgVote:
		if r.leased() && !m.Transfer {
			return false
		}
		r.becomeFollower(m.Term, 0)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, 0)
	}
	return true
}

// stepLower answers what shows that the sender does not know the present term.
func (r *Raft) stepLower(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		// Without an answer a leader of an old term would wait for its check period.
		r.messages = append(r.messages, Message{Kind: MsgHeartbeatReply, From: r.id, To: m.From, Term: r.term})
	case MsgPreVote:
		r.handlePreVote(m)
	}
}

func (r *Raft) stepSame(m Message) {
	switch m.Kind {
	case MsgPreVote:
		r.handlePreVote(m)
	case MsgPreVoteReply:
		if r.role == PreCandidate && m.Reject {
			r.handleVoteReply(m)
		}
	case MsgVote:
		r.handleVote(m)
	case MsgVoteReply:
		if r.role == Candidate {
			r.handleVoteReply(m)
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		r.stepFollower(m)
	case MsgAppendReply, MsgHeartbeatReply:
		if p := r.progress[m.From]; r.role == Leader && p != nil {
			r.stepLeader(m, p)
		}
	case MsgTimeoutNow:
		if r.promotable() && r.role == Follower {
			r.campaign(Candidate, true)
		}
	}
}

// stepFollower takes a message of the leader of the present term.
func (r *Raft) stepFollower(m Message) {
	if r.role == Leader {
		invariant("second leader %x in term %d", uint64(m.From), r.term)
	}
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(r.term, m.From)
	}
	r.electionElapsed = 0
	switch m.Kind {
	case MsgAppend:
		r.handleAppend(m)
	case MsgHeartbeat:
		r.commitTo(min(m.Commit, r.log.last()))
		r.send(Message{Kind: MsgHeartbeatReply, To: m.From, Seq: m.Seq})
	case MsgSnapshot:
		r.handleSnapshot(m)
	}
}

func (r *Raft) handleAppend(m Message) {
	reply := Message{Kind: MsgAppendReply, To: m.From, Index: m.Index}
	if m.Index < r.log.commit {
		reply.Index = r.log.commit
		r.send(reply)
		return
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Hint, reply.HintTerm = r.log.findAtOrBelow(m.Index, m.LogTerm)
		r.send(reply)
		return
	}
	for _, e := range m.Entries[r.acceptFrom(m.Entries):] {
		if err := r.appendEntry(e); err != nil {
			invariant("configuration at %d does not decode: %v", e.Index, err)
		}
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, reply.Index))
	r.send(reply)
}

// acceptFrom removes a conflicting tail and returns the position of the first new entry.
func (r *Raft) acceptFrom(entries []Entry) int {
	at := r.log.conflict(entries)
	if at < len(entries) && entries[at].Index <= r.log.last() {
		r.truncate(entries[at].Index)
	}
	return at
}

func (r *Raft) handleSnapshot(m Message) {
	s := m.Snapshot
	reply := Message{Kind: MsgAppendReply, To: m.From, Index: r.log.commit}
	if s == nil || s.Index <= r.log.commit {
		r.send(reply)
		return
	}
	if r.log.matches(s.Index, s.Term) {
		// The log already holds everything up to the snapshot.
		r.commitTo(s.Index)
		reply.Index = s.Index
		r.send(reply)
		return
	}
	r.log.reset(s.Index, s.Term)
	r.configs = []configAt{{s.Index, s.Config}}
	r.install = s
	reply.Index = s.Index
	r.send(reply)
}

func (r *Raft) commitTo(index uint64) {
	if index > r.log.commit {
		r.log.commit = index
	}
}

// send queues a message of the present term. Appends and heartbeats of a leader
// may leave before the writes of the batch, but not before the term itself is
// synced: a single voter enters a term and leads it in one batch, and after a
// crash it would lead the same term with other entries.
func (r *Raft) send(m Message) {
	m.From, m.Term = r.id, r.term
	leading := m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
	if leading && r.saved.Term == r.term {
		r.early = append(r.early, m)
		return
	}
	r.messages = append(r.messages, m)
}
