package exchange

import (
	"fmt"
	"net/http"
)

// maxStatus is the highest status of HTTP, RFC 9110, section 15.
const maxStatus = 599

// StatusError reports an answer whose status no request of this client can get.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("answer has the unusable status %03d", e.Status)
}

// isInterim reports whether the final answer follows an answer with a status. The error is a
// *StatusError.
func isInterim(status int) (bool, error) {
	switch {
	case status < http.StatusContinue, status > maxStatus:
		return false, &StatusError{status}
	case status == http.StatusSwitchingProtocols:
		// It ends HTTP on the connection, and no request asks for that.
		return false, &StatusError{status}
	}
	return status < http.StatusOK, nil
}
