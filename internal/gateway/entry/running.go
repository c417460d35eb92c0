package entry

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// maxLoggedRunning bounds the running requests that are logged one by one.
const maxLoggedRunning = 200

// runningCalls holds the requests that run, so that those which a stop breaks off can be named.
type runningCalls struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func newRunningCalls() *runningCalls { return &runningCalls{calls: make(map[*call]struct{})} }

func (r *runningCalls) add(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[c] = struct{}{}
}

func (r *runningCalls) remove(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, c)
}

// log writes a line for each running request, up to maxLoggedRunning.
func (r *runningCalls) log(log *zap.Logger, message string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	logged := 0
	for c := range r.calls {
		if logged++; logged > maxLoggedRunning {
			log.Warn("Further requests run that are not logged.", zap.Int("requests", len(r.calls)-maxLoggedRunning))
			return
		}
		log.Warn(message, zap.String("request", c.meta.AttemptID), zap.Bool("forwarded", c.forwarded != nil), zap.Int64("ms", now.Sub(c.receivedAt).Milliseconds()))
	}
}
