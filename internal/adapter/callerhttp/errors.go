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

// requestError is a mistake of the caller, found before the request was accepted.
type requestError struct {
	status  int
	kind    string
	code    string
	param   string
	message string
}

// Error implements error.
func (e *requestError) Error() string { return e.message }

func invalid(code, param, message string) *requestError {
	return &requestError{status: http.StatusBadRequest, kind: "invalid_request_error", code: code, param: param, message: message}
}

// statusOf maps refusals of the pipeline to HTTP.
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

// writeError answers with the error body of the public interface.
func writeError(w http.ResponseWriter, requestID string, err error) {
	status, detail, retryAfter := describe(err)
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

// headerShouldRetry tells client libraries of the public interface whether to
// send a request again. Without it they resend after 409 and all 5xx.
const headerShouldRetry = "X-Should-Retry"

// resendable reports whether a client library may send a request again by
// itself: not one that crashes endpoints, nor one that may have run.
func resendable(status int, detail errorDetail) bool {
	if detail.Code == string(entry.RefusedQuarantine) {
		return false
	}
	return status < http.StatusInternalServerError || detail.Run == string(endpoint.NotRun)
}

func describe(err error) (int, errorDetail, time.Duration) {
	var mistake *requestError
	if errors.As(err, &mistake) {
		detail := errorDetail{Message: mistake.message, Type: mistake.kind, Code: mistake.code, Run: string(endpoint.NotRun)}
		if mistake.param != "" {
			detail.Param = &mistake.param
		}
		return mistake.status, detail, 0
	}
	var refused *entry.RefusalError
	if errors.As(err, &refused) {
		detail := errorDetail{Message: refused.Message, Type: "server_error", Code: string(refused.Type), Run: string(refused.Run)}
		return statusOf(refused.Type), detail, refused.RetryAfter
	}
	return http.StatusInternalServerError, errorDetail{Message: "internal error", Type: "server_error", Code: "internal", Run: string(endpoint.RunUnknown)}, 0
}
