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
	// closeByOrder is that of an order to stop the run.
	closeByOrder closeReason = "order"
)

// deadlineDoubt is how long before the deadline an endpoint may end a request: the deadline is sent
// in whole milliseconds, and clocks of processes run at slightly different rates.
const deadlineDoubt = 10 * time.Millisecond

// errEndNotProven reports an answer that ended with its connection while the endpoint had another
// reason to close it.
var errEndNotProven = errors.New("answer ended with its connection, which proves nothing")

// reasonToClose returns why the endpoint of an answer that ended with its connection may have
// closed it before the end of the answer.
func (c *call) reasonToClose(now time.Time) closeReason {
	if !now.Before(c.deadline.Add(-deadlineDoubt)) {
		return closeAtDeadline
	}
	return closeUnexplained
}

// checkEnd returns errEndNotProven for an answer that ended with its connection while its endpoint
// had another reason to close it. Any other framing proves the end.
func (c *call) checkEnd(answer *wire.Answer, now time.Time) error {
	if answer.Framing() != wire.FramingClose || c.reasonToClose(now) == closeUnexplained {
		return nil
	}
	return errEndNotProven
}
