package raft

// Ready returns the work since the last Advance. The second result is false when there is none.
func (r *Raft) Ready() (Ready, bool) {
	if r.role == Leader {
		r.openReads()
		r.replicate()
	}
	rd := Ready{
		Snapshot: r.install,
		Entries:  r.log.between(max(r.log.stable, r.log.offset), r.log.last()),
		Early:    r.early, Messages: r.messages, Reads: r.readStates,
		Committed: r.log.between(r.log.applied, r.log.commit),
	}
	hard := HardState{Term: r.term, Vote: r.vote, Commit: r.log.commit}
	// A new commit index alone is not worth a write.
	if hard.Term != r.saved.Term || hard.Vote != r.saved.Vote || len(rd.Entries) > 0 || rd.Snapshot != nil {
		rd.HardState = &hard
	}
	r.early, r.messages, r.readStates = nil, nil, nil
	work := rd.HardState != nil || len(rd.Early)+len(rd.Messages)+len(rd.Committed)+len(rd.Reads) > 0
	return rd, work
}

// Advance tells that the work of a Ready is done.
func (r *Raft) Advance(rd Ready) {
	if rd.HardState != nil {
		r.saved = *rd.HardState
	}
	if rd.Snapshot != nil {
		r.install = nil
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
