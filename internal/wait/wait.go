// Package wait pauses a task that may be cancelled meanwhile.
package wait

import (
	"context"
	"time"
)

// For waits for a time and reports whether all of it passed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
