package callerhttp

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/boragelead/boragelead/api/endpoint"
	"github.com/boragelead/boragelead/internal/entry"
)

// requestError reports why a request was rejected before it reached the pipeline.
type requestError struct {
	status  int
	kind    string
	code    string
	param   string
	message string
}

// Error implements error.
func (e *requestError) Error() string { return e.message }

func invalidRequest(code, param, message string) *requestError {
	return &requestError{status: http.StatusBadRequest, kind: "invalid_request_error", code: code, param: param, message: message}
}

// statusOf returns the HTTP status for a refusal by the pipeline.
func statusOf(kind entry.RefusalType) int {
	switch kind {
	case entry.RefusedOverload, entry.RefusedDeadline:
		return http.StatusTooManyRequests
	case entry.RefusedInvalid:
		return http.StatusBadRequest
	case entry.RefusedKeyReused:
		return http.StatusUnprocessableEntity
	case entry.RefusedQuarantine:
		return http.StatusConflict
	case entry.RefusedUpstream, entry.RefusedOutcome, entry.RefusedRetryBudget:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// writeError writes a response with the error object of the OpenAI API.
func writeError(w http.ResponseWriter, requestID string, err error) {
	writeDescription(w, describeError(requestID, err))
}

// writeDescription writes a response with the error object of the OpenAI API.
func writeDescription(w http.ResponseWriter, d errorDescription) {
	w.Header().Set("Content-Type", "application/json")
	if d.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(d.retryAfter.Seconds()))))
	}
	if !d.resendable() {
		w.Header().Set(headerShouldRetry, "false")
	}
	w.WriteHeader(d.status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: d.detail})
}

// headerShouldRetry tells OpenAI client libraries whether to retry a request.
// Without it they retry after status 408, 409, 429 and all 5xx statuses.
const headerShouldRetry = "X-Should-Retry"

// resendable reports whether a client library may retry a request by itself. It
// must not retry a request that crashes endpoints or one that may have run.
func (d errorDescription) resendable() bool {
	if d.detail.Code == string(entry.RefusedQuarantine) {
		return false
	}
	return d.detail.Run == string(endpoint.NotRun)
}

// errorDescription describes an error to the caller.
type errorDescription struct {
	status int
	detail errorDetail
	// retryAfter is the Retry-After time; 0 means no header.
	retryAfter time.Duration
}

// describeError describes an error of the request with the given ID, which may be empty.
func describeError(requestID string, err error) errorDescription {
	var requestErr *requestError
	if errors.As(err, &requestErr) {
		detail := errorDetail{Message: requestErr.message, Type: requestErr.kind, Code: requestErr.code, Run: string(endpoint.NotRun), RequestID: requestID}
		if requestErr.param != "" {
			detail.Param = &requestErr.param
		}
		return errorDescription{status: requestErr.status, detail: detail}
	}
	var refusal *entry.RefusalError
	if errors.As(err, &refusal) {
		detail := errorDetail{Message: refusal.Message, Type: "server_error", Code: string(refusal.Type), Run: string(refusal.Run), RequestID: requestID}
		return errorDescription{status: statusOf(refusal.Type), detail: detail, retryAfter: refusal.RetryAfter}
	}
	detail := errorDetail{Message: "internal error", Type: "server_error", Code: "internal", Run: string(endpoint.RunUnknown), RequestID: requestID}
	return errorDescription{status: http.StatusInternalServerError, detail: detail}
}
