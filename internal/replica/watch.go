package replica

import (
	"context"
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/port"
)

// watch wakes long polls when a generation is applied.
type watch struct {
	mu      sync.Mutex
	current port.Generation
	changed chan struct{}
}

func (w *watch) init() { w.changed = make(chan struct{}) }

// set notes the newest generation. It never goes back.
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

// Newest returns the newest generation that this replica applied, and a channel
// that is closed when there is a newer one.
func (r *Replica) Newest() (port.Generation, <-chan struct{}) { return r.watch.get() }

// handleWatch waits for a generation newer than the given one. It answers from
// the applied state: the caller keeps the newest it saw, so an old answer does no harm.
func (r *Replica) handleWatch(ctx context.Context, req *request) reply {
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxWatch)
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
