package raft

type progressState uint8

const (
	// stateProbe means that one append is sent at a time until a matching entry is known.
	stateProbe progressState = iota
	// stateReplicate means that appends are sent without waiting for each reply.
	stateReplicate
	// stateSnapshot means that only heartbeats are sent until the follower has installed a snapshot.
	stateSnapshot
)

// progress is the replication state of one member as the leader knows it.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// paused is set after a probe was sent, until its reply or the next heartbeat reply arrives.
	paused bool
	// inflight holds the last index of each append that is not acknowledged yet.
	inflight []uint64
	// acked is set when an append was acknowledged since the last heartbeat.
	acked bool
	// active is set when the member replied since the last quorum check.
	// wasActive is the value of active in the previous check period.
	active    bool
	wasActive bool
	// silentTicks counts the ticks since the last reply of the member, or since this node
	// leads or the member was added. For the former leader it counts from its last message.
	silentTicks int
	// seq is the number of the last read barrier that the member acknowledged.
	seq uint64
	// commit is the highest commit index sent.
	commit uint64
	// stalledTicks counts the ticks during which appends, or a probe, were in flight and
	// none was acknowledged.
	stalledTicks int
	// sentBytes is the size of the entries that were sent and not acknowledged, and
	// repeats the number of times that they were sent again.
	sentBytes int
	repeats   int
	// snapshotTicks counts the ticks spent in stateSnapshot.
	snapshotTicks int
}

func (p *progress) becomeProbe() {
	p.state = stateProbe
	p.paused = false
	p.inflight = nil
	p.next = p.match + 1
	p.commit = 0
	p.stalledTicks = 0
}

func (p *progress) becomeReplicate() {
	p.state = stateReplicate
	p.paused = false
	p.inflight = nil
	p.next = p.match + 1
}

// ack records that the member holds the log up to index. It reports whether the match index advanced.
func (p *progress) ack(index uint64) bool {
	p.acked = true
	p.stalledTicks = 0
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if len(p.inflight) == 0 {
		p.sentBytes = 0
	}
	if index <= p.match {
		return false
	}
	p.repeats = 0
	p.match = index
	p.next = max(p.next, index+1)
	return true
}
