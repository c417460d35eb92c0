package waiting

import (
	"fmt"
	"time"
)

// Reason classifies the refusal of a request. In each case this entry has not sent it since it
// began to wait.
type Reason string

// Reasons of refusals.
const (
	// QueueFull is that of a request for which the queue has no place.
	QueueFull Reason = "queue_full"
	// Displaced is that of a request whose place went to a more urgent one.
	Displaced Reason = "displaced"
	// Unreachable is that of a request that cannot be served by its deadline.
	Unreachable Reason = "deadline_unreachable"
	// Expired is that of a request whose wait ended without an endpoint.
	Expired Reason = "wait_expired"
	// Draining is that of a request that waited when the entry stopped.
	Draining Reason = "draining"
	// Overloaded is that of a request that the entry has no memory or processor time for.
	Overloaded Reason = "overloaded"
)

// RefusedError reports that a request does not wait, or no longer.
type RefusedError struct {
	Reason Reason
	// Ahead is the number of requests that would have been served earlier.
	Ahead int
	// Wait is the estimated time to the start, 0 if it is not known, and Drain the time in
	// which the queue is expected to drain.
	Wait, Drain time.Duration
	// Waited is how long the request was in the queue.
	Waited time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused (%s) with %d ahead, estimated wait %s, waited %s", e.Reason, e.Ahead,
		e.Wait.Round(time.Millisecond), e.Waited.Round(time.Millisecond))
}

// minSpread is the smallest part of the spread after which a refused caller is told to return.
const minSpread = 0.25

// ReturnAfter returns the time after which a refused caller should return: spread at random over
// the time in which the queue drains, within a limit. random is in [0, 1).
func ReturnAfter(drain, limit time.Duration, random float64) time.Duration {
	return time.Duration(float64(max(min(drain, limit), 0)) * (minSpread + (1-minSpread)*random))
}
