package raft

// Ready returns the work that has accumulated since the last Advance. The second
// result is false when there is none.
func (r *Raft) Ready() (Ready, bool) {
	if r.role == Leader {
		r.startReadRound()
		r.broadcastAppend()
	}
	rd := Ready{
		Snapshot:      r.pendingSnapshot,
		Entries:       r.log.between(max(r.log.stable, r.log.offset), r.log.last()),
		EarlyMessages: r.early, Messages: r.messages, Reads: r.readStates,
		Committed: r.log.between(r.log.applied, r.log.commit),
	}
	hardState := HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	// The stored commit index is only a hint, so a new commit index alone causes no write.
	if hardState.Term != r.persistedState.Term || hardState.Vote != r.persistedState.Vote || len(rd.Entries) > 0 || rd.Snapshot != nil {
		rd.HardState = &hardState
	}
	r.early, r.messages, r.readStates = nil, nil, nil
	hasWork := rd.HardState != nil || len(rd.EarlyMessages)+len(rd.Messages)+len(rd.Committed)+len(rd.Reads) > 0
	return rd, hasWork
}

// Advance confirms that the caller has done the work of a Ready.
func (r *Raft) Advance(rd Ready) {
	if rd.HardState != nil {
		r.persistedState = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.pendingSnapshot = nil
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = rd.Committed[n-1].Index
	}
	if n := len(rd.Entries); n > 0 {
		r.log.stable = rd.Entries[n-1].Index
	}
	if p := r.progress[r.id]; r.role == Leader && p != nil && p.ack(r.log.stable) {
		r.advanceCommit()
	}
}
