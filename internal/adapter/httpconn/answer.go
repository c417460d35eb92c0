package httpconn

import (
	"fmt"
	"net/http"
)

// Bounds of the status of a final answer (RFC 9110, section 15). net/http reads any three digits.
const (
	minFinalStatus = http.StatusOK
	maxFinalStatus = 599
)

// StatusError reports an answer whose status no final answer may have. The request may have run.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("malformed answer: status %03d is not that of a final answer", e.Status)
}

// CheckStatus returns a *StatusError unless the status is one of a final answer. Of the interim
// statuses net/http returns 101 only, which answers a request to change the protocol.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return &StatusError{Status: status}
	}
	return nil
}
