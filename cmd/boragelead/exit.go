package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/boragelead/boragelead/internal/adminclient"
	"github.com/boragelead/boragelead/internal/core/conf"
	"github.com/boragelead/boragelead/internal/logview"
	"github.com/boragelead/boragelead/internal/status"
)

// Exit codes (docs/command-line.md). flaggy ends the process with 2 on wrong usage.
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

// usageError is a mistake in the arguments.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// notEverywhereError says that a promotion is not in force on all daemons in time.
type notEverywhereError struct {
	generation uint64
	behind     []string
	silent     []string
}

// Error implements error.
func (e *notEverywhereError) Error() string {
	return fmt.Sprintf("generation %d is promoted, but not yet on %v; no answer from %v", e.generation, e.behind, e.silent)
}

// codes maps the errors of the operators' interface to exit codes.
var codes = map[status.ErrorCode]int{
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
	var behind *notEverywhereError
	var answered *adminclient.Error
	var unreachable *adminclient.UnreachableError
	var unnamed *logview.NotFoundError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &answered):
		if code, known := codes[answered.Detail.Code]; known {
			return code
		}
		return exitFailure
	case errors.As(err, &behind), errors.Is(err, context.DeadlineExceeded):
		return exitTimeout
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &unnamed):
		return exitNotFound
	default:
		return exitFailure
	}
}

// explainError returns the lines that tell an operator what happened.
func explainError(err error) []string {
	var invalid *conf.ValidationError
	if errors.As(err, &invalid) {
		return problemLines(invalid.Problems)
	}
	var answered *adminclient.Error
	if errors.As(err, &answered) && len(answered.Detail.Problems) > 0 {
		return problemLines(answered.Detail.Problems)
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
