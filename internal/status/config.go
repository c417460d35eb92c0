package status

import (
	"encoding/json"

	"github.com/boragelead/boragelead/internal/core/conf"
)

// Paths of the operators' interface.
const (
	PathConfig  = "/admin/config"
	PathHistory = "/admin/config/history"
	PathStatus  = "/admin/status"
	PathDrain   = "/admin/drain"
	PathExplain = "/admin/explain/"
	PathFleet   = "/admin/fleet"
	PathVars    = "/debug/vars"
)

// Headers of the operators' interface.
const (
	HeaderOperationID = "Operation-Id"
	HeaderOperator    = "X-Boragelead-Operator"
)

// Config is a promoted configuration.
type Config struct {
	Generation uint64 `json:"generation"`
	// ETag is opaque; a promotion names the generation it replaces by it.
	ETag        string `json:"etag"`
	Digest      string `json:"digest"`
	Operator    string `json:"operator"`
	OperationID string `json:"operation_id"`
	// Document is left out of histories unless asked for.
	Document json.RawMessage `json:"document,omitempty"`
}

// ErrorCode classifies the errors of the operators' interface.
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

// ErrorBody is the body of every error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Problems lists every mistake of an invalid document.
	Problems []conf.Problem `json:"problems,omitempty"`
	// Generation and Operator name the promotion that won a conflict.
	Generation uint64 `json:"generation,omitempty"`
	Operator   string `json:"operator,omitempty"`
	// MayTakeEffect is set with no_quorum: true means that the promotion may
	// still happen, and a resend with the same operation ID tells.
	MayTakeEffect *bool `json:"may_take_effect,omitempty"`
}
