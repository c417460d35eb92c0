package raft

import "slices"

// snapshotElectionTimeouts is the number of election timeouts that a leader
// waits for a member to install a snapshot before it probes the member again.
// The transfer of a few hundred megabytes takes longer than one election timeout.
const snapshotElectionTimeouts = 20

func (r *Raft) stepLeader(m Message, p *progress) {
	p.active = true
	p.silentTicks = 0
	if m.Kind == MsgHeartbeatReply {
		r.handleHeartbeatReply(m, p)
		return
	}
	if m.Reject {
		r.handleReject(m, p)
		return
	}
	advanced := p.ack(m.Index)
	switch {
	case p.state == stateProbe, p.state == stateSnapshot && p.match >= r.log.offset:
		p.becomeReplicate()
	case p.state == stateSnapshot && advanced:
		p.becomeProbe() // The leader has compacted its log past the installed snapshot.
	}
	if !advanced {
		return
	}
	r.advanceCommit()
	if r.role == Leader {
		r.finishTransfer(m.From)
	}
}

func (r *Raft) handleHeartbeatReply(m Message, p *progress) {
	if p.stalledTicks >= r.deliveryTicks(p) {
		p.paused = false
	}
	if m.Seq > p.seq {
		p.seq = m.Seq
		r.releaseConfirmedReads()
	}
}

// handleReject moves the next index back to the last entry at which the logs may match.
func (r *Raft) handleReject(m Message, p *progress) {
	if m.Index <= p.match || p.state == stateSnapshot {
		return // The reply is stale.
	}
	if p.state == stateProbe && m.Index != p.next-1 {
		return
	}
	index, _ := r.log.findAtOrBelow(min(m.Hint, m.Index-1), m.HintTerm)
	p.becomeProbe()
	p.sentBytes, p.repeats = 0, 0
	p.next = max(p.match+1, index+1)
}

// broadcastHeartbeat sends a heartbeat to every other member. It also probes
// members whose appends or snapshot appear to be lost.
func (r *Raft) broadcastHeartbeat() {
	for _, id := range r.peers() {
		p := r.progress[id]
		switch {
		case p.state == stateReplicate && len(p.inflight) > 0 && !p.acked:
			// A round trip can be longer than the heartbeat interval, so the leader
			// assumes a loss only after an election timeout.
			p.stalledTicks += r.cfg.HeartbeatTicks
			if p.stalledTicks >= r.cfg.ElectionTicks+r.deliveryTicks(p) {
				p.becomeProbe()
			}
		case p.state == stateProbe:
			p.stalledTicks += r.cfg.HeartbeatTicks
		case p.state == stateSnapshot:
			p.snapshotTicks += r.cfg.HeartbeatTicks
			if p.snapshotTicks >= snapshotElectionTimeouts*r.cfg.ElectionTicks {
				p.becomeProbe()
			}
		}
		p.acked = false
		r.sendHeartbeat(id)
	}
}

// maxRepeatDoublings limits the growth of deliveryTicks.
const maxRepeatDoublings = 4

// deliveryTicks returns the time that the unacknowledged appends may take to reach the
// log of a member. It doubles with each repetition, since a member or link that is slower
// than assumed would receive ever more copies. It is 0 for appends without large entries.
func (r *Raft) deliveryTicks(p *progress) int {
	if r.cfg.AppendBytesPerTick <= 0 {
		return 0
	}
	return p.sentBytes / r.cfg.AppendBytesPerTick << min(p.repeats, maxRepeatDoublings)
}

func (r *Raft) sendHeartbeat(id ID) {
	// The follower is known to have the leader's entries only up to match, so it
	// may commit only up to there.
	commit := min(r.progress[id].match, r.log.commit)
	r.send(Message{Kind: MsgHeartbeat, To: id, Commit: commit, Seq: r.reads.seq})
}

// broadcastAppend sends every other member the entries and the commit index
// that it lacks, as far as flow control allows.
func (r *Raft) broadcastAppend() {
	for _, id := range r.peers() {
		p := r.progress[id]
		for r.canSend(p) && (p.next <= r.log.last() || p.commit < r.log.commit) {
			r.sendAppend(id, p)
		}
	}
}

// canSend reports whether flow control allows a further append. None follows a large one
// before its acknowledgement: it could overtake it on another connection, and the member
// would then reject it and ask for the large one again.
func (r *Raft) canSend(p *progress) bool {
	switch p.state {
	case stateProbe:
		return !p.paused
	case stateReplicate:
		return len(p.inflight) < r.cfg.MaxInflight && r.deliveryTicks(p) == 0
	default:
		return false
	}
}

func (r *Raft) sendAppend(id ID, p *progress) {
	term, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(id, p)
		return
	}
	entries := r.log.from(p.next, r.cfg.MaxAppendBytes)
	m := Message{
		Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: term, Entries: entries, Commit: r.log.commit,
	}
	r.send(m)
	p.commit = r.log.commit
	if p.state == stateProbe {
		if p.sentBytes > 0 {
			p.repeats++
		}
		p.sentBytes, p.stalledTicks = m.Bytes(), 0
		p.paused = true
		return
	}
	p.sentBytes += m.Bytes()
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (r *Raft) sendSnapshot(id ID, p *progress) {
	p.state = stateSnapshot
	p.snapshotTicks = 0
	p.inflight = nil
	p.sentBytes, p.repeats = 0, 0
	index := r.log.applied
	term, _ := r.log.term(index)
	r.send(Message{
		Kind: MsgSnapshot, To: id,
		Snapshot: &Snapshot{Index: index, Term: term, Config: r.ConfigAt(index)},
	})
}

// ReportSnapshot tells the leader whether a snapshot was delivered to a member.
// After a failed delivery the leader probes the member again.
func (r *Raft) ReportSnapshot(id ID, delivered bool) {
	if p := r.progress[id]; r.role == Leader && p != nil && p.state == stateSnapshot && !delivered {
		p.becomeProbe()
		p.paused = true
	}
}

// advanceCommit commits the entries that a majority of the voters has synced.
func (r *Raft) advanceCommit() {
	config := r.config()
	matches := make([]uint64, 0, len(config.Voters))
	for _, m := range config.Voters {
		matches = append(matches, r.progress[m.ID].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-config.Quorum()]
	// A later leader can still overwrite an entry of an older term, even if a majority holds it.
	if term, ok := r.log.term(index); index <= r.log.commit || !ok || term != r.term {
		return
	}
	for _, e := range r.log.between(r.log.commit, index) {
		r.uncommittedBytes -= e.size()
	}
	r.uncommittedBytes = max(r.uncommittedBytes, 0)
	r.log.commit = index
	r.startReadRound()
	if newest := r.configs[len(r.configs)-1]; newest.index <= index && !newest.config.IsVoter(r.id) {
		// The leader steps down once its own removal is committed. It sends the commit
		// index first, so that the followers learn of the removal at once.
		r.broadcastAppend()
		r.becomeFollower(r.term, 0)
	}
}
