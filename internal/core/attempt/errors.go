package attempt

import (
	"fmt"

	"github.com/boragelead/boragelead/api/endpoint"
)

// GapError says that an engine skipped tokens.
type GapError struct{ Want, Got int }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("frame starts at token %d, token %d expected", e.Got, e.Want)
}

// FrameError says that an engine sent a frame that cannot be right.
type FrameError struct{ Frame endpoint.Frame }

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("wrong frame of type %q at token %d with %d tokens", e.Frame.Type, e.Frame.Offset, e.Frame.Count)
}

// EngineError says that an engine gave up a generation.
type EngineError struct {
	Code    endpoint.ErrorCode
	Message string
}

// Error implements error.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine failed: %s: %s", e.Code, e.Message)
}

// DivergedError says that an attempt did not generate the tokens that another
// one had already delivered.
type DivergedError struct{ Offset int }

// Error implements error.
func (e *DivergedError) Error() string {
	return fmt.Sprintf("attempts differ after token %d", e.Offset)
}
