package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/logview"
	"github.com/boragelead/boragelead/internal/status"
	"github.com/boragelead/boragelead/platform"
)

// Exit codes; they are documented in docs/command-line.md. flaggy exits with code 2 on
// wrong usage.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnreachable = 5
	exitNoQuorum    = 6
	exitTimeout     = 7
	exitKey         = 8
	exitNotFound    = 9
)

// usageError reports wrong arguments.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// promotionPendingError reports that not all daemons had a promoted generation within
// the time limit.
type promotionPendingError struct {
	generation uint64
	behind     []string
	silent     []string
}

// Error implements error.
func (e *promotionPendingError) Error() string {
	return fmt.Sprintf("generation %d is promoted, but not yet on %v; no answer from %v", e.generation, e.behind, e.silent)
}

// exitCodes maps the error codes of the operator interface to exit codes.
var exitCodes = map[status.ErrorCode]int{
	status.CodeInvalidDocument: exitInvalid,
	status.CodeTooLarge:        exitInvalid,
	status.CodeConflict:        exitConflict,
	status.CodePrecondition:    exitConflict,
	status.CodeOperationReused: exitConflict,
	status.CodeNoQuorum:        exitNoQuorum,
	status.CodeUnauthorized:    exitKey,
	status.CodeNotFound:        exitNotFound,
}

func exitCode(err error) int {
	var usage *usageError
	var invalid *conf.ValidationError
	var pending *promotionPendingError
	var apiErr *adminclient.Error
	var unreachable *adminclient.UnreachableError
	var notInLogs *logview.NotFoundError
	var refused *platform.RolloutRefusedError
	var network *net.OpError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &apiErr):
		if code, known := exitCodes[apiErr.Detail.Code]; known {
			return code
		}
		return exitFailure
	case errors.As(err, &pending), errors.Is(err, context.DeadlineExceeded):
		return exitTimeout
	case errors.As(err, &refused):
		return rolloutExitCode(refused)
	case errors.As(err, &unreachable), errors.As(err, &network):
		return exitUnreachable
	case errors.As(err, &notInLogs):
		return exitNotFound
	default:
		return exitFailure
	}
}

// rolloutExitCode returns the exit code for a refusal by the state replicas of the gateway.
func rolloutExitCode(err *platform.RolloutRefusedError) int {
	switch {
	case err.NotFound():
		return exitNotFound
	case err.Conflict():
		return exitConflict
	case err.Status >= http.StatusInternalServerError:
		return exitNoQuorum
	}
	return exitInvalid
}

// explainError returns the lines that describe the error to an operator.
func explainError(err error) []string {
	var invalid *conf.ValidationError
	if errors.As(err, &invalid) {
		return problemLines(invalid.Problems)
	}
	var apiErr *adminclient.Error
	if errors.As(err, &apiErr) && len(apiErr.Detail.Problems) > 0 {
		return problemLines(apiErr.Detail.Problems)
	}
	return []string{err.Error()}
}

func problemLines(problems []conf.Problem) []string {
	lines := []string{fmt.Sprintf("the document has %d mistakes:", len(problems))}
	for _, p := range problems {
		lines = append(lines, "  "+p.Path+": "+p.Message)
	}
	return lines
}
