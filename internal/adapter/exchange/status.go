package exchange

import (
	"fmt"
	"net/http"
)

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
	case status < http.StatusContinue:
		return false, &StatusError{status}
	case status == http.StatusSwitchingProtocols:
		// It ends HTTP on the connection, and no request asks for that.
		return false, &StatusError{status}
	}
	return status < http.StatusOK, nil
}
