package exchange

import (
	"errors"
	"fmt"
	"net/http"
)

// maxStatus is the highest status of HTTP, RFC 9110, section 15.
const maxStatus = 599

// maxInterimAnswers bounds the interim answers before a final one, of which one or two are usual. The
// bound on the bytes of a head alone let 1000 of them pass.
const maxInterimAnswers = 16

// ErrTooManyInterim reports an answer that is preceded by more than maxInterimAnswers.
var ErrTooManyInterim = errors.New("too many interim answers")

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
