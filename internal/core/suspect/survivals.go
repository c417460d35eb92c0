package suspect

import (
	"sync"
	"time"
)

// maxSurvivals bounds the survivals of each of the two generations.
const maxSurvivals = 4096

// survivalLog remembers when runs with prompt parts without a record last survived.
// When a part gets a record, the log tells whether it ever ran well here. It is
// safe for concurrent use.
type survivalLog struct {
	mu sync.Mutex
	// current takes the new survivals. When it is full it replaces previous.
	current, previous map[Fingerprint]time.Time
}

func newSurvivalLog() *survivalLog { return &survivalLog{current: make(map[Fingerprint]time.Time)} }

func (l *survivalLog) add(list []Fingerprint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range list {
		if len(l.current) >= maxSurvivals {
			l.current, l.previous = make(map[Fingerprint]time.Time, maxSurvivals), l.current
		}
		l.current[f] = now
	}
}

// last returns the time of the last survival, zero if none is remembered.
func (l *survivalLog) last(f Fingerprint) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, found := l.current[f]; found {
		return at
	}
	return l.previous[f]
}
