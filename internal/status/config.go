package status

import (
	"encoding/json"

	"github.com/boragelead/boragelead/internal/core/conf"
)

// Paths of the HTTP interface for operators.
const (
	PathConfig  = "/admin/config"
	PathHistory = "/admin/config/history"
	PathStatus  = "/admin/status"
	PathDrain   = "/admin/drain"
	PathExplain = "/admin/explain/"
	PathFleet   = "/admin/fleet"
	PathVars    = "/debug/vars"
)

// Headers of the HTTP interface for operators.
const (
	HeaderOperationID = "Operation-Id"
	HeaderOperator    = "X-Boragelead-Operator"
)

// Config is a promoted configuration.
type Config struct {
	Generation uint64 `json:"generation"`
	// ETag identifies the generation and is opaque to operators. A promotion sends
	// the ETag of the generation that it replaces.
	ETag        string `json:"etag"`
	Digest      string `json:"digest"`
	Operator    string `json:"operator"`
	OperationID string `json:"operation_id"`
	// Document is omitted from histories unless it is requested.
	Document json.RawMessage `json:"document,omitempty"`
}

// ErrorCode classifies the errors of the HTTP interface for operators.
type ErrorCode string

// Error codes.
const (
	CodeUnauthorized    ErrorCode = "unauthorized"
	CodeBadRequest      ErrorCode = "bad_request"
	CodeInvalidDocument ErrorCode = "invalid_document"
	CodePrecondition    ErrorCode = "precondition_required"
	CodeConflict        ErrorCode = "conflict"
	CodeOperationReused ErrorCode = "operation_reused"
	CodeNoQuorum        ErrorCode = "no_quorum"
	CodeNotFound        ErrorCode = "not_found"
	CodeUnavailable     ErrorCode = "unavailable"
	CodeTooLarge        ErrorCode = "too_large"
	CodeInternal        ErrorCode = "internal"
)

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Problems lists every mistake of an invalid document.
	Problems []conf.Problem `json:"problems,omitempty"`
	// Generation and Operator identify the promotion that won a conflict.
	Generation uint64 `json:"generation,omitempty"`
	Operator   string `json:"operator,omitempty"`
	// MayTakeEffect is set with no_quorum. True means that the promotion may still
	// take effect; a resend with the same operation ID returns the outcome.
	MayTakeEffect *bool `json:"may_take_effect,omitempty"`
}
