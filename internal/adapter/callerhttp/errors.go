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
	status, detail, retryAfter := describeError(err)
	detail.RequestID = requestID
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	if !resendable(status, detail) {
		w.Header().Set(headerShouldRetry, "false")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail})
}

// headerShouldRetry tells OpenAI client libraries whether to retry a request.
// Without it they retry after status 409 and all 5xx statuses.
const headerShouldRetry = "X-Should-Retry"

// resendable reports whether a client library may retry a request by itself. It
// must not retry a request that crashes endpoints or one that may have run.
func resendable(status int, detail errorDetail) bool {
	if detail.Code == string(entry.RefusedQuarantine) {
		return false
	}
	return status < http.StatusInternalServerError || detail.Run == string(endpoint.NotRun)
}

// describeError returns the HTTP status, the error object and the Retry-After
// time for an error; a time of 0 means that there is no Retry-After header.
func describeError(err error) (int, errorDetail, time.Duration) {
	var requestErr *requestError
	if errors.As(err, &requestErr) {
		detail := errorDetail{Message: requestErr.message, Type: requestErr.kind, Code: requestErr.code, Run: string(endpoint.NotRun)}
		if requestErr.param != "" {
			detail.Param = &requestErr.param
		}
		return requestErr.status, detail, 0
	}
	var refusal *entry.RefusalError
	if errors.As(err, &refusal) {
		detail := errorDetail{Message: refusal.Message, Type: "server_error", Code: string(refusal.Type), Run: string(refusal.Run)}
		return statusOf(refusal.Type), detail, refusal.RetryAfter
	}
	return http.StatusInternalServerError, errorDetail{Message: "internal error", Type: "server_error", Code: "internal", Run: string(endpoint.RunUnknown)}, 0
}
