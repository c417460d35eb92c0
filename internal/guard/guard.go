// Package guard keeps a panic in one task from ending the whole process. It is for tasks
// that are independent of each other, such as the calls of other daemons and the loops of an
// entry. A panic in the consensus must end the process: its state may be inconsistent.
package guard

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/boragelead/boragelead/internal/wait"
)

// restartPause is the time after a panic before a loop runs again, so that one that fails at
// once does not use up the processor.
const restartPause = 200 * time.Millisecond

// PanicError is the panic of a task.
type PanicError struct {
	Value any
	Stack []byte
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("unexpected failure: %v\n%s", e.Value, e.Stack)
}

// Run calls a function. If it panics, the error is a *PanicError.
func Run(f func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{Value: value, Stack: debug.Stack()}
		}
	}()
	f()
	return nil
}

// Loop calls a function that runs until ctx ends, and calls it again after a panic, which
// it reports.
func Loop(ctx context.Context, f func(), report func(error)) {
	for {
		err := Run(f)
		if err == nil {
			return
		}
		report(err)
		if !wait.For(ctx, restartPause) {
			return
		}
	}
}
