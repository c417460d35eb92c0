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

// requestError is an error with its place in the interface.
type requestError struct {
	status int
	detail status.ErrorDetail
}

// Error implements error.
func (e *requestError) Error() string { return e.detail.Message }

func fault(code int, kind status.ErrorCode, format string, args ...any) error {
	return &requestError{status: code, detail: status.ErrorDetail{Code: kind, Message: fmt.Sprintf(format, args...)}}
}

func unavailable(what string) error {
	return fault(http.StatusNotImplemented, status.CodeUnavailable, "this daemon does not serve %s", what)
}

// describe maps errors of the ledger and of the checker to the interface.
func describe(err error) (int, status.ErrorDetail) {
	var request *requestError
	if errors.As(err, &request) {
		return request.status, request.detail
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
		// Nothing is known about how far the request came.
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
	code, detail := describe(err)
	writeJSON(w, code, status.ErrorBody{Error: detail})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(code)
	// A failed write means that the operator is gone; nobody is left to tell.
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body)
}
