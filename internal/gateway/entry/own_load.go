package entry

import (
	"sync"
	"time"

	"github.com/boragelead/boragelead/internal/gateway/waiting"
)

// loadInterval is the time between two measurements of the delay of the entry's own goroutines.
// Each costs a wake-up of the process, also at rest.
const loadInterval = 50 * time.Millisecond

// ownLoad refuses requests that this entry has no memory or processor time for.
type ownLoad struct {
	entry *Entry

	mu       sync.Mutex
	overload *waiting.Overload
}

func newOwnLoad(e *Entry) *ownLoad {
	return &ownLoad{entry: e, overload: waiting.NewOverload(e.options.Settings.Limits.MemoryMB)}
}

// loop measures by how much timers are late.
func (l *ownLoad) loop() {
	for {
		due := time.Now().Add(loadInterval)
		select {
		case <-time.After(loadInterval):
		case <-l.entry.ctx.Done():
			return
		}
		l.mu.Lock()
		l.overload.Observe(time.Since(due))
		delay := l.overload.Delay()
		l.mu.Unlock()
		l.entry.metrics.schedulingDelay.Set(delay.Microseconds())
	}
}

// admit refuses a request that the entry cannot serve in time beside the others that it has. The
// error is a *Refusal.
func (l *ownLoad) admit(c *call) error {
	inFlight := int(l.entry.metrics.inFlight.Value())
	l.mu.Lock()
	admitted := l.overload.Admits(c.priority, inFlight, c.route.Target)
	delay := l.overload.Delay()
	l.mu.Unlock()
	if admitted {
		return nil
	}
	l.entry.metrics.countWaitRefusal(waiting.Overloaded)
	return &Refusal{
		Status: statusNotRun, Reason: ReasonOverload, Err: &waiting.RefusedError{Reason: waiting.Overloaded, Ahead: inFlight, Wait: delay},
		RetryAfter: c.spreadRetryAfter(defaultRetryAfter),
	}
}
