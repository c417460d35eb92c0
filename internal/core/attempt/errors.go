package attempt

import (
	"fmt"

	"github.com/boragelead/boragelead/api/endpoint"
)

// GapError reports that an engine skipped tokens.
type GapError struct{ Want, Got int }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("frame starts at token %d, expected token %d", e.Got, e.Want)
}

// FrameError reports that an engine sent an invalid frame.
type FrameError struct{ Frame endpoint.Frame }

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("invalid frame of type %q at token %d with %d tokens", e.Frame.Type, e.Frame.Offset, e.Frame.Count)
}

// EngineError reports that an engine ended a generation with an error.
type EngineError struct {
	Code    endpoint.ErrorCode
	Message string
}

// Error implements error.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine failed: %s: %s", e.Code, e.Message)
}

// DivergedError reports that an attempt generated other tokens than those that
// another attempt had already delivered.
type DivergedError struct{ Offset int }

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("attempt generated other tokens than the %d already delivered", e.Offset)
}
