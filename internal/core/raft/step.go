package raft

// Step processes a message from another node. Messages for another ID are dropped.
func (r *Raft) Step(m Message) {
	if m.To != r.id || m.From == r.id || m.From == 0 {
		return
	}
	if m.Term > r.term && !r.stepHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.stepLowerTerm(m)
		return
	}
	r.stepSameTerm(m)
}

// stepHigherTerm processes a message of a higher term and adopts that term where
// needed. It reports whether the message still has to be processed in that term.
func (r *Raft) stepHigherTerm(m Message) bool {
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
		if r.inLeaderLease() && !m.Transfer {
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

// stepLowerTerm replies to senders that do not know the current term yet.
func (r *Raft) stepLowerTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		// Without a reply, the leader of an older term would step down only at its next quorum check.
		r.messages = append(r.messages, Message{Kind: MsgHeartbeatReply, From: r.id, To: m.From, Term: r.term})
	case MsgPreVote:
		r.handlePreVote(m)
	}
}

func (r *Raft) stepSameTerm(m Message) {
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

// stepFollower processes a message from the leader of the current term.
func (r *Raft) stepFollower(m Message) {
	if r.role == Leader {
		panicInvariant("node %x claims to lead term %d, which this node leads", uint64(m.From), r.term)
	}
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(r.term, m.From)
	}
	r.electionElapsed = 0
	r.lastLeader, r.leaderSilentTicks = m.From, 0
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
	for _, e := range m.Entries[r.truncateConflict(m.Entries):] {
		if err := r.appendEntry(e); err != nil {
			panicInvariant("decode the configuration at index %d: %v", e.Index, err)
		}
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, reply.Index))
	r.send(reply)
}

// truncateConflict removes the conflicting tail of the log. It returns the
// position in entries of the first entry that the log does not contain.
func (r *Raft) truncateConflict(entries []Entry) int {
	at := r.log.firstMissing(entries)
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
		// The log already contains every entry up to the snapshot.
		r.commitTo(s.Index)
		reply.Index = s.Index
		r.send(reply)
		return
	}
	r.log.reset(s.Index, s.Term)
	r.configs = []indexedConfig{{s.Index, s.Config}}
	r.pendingSnapshot = s
	reply.Index = s.Index
	r.send(reply)
}

func (r *Raft) commitTo(index uint64) {
	if index > r.log.commit {
		r.log.commit = index
	}
}

// send queues a message of the current term. A leader may send appends,
// heartbeats and snapshots before the writes of the batch are synced, but not
// before the term itself is synced. A single voter enters a term and becomes its
// leader in one batch; after a crash it would lead the same term again with
// different entries.
func (r *Raft) send(m Message) {
	m.From, m.Term = r.id, r.term
	fromLeader := m.Kind == MsgAppend || m.Kind == MsgHeartbeat || m.Kind == MsgSnapshot
	if fromLeader && r.persistedState.Term == r.term {
		r.early = append(r.early, m)
		return
	}
	r.messages = append(r.messages, m)
}
