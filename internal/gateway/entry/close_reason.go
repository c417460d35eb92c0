package entry

import (
	"errors"
	"time"

	wire "github.com/boragelead/boragelead/internal/adapter/exchange"
)

// closeReason is why an endpoint may have closed the connection of an answer before its end, as
// far as this entry knows.
type closeReason string

// Reasons for which an endpoint may close a connection.
const (
	closeUnexplained closeReason = ""
	// closeAtDeadline is that of the deadline which the request named.
	closeAtDeadline closeReason = "deadline"
	// closeAtShutdown is that the endpoint shuts down, as it announced.
	closeAtShutdown closeReason = "shutdown"
	// closeByOrder is that of an order to stop the run.
	closeByOrder closeReason = "order"
)

// shutdownDoubt is how long before the announced end of an endpoint its process may end: the
// announcement took some time to arrive here.
const shutdownDoubt = 250 * time.Millisecond

// deadlineDoubt is how long before the deadline an endpoint may end a request: the deadline is sent
// in whole milliseconds, and clocks of processes run at slightly different rates.
const deadlineDoubt = 10 * time.Millisecond

// errEndNotProven reports an answer that ended with its connection while the endpoint had another
// reason to close it.
var errEndNotProven = errors.New("answer ended with its connection, which proves nothing")

// reasonToClose returns why the endpoint of an answer that ended with its connection may have
// closed it before the end of the answer.
func (c *call) reasonToClose(h *hop, now time.Time) closeReason {
	if !now.Before(c.deadline.Add(-deadlineDoubt)) {
		return closeAtDeadline
	}
	leavesAt, leaves := c.entry.migrations.drains.leavesAt(&h.endpoint)
	if leaves && !now.Before(leavesAt.Add(-shutdownDoubt)) {
		return closeAtShutdown
	}
	return closeUnexplained
}

// checkEnd returns errEndNotProven for an answer that ended with its connection while its endpoint
// had another reason to close it. Any other framing proves the end.
func (c *call) checkEnd(h *hop, answer *wire.Answer, now time.Time) error {
	if answer.Framing() != wire.FramingClose || c.reasonToClose(h, now) == closeUnexplained {
		return nil
	}
	return errEndNotProven
}
