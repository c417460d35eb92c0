package waiting

import "time"

// maxRank is the least urgent rank that the queue tells apart. Less urgent ones count as it.
const maxRank = 7

// Request describes a request that needs an endpoint.
type Request struct {
	Workspace, Caller string
	// Rank is 0 for the most urgent requests.
	Rank int
	// Bytes is the size of the body, which is held in memory while the request waits.
	Bytes int64
	// Target is when the answer is wanted, and Deadline when it is of no use any more.
	Target, Deadline time.Time
	// Work is the expected time from the start of an attempt to the answer.
	Work time.Duration
	// MayHaveRun is set if an endpoint may have run the request before. Such a request cannot
	// be refused as not run, and no other request displaces it.
	MayHaveRun bool
	// GiveUp is when the request ends its wait if no endpoint has taken it; zero means
	// when too little time is left before the deadline.
	GiveUp time.Time
	// Selective is set if some endpoints that can take other requests of the service cannot
	// take this one.
	Selective bool
}

// latestStart is when an attempt must start for its answer to meet the deadline.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.Work) }

// onTimeStart is when an attempt must start for its answer to meet the target.
func (r *Request) onTimeStart() time.Time { return r.Target.Add(-r.Work) }

// end is when the wait of the request ends without an endpoint.
func (r *Request) end() time.Time {
	end := r.latestStart()
	if !r.GiveUp.IsZero() && r.GiveUp.Before(end) {
		return r.GiveUp
	}
	return end
}

func (r *Request) rank() int { return min(max(r.Rank, 0), maxRank) }

// Ticket is the place of a request in a Queue.
type Ticket struct {
	Request Request
	// Owner is what the caller of Add attached.
	Owner any

	since         time.Time
	sequence      uint64
	workspace     *flow
	caller        *flow
	passedInRound uint64
	index         int
}

// Waited returns how long the request has waited.
func (t *Ticket) Waited(now time.Time) time.Duration { return now.Sub(t.since) }
