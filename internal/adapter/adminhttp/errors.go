package adminhttp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/port"
	"github.com/boragelead/boragelead/internal/status"
)

// requestError is an error with the HTTP status and the error detail of its response.
type requestError struct {
	status int
	detail status.ErrorDetail
}

// Error implements error.
func (e *requestError) Error() string { return e.detail.Message }

func newRequestError(code int, kind status.ErrorCode, format string, args ...any) error {
	return &requestError{status: code, detail: status.ErrorDetail{Code: kind, Message: fmt.Sprintf(format, args...)}}
}

func unavailable(name string) error {
	return newRequestError(http.StatusNotImplemented, status.CodeUnavailable, "this daemon does not serve %s", name)
}

// describeError returns the HTTP status and the error detail for an error of the
// ledger or of the validation of documents.
func describeError(err error) (int, status.ErrorDetail) {
	var requestErr *requestError
	if errors.As(err, &requestErr) {
		return requestErr.status, requestErr.detail
	}
	var invalid *conf.ValidationError
	if errors.As(err, &invalid) {
		return http.StatusBadRequest, status.ErrorDetail{
			Code: status.CodeInvalidDocument, Problems: invalid.Problems,
			Message: fmt.Sprintf("the document has %d mistakes", len(invalid.Problems)),
		}
	}
	var conflict *port.ConflictError
	if errors.As(err, &conflict) {
		return http.StatusPreconditionFailed, status.ErrorDetail{
			Code: status.CodeConflict, Message: conflict.Error(),
			Generation: conflict.Current, Operator: conflict.Operator,
		}
	}
	var reused *port.OperationReusedError
	if errors.As(err, &reused) {
		return http.StatusConflict, status.ErrorDetail{Code: status.CodeOperationReused, Message: reused.Error()}
	}
	var noQuorum *port.NoQuorumError
	if errors.As(err, &noQuorum) {
		return http.StatusServiceUnavailable, noQuorumDetail(noQuorum.Proposed)
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		// It is unknown whether the request took effect.
		return http.StatusServiceUnavailable, noQuorumDetail(true)
	}
	return http.StatusInternalServerError, status.ErrorDetail{Code: status.CodeInternal, Message: "internal error; see the log of the daemon"}
}

func noQuorumDetail(mayTakeEffect bool) status.ErrorDetail {
	message := "the replicated state does not answer; this request changed nothing"
	if mayTakeEffect {
		message = "the replicated state does not answer; the request may still take effect, resend it with the same operation ID"
	}
	return status.ErrorDetail{Code: status.CodeNoQuorum, Message: message, MayTakeEffect: &mayTakeEffect}
}

func writeError(w http.ResponseWriter, err error) {
	code, detail := describeError(err)
	writeJSON(w, code, status.ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// The error of a failed write is ignored: the operator has disconnected.
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}
