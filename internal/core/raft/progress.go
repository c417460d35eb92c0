package raft

type progressState uint8

const (
	// stateProbe sends one append at a time until the follower's log is known to match.
	stateProbe progressState = iota
	// stateReplicate sends appends without waiting for each answer.
	stateReplicate
	// stateSnapshot sends nothing but heartbeats until the follower has installed a snapshot.
	stateSnapshot
)

// progress is what a leader knows about a member.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// paused stops a probe until its answer or the next heartbeat answer.
	paused bool
	// inflight holds the last index of each append without an answer.
	inflight []uint64
	// acked is set by an answer since the last heartbeat.
	acked bool
	// active is set by an answer since the last quorum check; wasActive is its value before.
	active    bool
	wasActive bool
	// seq is the highest read barrier that the member acknowledged.
	seq uint64
	// commit is the highest commit index sent.
	commit uint64
	// stalledTicks counts ticks in which appends were in flight and none was answered.
	stalledTicks int
	// snapshotTicks counts ticks in stateSnapshot.
	snapshotTicks int
}

func (p *progress) probe() {
	p.state = stateProbe
	p.paused = false
	p.inflight = nil
	p.next = p.match + 1
	p.commit = 0
	p.stalledTicks = 0
}

func (p *progress) replicate() {
	p.state = stateReplicate
	p.paused = false
	p.inflight = nil
	p.next = p.match + 1
}

// ack records that the member holds the log up to index. It reports whether that was news.
func (p *progress) ack(index uint64) bool {
	p.acked = true
	p.stalledTicks = 0
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	return true
}

func (p *progress) canSend(maxInflight int) bool {
	switch p.state {
	case stateProbe:
		return !p.paused
	case stateReplicate:
		return len(p.inflight) < maxInflight
	default:
		return false
	}
}
