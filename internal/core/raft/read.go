package raft

// readBarrier is a set of reads that wait for the replies to the same round of heartbeats.
type readBarrier struct {
	seq      uint64
	index    uint64
	contexts []uint64
}

// readQueue holds the linearizable reads that a leader has not answered.
type readQueue struct {
	// seq is the number of the last round of heartbeats for reads.
	seq uint64
	// collected holds the reads that arrived since the last round was started.
	collected []uint64
	// waiting holds the rounds that no majority has confirmed yet, oldest first.
	waiting []readBarrier
}

// ReadIndex requests the index that must be applied before a linearizable read
// is served. Ready returns it in a ReadState with the same context. There is no
// answer if the leader steps down first.
func (r *Raft) ReadIndex(context uint64) error {
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	r.reads.collected = append(r.reads.collected, context)
	return nil
}

// startReadRound starts a round of heartbeats for the reads collected since the last round.
func (r *Raft) startReadRound() {
	// Until a leader has committed an entry of its own term, it does not know how
	// far its predecessors committed.
	if len(r.reads.collected) == 0 || !r.committedInTerm() {
		return
	}
	r.reads.seq++
	barrier := readBarrier{seq: r.reads.seq, index: r.log.commit, contexts: r.reads.collected}
	r.reads.collected = nil
	r.reads.waiting = append(r.reads.waiting, barrier)
	for _, id := range r.peers() {
		r.sendHeartbeat(id)
	}
	r.releaseConfirmedReads()
}

// releaseConfirmedReads answers the reads of the rounds that a majority confirmed.
func (r *Raft) releaseConfirmedReads() {
	for len(r.reads.waiting) > 0 && r.roundConfirmed(r.reads.waiting[0].seq) {
		barrier := r.reads.waiting[0]
		r.reads.waiting = r.reads.waiting[1:]
		r.readStates = append(r.readStates, ReadState{Index: barrier.index, Contexts: barrier.contexts})
	}
}

// roundConfirmed reports whether a majority of the voters acknowledged this
// leader in the given round of heartbeats or a later one.
func (r *Raft) roundConfirmed(seq uint64) bool {
	config := r.config()
	count := 0
	for _, m := range config.Voters {
		if m.ID == r.id || r.progress[m.ID].seq >= seq {
			count++
		}
	}
	return count >= config.Quorum()
}
