package replica

import (
	"context"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

// watch holds the newest applied generation and wakes long polls when it changes.
type watch struct {
	mu      sync.Mutex
	current port.Generation
	changed chan struct{}
}

func (w *watch) init() { w.changed = make(chan struct{}) }

// set stores the generation if it is newer than the current one.
func (w *watch) set(g port.Generation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.Number <= w.current.Number {
		return
	}
	w.current = g
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watch) get() (port.Generation, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current, w.changed
}

// NewestGeneration returns the newest generation that this replica has applied
// and a channel that is closed when a newer one is applied.
func (r *Replica) NewestGeneration() (port.Generation, <-chan struct{}) { return r.watch.get() }

// handleWatch waits for a generation newer than req.After. It replies from the state
// that this replica has applied, without asking the leader. A reply that is out of
// date does no harm, because the client only accepts newer generations.
func (r *Replica) handleWatch(ctx context.Context, req *request) reply {
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		current, changed := r.watch.get()
		if current.Number > req.After {
			return reply{Generations: []port.Generation{current}}
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply{}
		case <-ctx.Done():
			return reply{}
		case <-r.ctx.Done():
			return reply{Error: &ReplyError{Code: CodeStopped}}
		}
	}
}
