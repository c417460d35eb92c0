package raft

import "slices"

// snapshotTicksPerElection is how many election timeouts a leader waits for an
// installed snapshot before it probes the member again. A transfer of some
// hundred megabytes takes longer than one timeout.
const snapshotTicksPerElection = 20

func (r *Raft) stepLeader(m Message, p *progress) {
	p.active = true
	if m.Kind == MsgHeartbeatReply {
		r.handleHeartbeatReply(m, p)
		return
	}
	if m.Reject {
		r.handleReject(m, p)
		return
	}
	news := p.ack(m.Index)
	switch {
	case p.state == stateProbe, p.state == stateSnapshot && p.match >= r.log.offset:
		p.replicate()
	case p.state == stateSnapshot && news:
		p.probe() // The log was compacted beyond the installed snapshot.
	}
	if !news {
		return
	}
	r.advanceCommit()
	if r.role == Leader {
		r.finishTransfer(m.From)
	}
}

func (r *Raft) handleHeartbeatReply(m Message, p *progress) {
	p.paused = false
	if m.Seq > p.seq {
		p.seq = m.Seq
		r.releaseReads()
	}
}

// handleReject moves back to where the logs may agree.
func (r *Raft) handleReject(m Message, p *progress) {
	if m.Index <= p.match || p.state == stateSnapshot {
		return // An old answer.
	}
	if p.state == stateProbe && m.Index != p.next-1 {
		return
	}
	index, _ := r.log.findAtOrBelow(min(m.Hint, m.Index-1), m.HintTerm)
	p.probe()
	p.next = max(p.match+1, index+1)
}

// heartbeat shows that the leader lives and finds lost appends.
func (r *Raft) heartbeat() {
	for _, id := range r.peers() {
		p := r.progress[id]
		switch {
		case p.state == stateReplicate && len(p.inflight) > 0 && !p.acked:
			// An interval shorter than the round trip is no loss, hence the longer wait.
			p.stalledTicks += r.cfg.HeartbeatTicks
			if p.stalledTicks >= r.cfg.ElectionTicks {
				p.probe()
			}
		case p.state == stateSnapshot:
			p.snapshotTicks += r.cfg.HeartbeatTicks
			if p.snapshotTicks >= snapshotTicksPerElection*r.cfg.ElectionTicks {
				p.probe()
			}
		}
		p.acked = false
		r.sendHeartbeat(id)
	}
}

func (r *Raft) sendHeartbeat(id ID) {
	// A follower holds every entry up to match, so it may commit that far.
	commit := min(r.progress[id].match, r.log.commit)
	r.send(Message{Kind: MsgHeartbeat, To: id, Commit: commit, Seq: r.reads.seq})
}

// replicate sends every member what it lacks, as far as flow control allows.
func (r *Raft) replicate() {
	for _, id := range r.peers() {
		p := r.progress[id]
		for p.canSend(r.cfg.MaxInflight) && (p.next <= r.log.last() || p.commit < r.log.commit) {
			r.sendAppend(id, p)
		}
	}
}

func (r *Raft) sendAppend(id ID, p *progress) {
	term, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(id, p)
		return
	}
	entries := r.log.from(p.next, r.cfg.MaxAppendBytes)
	r.send(Message{
		Kind: MsgAppend, To: id, Index: p.next - 1, LogTerm: term, Entries: entries, Commit: r.log.commit,
	})
	p.commit = r.log.commit
	if p.state == stateProbe {
		p.paused = true
		return
	}
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (r *Raft) sendSnapshot(id ID, p *progress) {
	p.state = stateSnapshot
	p.snapshotTicks = 0
	p.inflight = nil
	index := r.log.applied
	term, _ := r.log.term(index)
	r.send(Message{
		Kind: MsgSnapshot, To: id,
		Snapshot: &Snapshot{Index: index, Term: term, Config: r.ConfigAt(index)},
	})
}

// ReportSnapshot tells that a snapshot could not be delivered, so that the member is probed again.
func (r *Raft) ReportSnapshot(id ID, delivered bool) {
	if p := r.progress[id]; r.role == Leader && p != nil && p.state == stateSnapshot && !delivered {
		p.probe()
		p.paused = true
	}
}

// advanceCommit commits what a majority of the voters has synced.
func (r *Raft) advanceCommit() {
	config := r.config()
	matches := make([]uint64, 0, len(config.Voters))
	for _, m := range config.Voters {
		matches = append(matches, r.progress[m.ID].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-config.Quorum()]
	// An entry of an older term can still be overwritten although a majority holds it.
	if term, ok := r.log.term(index); index <= r.log.commit || !ok || term != r.term {
		return
	}
	for _, e := range r.log.between(r.log.commit, index) {
		r.uncommitted -= e.size()
	}
	r.uncommitted = max(r.uncommitted, 0)
	r.log.commit = index
	r.openReads()
	if newest := r.configs[len(r.configs)-1]; newest.index <= index && !newest.config.IsVoter(r.id) {
		// The leader led until its own removal was committed; its followers learn of it at once.
		r.replicate()
		r.becomeFollower(r.term, 0)
	}
}
