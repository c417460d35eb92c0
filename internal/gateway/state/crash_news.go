package state

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/boragelead/boragelead/internal/gateway/link"
)

// crashReplyDelay is how long a poll that waits is delayed after a crash, so that
// one answer carries the records of several entries.
const crashReplyDelay = 50 * time.Millisecond

// crashNews ends the wait of polls when an entry has reported a crash. It is safe for
// concurrent use.
type crashNews struct {
	mu sync.Mutex
	// version is that of the crash records after the last report.
	version uint64
	changed chan struct{}
}

func newCrashNews() *crashNews { return &crashNews{changed: make(chan struct{})} }

// publish wakes the polls that do not have a version of the crash records.
func (n *crashNews) publish(version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.version = version
	close(n.changed)
	n.changed = make(chan struct{})
}

// since reports whether there was a crash after a version, and returns a channel that
// is closed at the next one.
func (n *crashNews) since(version uint64) (news bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return version < n.version, n.changed
}

// handleCrashes merges the records of a crash that an entry has just observed, and
// passes them on without waiting for the next polls.
func (s *State) handleCrashes(_ context.Context, params []byte) ([]byte, error) {
	request := &link.CrashRequest{}
	if err := link.Decode(params, request); err != nil {
		return nil, err
	}
	changed, err := s.suspects.Merge(request.Crashes, time.Now())
	if err != nil {
		s.log.Warn("Crash records of an entry not merged.", zap.String("entry", request.Entry), zap.Error(err))
		return nil, err
	}
	if changed > 0 {
		s.crashNews.publish(s.suspects.Version())
	}
	return nil, nil
}
