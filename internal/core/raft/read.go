package raft

// readBarrier is a set of reads that wait for the same round of heartbeats.
type readBarrier struct {
	seq      uint64
	index    uint64
	contexts []uint64
}

// readQueue holds the reads of a leader.
type readQueue struct {
	// seq is the number of the last round of heartbeats for reads.
	seq uint64
	// open collects reads until the next Ready.
	open []uint64
	// waiting holds rounds without enough answers, oldest first.
	waiting []readBarrier
}

// ReadIndex asks for the index that a linearizable read must see. The answer
// comes as a ReadState with the same context, or never if the leader steps down.
func (r *Raft) ReadIndex(context uint64) error {
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	r.reads.open = append(r.reads.open, context)
	return nil
}

// openReads starts a round of heartbeats for the reads collected since the last one.
func (r *Raft) openReads() {
	// Before its first commit a leader does not know how far its predecessors committed.
	if len(r.reads.open) == 0 || !r.termOpened() {
		return
	}
	r.reads.seq++
	barrier := readBarrier{seq: r.reads.seq, index: r.log.commit, contexts: r.reads.open}
	r.reads.open = nil
	r.reads.waiting = append(r.reads.waiting, barrier)
	for _, id := range r.peers() {
		r.sendHeartbeat(id)
	}
	r.releaseReads()
}

// releaseReads answers the rounds that a majority confirmed.
func (r *Raft) releaseReads() {
	for len(r.reads.waiting) > 0 && r.confirmed(r.reads.waiting[0].seq) {
		barrier := r.reads.waiting[0]
		r.reads.waiting = r.reads.waiting[1:]
		r.readStates = append(r.readStates, ReadState{Index: barrier.index, Contexts: barrier.contexts})
	}
}

// confirmed reports whether a majority of the voters still followed this leader in the given round.
func (r *Raft) confirmed(seq uint64) bool {
	config := r.config()
	count := 0
	for _, m := range config.Voters {
		if m.ID == r.id || r.progress[m.ID].seq >= seq {
			count++
		}
	}
	return count >= config.Quorum()
}
